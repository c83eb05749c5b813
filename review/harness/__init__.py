"""Stand-ins and clients of the review cases."""
