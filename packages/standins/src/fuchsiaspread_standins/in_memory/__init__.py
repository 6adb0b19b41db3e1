"""A few entry cores, targets and callers joined in memory."""
