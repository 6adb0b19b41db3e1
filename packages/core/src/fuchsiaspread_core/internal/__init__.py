"""Private modules of the core."""
