"""Pure functions that turn gathered data into reports."""
