"""Notices of the direct core, for the log and the metrics."""

from dataclasses import dataclass
from enum import StrEnum

from ..identifiers import Endpoint, FlowKey, ServiceName, TargetName, ZoneName


class OpenRefusal(StrEnum):
    """Reason for refusing an open."""

    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"


class ResetReason(StrEnum):
    """Reason for resetting an open flow."""

    ROUTE_REMOVED = "route_removed"
    TARGET_GONE = "target_gone"
    TARGET_UNREACHABLE = "target_unreachable"


class RequestEnd(StrEnum):
    """How a request ended for which this entry VM saw no answer."""

    CALLER_RESET = "caller_reset"
    CALLER_CLOSED = "caller_closed"
    FORGOTTEN = "forgotten"


class DropReason(StrEnum):
    """Reason for dropping a packet."""

    UNKNOWN_COOKIE = "unknown_cookie"
    NOT_CONFIGURED = "not_configured"
    LATE_OPEN = "late_open"
    NO_OTHER_TARGET = "no_other_target"


@dataclass(frozen=True, slots=True)
class OpenPlaced:
    """Report which target an open was sent to, and the data behind the choice."""

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
    """Report that a target accepted an open, and the time until its caller confirmed that."""

    service: ServiceName
    waited_ms: int


@dataclass(frozen=True, slots=True)
class OpenRefused:
    """Report that an open was refused before it was sent to any target."""

    flow: FlowKey
    reason: OpenRefusal
    version: int


@dataclass(frozen=True, slots=True)
class FlowReset:
    """Report that an open flow was reset towards its caller.

    `request` is the first packet of the request in progress, empty if there is none.
    """

    flow: FlowKey
    target: TargetName
    reason: ResetReason
    request: bytes


@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """Report the first answer to a request, and whether it missed the latency objective."""

    flow: FlowKey
    service: ServiceName
    target: TargetName
    took_ms: int
    is_late: bool
    request: bytes


@dataclass(frozen=True, slots=True)
class RequestRepeated:
    """Report a retransmitted request packet, and for how long its target has been silent."""

    flow: FlowKey
    target: TargetName
    waited_ms: int
    target_silent_ms: int
    request: bytes


@dataclass(frozen=True, slots=True)
class RequestUnanswered:
    """Report that a request in progress ended, or was given up, without an answer."""

    flow: FlowKey
    target: TargetName
    waited_ms: int
    end: RequestEnd
    request: bytes


@dataclass(frozen=True, slots=True)
class PacketDropped:
    """Report that a packet was dropped."""

    flow: FlowKey
    reason: DropReason


@dataclass(frozen=True, slots=True)
class PacketUnrouted:
    """Report a packet forwarded by its cookie, since no route of its address is known here."""

    flow: FlowKey
    target: TargetName
    version: int


@dataclass(frozen=True, slots=True)
class TargetSuspected:
    """Report that a target stopped answering and is avoided for new flows."""

    target: TargetName
    silent_opens: int
    pause_ms: int


@dataclass(frozen=True, slots=True)
class TargetCleared:
    """Report that a suspect target answers again."""

    target: TargetName


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """Report that a connection check found a target to be reachable or unreachable."""

    target: TargetName
    zone: ZoneName
    is_reachable: bool
    outcome: str


@dataclass(frozen=True, slots=True)
class TargetChanged:
    """Report that a target's entry in the store changed."""

    target: TargetName
    service: ServiceName
    change: str


@dataclass(frozen=True, slots=True)
class AddressContested:
    """Report that another entry names the address of a target, and which one."""

    target: TargetName
    address: Endpoint
    by: TargetName


@dataclass(frozen=True, slots=True)
class RoutesApplied:
    """Report that the routes of a configuration version are now in use."""

    version: int
    route_count: int


@dataclass(frozen=True, slots=True)
class ZoneReachabilityChanged:
    """Report that a zone is lost for new flows, or that it is reachable again."""

    zone: ZoneName
    is_reachable: bool


@dataclass(frozen=True, slots=True)
class ProcessPaused:
    """Report that the process was stalled; opens pending at that time are not retried."""

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
    | PacketUnrouted
    | TargetSuspected
    | TargetCleared
    | ReachabilityChanged
    | ZoneReachabilityChanged
    | TargetChanged
    | AddressContested
    | RoutesApplied
    | ProcessPaused
)
