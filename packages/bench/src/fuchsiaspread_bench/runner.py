"""Run one benchmark module and capture its output.

Separate from `__main__`, because worker processes must import this module by name.
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
    """Figures, comment lines and duration of one benchmark module."""

    module: str
    comments: str
    duration_s: float
    figures: list[Figure]


def is_available(module: str) -> bool:
    """Return whether a benchmark module exists in this checkout."""
    return importlib.util.find_spec(f"{__package__}.{module}") is not None


def run_module(module: str, repetitions: int) -> Result:
    """Run a benchmark module and return its result."""
    started_s = time.monotonic()
    comments = io.StringIO()
    with redirect_stdout(comments):
        figures = importlib.import_module(f"{__package__}.{module}").measure(repetitions)
    duration_s = time.monotonic() - started_s
    return Result(module, comments.getvalue(), duration_s, figures)
