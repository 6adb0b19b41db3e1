"""Parts of the published configuration."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from .configuration import Configuration, Revision


class PartName(StrEnum):
    """Name the two files that make up a site's configuration."""

    BASE = "base"
    OVERLAY = "overlay"


@dataclass(frozen=True, slots=True)
class Part:
    """Hold one published file at the platform's index of it."""

    name: PartName
    index: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Fault:
    """Tell what is wrong in a file, where, and what to do next."""

    file: str
    key: str
    problem: str
    remedy: str


@dataclass(frozen=True, slots=True)
class InvalidConfiguration:
    """Report that a pair of parts makes no valid configuration."""

    revision: Revision
    faults: tuple[Fault, ...]


# Merges and validates a base file and an overlay; injected, since validation is at the border.
ConfigurationCompiler = Callable[[Part, Part], Configuration | InvalidConfiguration]
