"""What the admission of a shard is asked and what it decides."""

from dataclasses import dataclass
from enum import StrEnum

from .configuration import AddressKind
from .identifiers import FlowKey, TargetName
from .notices import Notice, RefusalReason


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """Ask for admission of an open; with `may_spill` a full shard declines it.

    With `may_respill` an open that waits may be declined later, in a tick. It is then offered
    to the other shards again and, when none takes it, once more here, where it kept its place.
    """

    flow: FlowKey
    caller_token: int
    kind: AddressKind
    may_spill: bool
    may_respill: bool = False


@dataclass(frozen=True, slots=True)
class Admit:
    """Give an open to a target."""

    flow: FlowKey
    target: TargetName
    waited_ms: int


@dataclass(frozen=True, slots=True)
class Enqueue:
    """Keep an open in the shard's queue."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class Decline:
    """Pass an open on, since the shard has no free capacity."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse an open as not run."""

    flow: FlowKey
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class Inform:
    """Report something to logs and counters."""

    notice: Notice


Decision = Admit | Enqueue | Decline | Refuse | Inform


class OpenFailure(StrEnum):
    """Name how a target failed an open."""

    SILENT = "silent"
    RESET = "reset"
