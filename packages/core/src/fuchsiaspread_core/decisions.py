"""Requests to the admission of a shard, and its decisions."""

from dataclasses import dataclass
from enum import StrEnum

from .configuration import AddressKind
from .identifiers import FlowKey, TargetName
from .notices import Notice, RefusalReason


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """Request admission of an open; with `may_spill` a full shard declines it.

    With `may_respill`, a queued open may be declined in a later tick. It is then offered to the
    other shards again and, if none admits it, offered here once more, where it keeps its place.
    """

    flow: FlowKey
    caller_token: int
    kind: AddressKind
    may_spill: bool
    may_respill: bool = False


@dataclass(frozen=True, slots=True)
class Admit:
    """Admit an open to a target."""

    flow: FlowKey
    target: TargetName
    waited_ms: int


@dataclass(frozen=True, slots=True)
class Enqueue:
    """Queue an open in the shard."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class Decline:
    """Decline an open, which goes to the next shard, since this one has no free capacity."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse an open, which tells the caller that the work was not run."""

    flow: FlowKey
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class Inform:
    """Pass a notice to logs and counters."""

    notice: Notice


Decision = Admit | Enqueue | Decline | Refuse | Inform


class OpenFailure(StrEnum):
    """How a target failed an open."""

    SILENT = "silent"
    RESET = "reset"
