"""Internal modules of the stand-ins, not for use by other packages."""
