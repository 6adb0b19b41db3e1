"""Commands: each gathers, decides and prints."""
