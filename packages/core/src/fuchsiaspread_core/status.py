"""What an entry VM tells operators about itself, its flows and its targets."""

from dataclasses import dataclass

from .configuration import Revision
from .flow_table import Phase
from .identifiers import EntryName, ServiceName, TargetName, ZoneName
from .internal.target_load import TargetSummary
from .notices import ConfigurationRefused
from .relay import ShardKey


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Tell what is known of another entry VM."""

    name: EntryName
    zone: ZoneName
    state: str
    revision: Revision | None


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Tell a target's place and, when this entry VM manages it, its load."""

    name: TargetName
    service: ServiceName
    zone: ZoneName
    manager: EntryName | None
    load: TargetSummary | None


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Tell the state of one entry VM."""

    name: EntryName
    zone: ZoneName
    revision: Revision
    in_force_since_ms_ago: int | None
    refused: ConfigurationRefused | None
    is_stale: bool
    is_stopping: bool
    peers: tuple[PeerStatus, ...]
    targets: tuple[TargetStatus, ...]
    flow_count: int
    queued_count: int


@dataclass(frozen=True, slots=True)
class FlowExplanation:
    """Tell where a flow goes and why."""

    service: ServiceName | None
    home_shard: ShardKey | None
    manager: EntryName | None
    backup: EntryName | None
    target: TargetName | None
    phase: Phase | None
    reason: str


@dataclass(frozen=True, slots=True)
class TargetExplanation:
    """Tell why a target does or does not get new work."""

    status: TargetStatus | None
    reason: str
    next_step: str
