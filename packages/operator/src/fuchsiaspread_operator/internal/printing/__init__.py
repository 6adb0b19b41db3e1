"""Pure functions from reports to text, JSON and HTML."""
