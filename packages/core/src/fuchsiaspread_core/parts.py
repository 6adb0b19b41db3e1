"""The parts of the published configuration: a base file and a site's overlay."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from .configuration import Configuration, Revision


class PartName(StrEnum):
    """One of the two files that make up a site's configuration."""

    BASE = "base"
    OVERLAY = "overlay"


@dataclass(frozen=True, slots=True)
class Part:
    """Hold one published file and the platform's index for it."""

    name: PartName
    index: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Fault:
    """Describe what is wrong in a file, where, and how to correct it."""

    file: str
    key: str
    problem: str
    remedy: str


@dataclass(frozen=True, slots=True)
class InvalidConfiguration:
    """Report that a base file and an overlay do not make a valid configuration."""

    revision: Revision
    faults: tuple[Fault, ...]


# Merges and validates a base file and an overlay. Injected, since the core parses no files.
ConfigurationCompiler = Callable[[Part, Part], Configuration | InvalidConfiguration]
