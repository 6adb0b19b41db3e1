"""Internal modules of the configuration package."""
