"""Decision logic without I/O; the caller passes the time in."""
