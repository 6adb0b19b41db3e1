"""Control messages between entry VMs.

`revision` is the sender's revision in force, `newest` the indexes of the newest parts it has seen.
"""

from dataclasses import dataclass

from .configuration import Revision
from .identifiers import EntryName
from .members import Member

NO_REVISION = Revision(0, 0)


@dataclass(frozen=True, slots=True)
class Probe:
    """Check whether a member is live; `updates` carries recent member changes."""

    sequence: int
    revision: Revision
    updates: tuple[Member, ...]
    newest: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Answer a probe, or forward the answer of `subject` to the member that requested the probe."""

    sequence: int
    subject: EntryName
    revision: Revision
    updates: tuple[Member, ...]
    newest: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Request an indirect probe: the receiver probes `subject`, which did not answer the sender."""

    sequence: int
    subject: EntryName
    revision: Revision
    updates: tuple[Member, ...]
    newest: Revision = NO_REVISION


ControlMessage = Probe | ProbeAnswer | ProbeRequest


@dataclass(frozen=True, slots=True)
class PeerRevision:
    """Report the revisions in a control message of another entry VM."""

    peer: EntryName
    revision: Revision
    newest: Revision = NO_REVISION
