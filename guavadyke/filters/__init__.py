"""The chain of steps that each caller's request passes."""
