"""Daemon of an entry VM in direct server return mode."""
