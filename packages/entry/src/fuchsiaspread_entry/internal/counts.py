"""Counters that each task keeps locally and reports to the admin task."""

from collections import Counter
from enum import StrEnum
from typing import NamedTuple


class Metric(StrEnum):
    """Names of the counters, following the naming conventions of OpenTelemetry."""

    PACKETS_RECEIVED = "fuchsiaspread.packets.received"
    PACKETS_SENT = "fuchsiaspread.packets.sent"
    PACKETS_DROPPED = "fuchsiaspread.packets.dropped"
    PEER_MESSAGES_DROPPED = "fuchsiaspread.peer.messages.dropped"
    PEER_IO = "fuchsiaspread.peer.io"
    FLOWS_OPENED = "fuchsiaspread.flows.opened"
    FLOWS_ENDED = "fuchsiaspread.flows.ended"
    FLOWS_RECOVERED = "fuchsiaspread.flows.recovered"
    OPENS_REFUSED = "fuchsiaspread.opens.refused"
    OPENS_RETRIED = "fuchsiaspread.opens.retried"
    TARGETS_EJECTED = "fuchsiaspread.targets.ejected"
    RECORDS_HANDED_OVER = "fuchsiaspread.records.handed_over"
    CONFIGURATIONS = "fuchsiaspread.configurations"
    PART_CONFLICTS = "fuchsiaspread.part.conflicts"
    MEMBER_CHANGES = "fuchsiaspread.member.changes"
    EVENTS_FAILED = "fuchsiaspread.events.failed"
    STALE_VIEWS = "fuchsiaspread.stale_views"


class CountKey(NamedTuple):
    """Identify a counter by its metric and its attributes as name and value pairs."""

    metric: Metric
    attributes: tuple[tuple[str, str], ...] = ()


Counts = Counter[CountKey]
