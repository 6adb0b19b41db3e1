"""Control messages between entry VMs."""

from dataclasses import dataclass

from .configuration import Revision
from .identifiers import EntryName
from .members import Member


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a member whether it is live; `updates` carries recent member changes."""

    sequence: int
    revision: Revision
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Answer a probe, or report the answer of `subject` to the member that asked for it."""

    sequence: int
    subject: EntryName
    revision: Revision
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Ask a third member to probe `subject`, which did not answer directly."""

    sequence: int
    subject: EntryName
    revision: Revision
    updates: tuple[Member, ...]


ControlMessage = Probe | ProbeAnswer | ProbeRequest
