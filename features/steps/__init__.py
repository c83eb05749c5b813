"""Tests: behave features, their steps, builders and state machines."""
