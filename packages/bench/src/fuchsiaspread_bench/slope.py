"""Least-squares fits of measurements against size, and helpers that take the measurements."""

import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import median

NANOSECONDS_PER_MICROSECOND = 1000


@dataclass(frozen=True, slots=True)
class Slope:
    """Fitted line: `value` is its slope, `base` its value at size 0."""

    name: str
    unit: str
    value: float
    base: float
    sizes: tuple[int, ...]


def fit(name: str, unit: str, points: Sequence[tuple[int, float]]) -> Slope:
    """Fit a least-squares line to points of size and value."""
    sizes = tuple(size for size, _ in points)
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(value for _, value in points) / len(points)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in points) / spread
    return Slope(name, unit, slope, mean_value - slope * mean_size, sizes)


def processor_us(action: Callable[[], object], repetitions: int) -> float:
    """Return the median CPU time of an action in microseconds."""
    times = []
    for _ in range(repetitions):
        started_ns = time.process_time_ns()
        action()
        times.append((time.process_time_ns() - started_ns) / NANOSECONDS_PER_MICROSECOND)
    return median(times)


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the memory that the result of a function occupies."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept is not None
    return after - before


def slope_line(slope: Slope) -> str:
    """Format a slope as one line."""
    sizes = ",".join(str(size) for size in slope.sizes)
    return (
        f"slope={slope.name} value={slope.value:.4g} unit={slope.unit} "
        f"base={slope.base:.4g} sizes={sizes}"
    )
