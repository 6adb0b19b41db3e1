"""Notices of the direct core, for logs and counters."""

from dataclasses import dataclass
from enum import StrEnum

from ..identifiers import FlowKey, ServiceName, TargetName, ZoneName


class OpenRefusal(StrEnum):
    """Name why an open was refused."""

    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"


class ResetReason(StrEnum):
    """Name why an open flow was reset."""

    ROUTE_REMOVED = "route_removed"
    TARGET_GONE = "target_gone"
    TARGET_UNREACHABLE = "target_unreachable"


class RequestEnd(StrEnum):
    """Name how a request ended without an answer that this entry VM saw."""

    CALLER_RESET = "caller_reset"
    CALLER_CLOSED = "caller_closed"
    FORGOTTEN = "forgotten"


class DropReason(StrEnum):
    """Name why a packet was dropped."""

    UNKNOWN_COOKIE = "unknown_cookie"
    NOT_CONFIGURED = "not_configured"
    LATE_OPEN = "late_open"
    NO_OTHER_TARGET = "no_other_target"


@dataclass(frozen=True, slots=True)
class OpenPlaced:
    """Tell which target an open was sent to and what decided it."""

    flow: FlowKey
    service: ServiceName
    route: str
    version: int
    target: TargetName
    attempt: int
    busy_requests: int
    open_flows: int


@dataclass(frozen=True, slots=True)
class OpenAnswered:
    """Tell that a caller has a target's acceptance, and how long after the open."""

    service: ServiceName
    waited_ms: int


@dataclass(frozen=True, slots=True)
class OpenRefused:
    """Tell that an open was refused before any target saw it."""

    flow: FlowKey
    reason: OpenRefusal
    version: int


@dataclass(frozen=True, slots=True)
class FlowReset:
    """Tell that an open flow was reset towards its caller.

    `request` is the packet that began the request in work, empty without one.
    """

    flow: FlowKey
    target: TargetName
    reason: ResetReason
    request: bytes


@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """Tell that a target has begun to answer a request, and whether within its objective."""

    flow: FlowKey
    service: ServiceName
    target: TargetName
    took_ms: int
    is_late: bool
    request: bytes


@dataclass(frozen=True, slots=True)
class RequestRepeated:
    """Tell that a caller repeated a packet of a request, and since when its target is silent."""

    flow: FlowKey
    target: TargetName
    waited_ms: int
    target_silent_ms: int
    request: bytes


@dataclass(frozen=True, slots=True)
class RequestUnanswered:
    """Tell that a flow ended, or was forgotten, while its target had a request."""

    flow: FlowKey
    target: TargetName
    waited_ms: int
    end: RequestEnd
    request: bytes


@dataclass(frozen=True, slots=True)
class PacketDropped:
    """Tell that a packet was dropped."""

    flow: FlowKey
    reason: DropReason


@dataclass(frozen=True, slots=True)
class TargetSuspected:
    """Tell that a target stopped answering and gets new flows only when no other can."""

    target: TargetName
    silent_opens: int
    pause_ms: int


@dataclass(frozen=True, slots=True)
class TargetCleared:
    """Tell that a suspected target answers again."""

    target: TargetName


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """Tell that a connection attempt settled whether a target can be reached."""

    target: TargetName
    zone: ZoneName
    is_reachable: bool
    outcome: str


@dataclass(frozen=True, slots=True)
class TargetChanged:
    """Tell that what the store says of a target changed."""

    target: TargetName
    service: ServiceName
    change: str


@dataclass(frozen=True, slots=True)
class RoutesApplied:
    """Tell that a configuration version is in force."""

    version: int
    route_count: int


@dataclass(frozen=True, slots=True)
class ProcessPaused:
    """Tell that the process stood still; opens that waited meanwhile are dropped."""

    gap_ms: int


DirectNotice = (
    OpenPlaced
    | OpenAnswered
    | OpenRefused
    | FlowReset
    | RequestAnswered
    | RequestRepeated
    | RequestUnanswered
    | PacketDropped
    | TargetSuspected
    | TargetCleared
    | ReachabilityChanged
    | TargetChanged
    | RoutesApplied
    | ProcessPaused
)
