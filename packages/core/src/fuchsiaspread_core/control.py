"""Control messages between entry VMs.

`revision` is what the sender has in force, `newest` the newest parts that it has seen.
"""

from dataclasses import dataclass

from .configuration import Revision
from .identifiers import EntryName
from .members import Member

NO_REVISION = Revision(0, 0)


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a member whether it is live; `updates` carries recent member changes."""

    sequence: int
    revision: Revision
    updates: tuple[Member, ...]
    newest: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Answer a probe, or report the answer of `subject` to the member that asked for it."""

    sequence: int
    subject: EntryName
    revision: Revision
    updates: tuple[Member, ...]
    newest: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Ask a third member to probe `subject`, which did not answer directly."""

    sequence: int
    subject: EntryName
    revision: Revision
    updates: tuple[Member, ...]
    newest: Revision = NO_REVISION


ControlMessage = Probe | ProbeAnswer | ProbeRequest


@dataclass(frozen=True, slots=True)
class PeerRevision:
    """Report the revisions that another entry VM stated in a control message."""

    peer: EntryName
    revision: Revision
    newest: Revision = NO_REVISION
