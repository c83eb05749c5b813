"""Hypothesis state machines and their oracles."""
