"""Adapters to the platform, backend servers, peer hosts and the clock."""
