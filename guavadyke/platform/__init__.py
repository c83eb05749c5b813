"""Translates between the product and the users' platform, and no more."""
