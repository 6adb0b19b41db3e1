"""Outcomes that every command may end with instead of a report."""

from dataclasses import dataclass

from fuchsiaspread_core.parts import Fault


@dataclass(frozen=True, slots=True)
class UsageProblem:
    """Tell that a command was given in a wrong way, and what to write instead."""

    problem: str
    next_step: str


@dataclass(frozen=True, slots=True)
class Unusable:
    """Report faults in the input that leave nothing to decide about."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Report that the platform did not answer."""

    address: str
    problem: str
    next_step: str
