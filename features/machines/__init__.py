"""Hypothesis state machines and the models they check against."""
