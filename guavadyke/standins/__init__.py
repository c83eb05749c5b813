"""Test doubles of the platform, engines and services."""
