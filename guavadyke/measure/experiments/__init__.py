"""Experiments: each is one module."""
