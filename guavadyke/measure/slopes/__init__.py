"""Slopes: what state, messages and processor time grow with."""
