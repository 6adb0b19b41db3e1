"""Input events of the direct core.

Packets are opaque to the core, which sees only the header fields in these events.
"""

from dataclasses import dataclass
from enum import StrEnum

from ..identifiers import FlowKey, TargetName
from .known_target import PublishedTarget
from .routes import RouteSet


@dataclass(frozen=True, slots=True)
class OpenPacket:
    """Report a caller's open (SYN); `retransmit_count` is 0 for the first one."""

    flow: FlowKey
    sequence: int
    retransmit_count: int
    packet: bytes


@dataclass(frozen=True, slots=True)
class FlowPacket:
    """Report a caller's packet on an open flow.

    `cookie` is the value that the entry VM wrote into the open and that the target echoed to the
    caller.
    """

    flow: FlowKey
    cookie: int
    sequence: int
    ack_number: int
    data_bytes: int
    is_reset: bool
    is_last: bool
    packet: bytes


@dataclass(frozen=True, slots=True)
class RoutesPublished:
    """Report the routes of a configuration version in the store."""

    routes: RouteSet


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """Report all targets that the store holds, and the names whose entries describe none."""

    targets: tuple[PublishedTarget, ...]
    unusable: tuple[TargetName, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetPublished:
    """Report a target that is new or changed in the store."""

    target: PublishedTarget


@dataclass(frozen=True, slots=True)
class TargetWithdrawn:
    """Report an entry that no longer describes a target, since another writer overwrote it."""

    name: TargetName


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """Report a target whose entry the store no longer holds."""

    name: TargetName


@dataclass(frozen=True, slots=True)
class StoreReached:
    """Report whether this entry VM can reach the store."""

    is_reachable: bool


class CheckOutcome(StrEnum):
    """Outcome of a connection attempt to a target."""

    CONNECTED = "connected"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    INCONCLUSIVE = "inconclusive"


@dataclass(frozen=True, slots=True)
class TargetChecked:
    """Report the outcome of a connection attempt."""

    name: TargetName
    outcome: CheckOutcome


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Request a graceful stop; `EndProcess` follows when no packets come any more."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Report that time has passed."""


DirectEvent = (
    OpenPacket
    | FlowPacket
    | RoutesPublished
    | TargetsListed
    | TargetPublished
    | TargetWithdrawn
    | TargetRemoved
    | StoreReached
    | TargetChecked
    | StopRequested
    | Tick
)
