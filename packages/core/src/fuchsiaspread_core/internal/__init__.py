"""Parts of the components that are not public."""
