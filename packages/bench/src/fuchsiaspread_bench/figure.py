"""A measured figure and its printed form."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from statistics import median

# For figures without a baseline in docs/design.md; printed as `baseline=none:nan`.
NO_BASELINE = "none"
NO_VALUE = math.nan


class Verdict(StrEnum):
    """Whether a figure meets its target."""

    MET = "met"
    MISSED = "missed"


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure with its baseline and its target."""

    name: str
    value: float
    unit: str
    baseline_name: str
    baseline_value: float
    target: float
    verdict: Verdict


def verdict_under(value: float, target: float) -> Verdict:
    """Return the verdict on a figure that must be below its target."""
    return Verdict.MET if value < target else Verdict.MISSED


def verdict_over(value: float, target: float) -> Verdict:
    """Return the verdict on a figure that must be above its target."""
    return Verdict.MET if value > target else Verdict.MISSED


def verdict_exactly(value: float, target: float) -> Verdict:
    """Return the verdict on a figure that must equal its target, such as 0 broken flows."""
    return Verdict.MET if value == target else Verdict.MISSED


def figure_line(figure: Figure) -> str:
    """Format a figure as one line of space-separated fields; spaces in words become hyphens."""
    baseline = f"{_word(figure.baseline_name)}:{_number(figure.baseline_value)}"
    return (
        f"figure={_word(figure.name)} value={_number(figure.value)} unit={_word(figure.unit)} "
        f"baseline={baseline} target={_number(figure.target)} verdict={figure.verdict}"
    )


def print_figure(figure: Figure) -> None:
    """Print a figure as one line."""
    print(figure_line(figure), flush=True)


def print_spread(name: str, unit: str, values: Sequence[float]) -> None:
    """Print the minimum, median and maximum of the repetitions as a comment line."""
    low, middle, high = (_number(value) for value in (min(values), median(values), max(values)))
    print(
        f"# {name} unit={_word(unit)} min={low} median={middle} max={high} n={len(values)}",
        flush=True,
    )


def _word(text: str) -> str:
    return text.strip().replace(" ", "-")


def _number(value: float) -> str:
    return format(value, ".6g")
