"""Small stand-ins for the systems outside the project."""
