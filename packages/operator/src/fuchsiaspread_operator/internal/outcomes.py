"""Failures that a command can return instead of a report."""

from dataclasses import dataclass

from fuchsiaspread_core.parts import Fault


@dataclass(frozen=True, slots=True)
class UsageProblem:
    """Invalid command line, with advice on what to write instead."""

    problem: str
    next_step: str


@dataclass(frozen=True, slots=True)
class InvalidInput:
    """Faults in the input that prevent a report."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class PlatformUnreachable:
    """The platform's configuration service did not return a usable response."""

    address: str
    problem: str
    next_step: str
