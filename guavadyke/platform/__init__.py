"""Adapter between Guavadyke and the users' platform: wire formats only."""
