"""Parts of the stand-ins that other packages do not use."""
