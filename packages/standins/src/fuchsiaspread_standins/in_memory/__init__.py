"""Simulation of a few entry cores, targets and callers in one process."""
