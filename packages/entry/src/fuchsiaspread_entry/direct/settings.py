"""Settings of the direct daemon."""

from dataclasses import dataclass

from fuchsiaspread_core.identifiers import Endpoint, EntryName, ZoneName


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Settings of one entry VM in direct server return mode."""

    name: EntryName
    zone: ZoneName
    packets: Endpoint
    readiness: Endpoint
    readiness_path: str
    metrics: Endpoint
    flow_lifetime_ms: int
    # Time from the request to stop until the process is killed.
    stop_grace_ms: int
    # Pause before the next call to the store after it has reported changes.
    store_pause_ms: int
