"""Run one measurement and hold what it printed.

Worker processes import this module by name, which they cannot do with `__main__`.
"""

import importlib
import importlib.util
import io
import time
from contextlib import redirect_stdout
from dataclasses import dataclass

from .figure import Figure


@dataclass(frozen=True, slots=True)
class Result:
    """Hold the figures, comment lines and duration of one measurement."""

    module: str
    comments: str
    duration_s: float
    figures: list[Figure]


def is_there(module: str) -> bool:
    """Return whether a measurement is part of this checkout."""
    return importlib.util.find_spec(f"{__package__}.{module}") is not None


def run_module(module: str, repetitions: int) -> Result:
    """Run a measurement."""
    started_s = time.monotonic()
    comments = io.StringIO()
    with redirect_stdout(comments):
        figures = importlib.import_module(f"{__package__}.{module}").measure(repetitions)
    duration_s = time.monotonic() - started_s
    return Result(module, comments.getvalue(), duration_s, figures)
