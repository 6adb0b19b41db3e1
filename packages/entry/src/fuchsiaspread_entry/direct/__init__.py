"""The daemon of an entry VM whose targets answer callers directly."""
