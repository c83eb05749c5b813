"""Actors that own state and publish immutable snapshots."""
