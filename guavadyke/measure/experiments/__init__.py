"""Experiments, one module each."""
