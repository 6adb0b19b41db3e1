"""Internal modules of the daemon."""
