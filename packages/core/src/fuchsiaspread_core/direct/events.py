"""Events that the direct core takes.

Packets are opaque to the core: it decides on what the front end reports about them.
"""

from dataclasses import dataclass
from enum import StrEnum

from ..identifiers import FlowKey, TargetName
from .routes import RouteSet
from .targets import PublishedTarget


@dataclass(frozen=True, slots=True)
class OpenPacket:
    """Report a caller's packet that opens a flow (SYN); `copy_number` is 0 for the first one."""

    flow: FlowKey
    retransmit_count: int
    packet: bytes


@dataclass(frozen=True, slots=True)
class FlowPacket:
    """Report a caller's packet on an open flow.

    `cookie` is the value that the entry VM wrote into the open and that the target returned.
    """

    flow: FlowKey
    cookie: int
    sequence: int
    acknowledges: int
    data_bytes: int
    is_reset: bool
    is_last: bool
    packet: bytes


@dataclass(frozen=True, slots=True)
class RoutesPublished:
    """Report a configuration version that the store holds."""

    routes: RouteSet


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """Report all targets that the store holds."""

    targets: tuple[PublishedTarget, ...]


@dataclass(frozen=True, slots=True)
class TargetPublished:
    """Report a target that is new or changed in the store."""

    target: PublishedTarget


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """Report a target whose entry the store no longer holds."""

    name: TargetName


@dataclass(frozen=True, slots=True)
class StoreReached:
    """Report whether the store answers this entry VM."""

    is_reachable: bool


class CheckOutcome(StrEnum):
    """Name how a connection attempt to a target ended."""

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
    """Ask for a graceful stop."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Report that time has passed."""


DirectEvent = (
    OpenPacket
    | FlowPacket
    | RoutesPublished
    | TargetsListed
    | TargetPublished
    | TargetRemoved
    | StoreReached
    | TargetChecked
    | StopRequested
    | Tick
)
