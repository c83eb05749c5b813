"""Messages between entry hosts and their generated code."""
