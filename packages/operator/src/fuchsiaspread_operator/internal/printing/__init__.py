"""Pure functions that format reports as text, JSON and HTML."""
