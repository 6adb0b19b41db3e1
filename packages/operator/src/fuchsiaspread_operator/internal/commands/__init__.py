"""The commands; each gathers its input, makes a report and prints it."""
