"""Status and explanations that an entry VM reports to operators."""

from dataclasses import dataclass

from .configuration import Revision
from .flow_table import Phase
from .identifiers import EntryName, ServiceName, TargetName, ZoneName
from .internal.target_load import TargetSummary
from .notices import ConfigurationRefused
from .relay import ShardKey


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Status of another entry VM, as this one sees it."""

    name: EntryName
    zone: ZoneName
    state: str
    revision: Revision | None


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Status of a target; its load is known only to the entry VM that manages it."""

    name: TargetName
    service: ServiceName
    zone: ZoneName
    manager: EntryName | None
    load: TargetSummary | None


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Status of one entry VM."""

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
    """Explain where a flow goes and why."""

    service: ServiceName | None
    home_shard: ShardKey | None
    manager: EntryName | None
    backup: EntryName | None
    target: TargetName | None
    phase: Phase | None
    reason: str


@dataclass(frozen=True, slots=True)
class TargetExplanation:
    """Explain why a target does or does not get new work."""

    status: TargetStatus | None
    reason: str
    next_step: str
