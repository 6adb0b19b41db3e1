"""Derandomized Hypothesis profile, loaded on import."""

from hypothesis import settings

settings.register_profile("fuchsiaspread", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("fuchsiaspread")
