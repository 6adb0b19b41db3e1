"""Notices that the core emits for logs and counters."""

from dataclasses import dataclass
from enum import StrEnum

from .configuration import Revision
from .identifiers import EntryName, FlowKey, ServiceName, TargetName
from .parts import Fault


class DropReason(StrEnum):
    """Reason for dropping a packet."""

    UNKNOWN_SERVICE = "unknown_service"
    NO_CONFIGURATION = "no_configuration"
    NO_MANAGER = "no_manager"
    HOP_LIMIT = "hop_limit"
    LATE_ANSWER = "late_answer"
    STALE_VIEW = "stale_view"
    OLDER_REVISION = "older_revision"
    UNKNOWN_FLOW = "unknown_flow"
    UNKNOWN_TARGET = "unknown_target"


class RefusalReason(StrEnum):
    """Reason for refusing an open."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_TARGET = "no_target"
    RETRIES_USED = "retries_used"


class FlowEnd(StrEnum):
    """How a flow ended."""

    ANSWERED = "answered"
    CANCELLED = "cancelled"
    RESET_BY_TARGET = "reset_by_target"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class PacketDropped:
    """Count a dropped packet."""

    reason: DropReason


@dataclass(frozen=True, slots=True)
class FlowOpened:
    """Report that a target accepted a flow."""

    service: ServiceName
    target: TargetName
    waited_ms: int


@dataclass(frozen=True, slots=True)
class FlowEnded:
    """Report the end of a flow; `is_in_time` states whether it met its deadline."""

    service: ServiceName
    target: TargetName
    end: FlowEnd
    is_in_time: bool
    flow: FlowKey | None = None


@dataclass(frozen=True, slots=True)
class OpenRefused:
    """Report that an open was refused; the caller is told that the work was not run."""

    service: ServiceName
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class OpenRetried:
    """Report that an open was retried at another target."""

    service: ServiceName
    failed_target: TargetName
    target: TargetName


@dataclass(frozen=True, slots=True)
class FlowRecovered:
    """Report that a flow without a record was matched to its target again."""

    flow: FlowKey
    target: TargetName


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Report that a revision is in force."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class ConfigurationRefused:
    """Report that a revision was refused and that the last valid one stays in force."""

    revision: Revision
    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class PartConflict:
    """Report that a source sent different content for an index that is already known."""

    part: str
    index: int
    source: str


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Report a change of another entry VM's state."""

    name: EntryName
    state: str


@dataclass(frozen=True, slots=True)
class ViewBecameStale:
    """Report that the process was paused and has stopped deciding opens for now."""

    gap_ms: int


@dataclass(frozen=True, slots=True)
class ViewBecameFresh:
    """Report that the process has resumed deciding opens."""

    waited_ms: int


@dataclass(frozen=True, slots=True)
class TargetEjected:
    """Report that a target gets no new work for some time."""

    target: TargetName
    cause: str
    ejected_for_ms: int


@dataclass(frozen=True, slots=True)
class RecordsHandedOver:
    """Report that flow records were sent to another entry VM."""

    peer: EntryName
    record_count: int


Notice = (
    PacketDropped
    | FlowOpened
    | FlowEnded
    | OpenRefused
    | OpenRetried
    | FlowRecovered
    | ConfigurationApplied
    | ConfigurationRefused
    | PartConflict
    | MemberChanged
    | ViewBecameStale
    | ViewBecameFresh
    | TargetEjected
    | RecordsHandedOver
)
