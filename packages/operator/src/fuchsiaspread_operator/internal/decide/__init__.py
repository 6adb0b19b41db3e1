"""Pure functions from what was gathered to reports."""
