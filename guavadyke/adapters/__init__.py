"""Connections to the outside: platform, engines, services, peers, disk."""
