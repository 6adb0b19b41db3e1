"""Counters of the direct core's notices, for the metrics."""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

from fuchsiaspread_core.direct.notices import (
    DirectNotice,
    FlowReset,
    OpenAnswered,
    OpenPlaced,
    OpenRefused,
    PacketDropped,
    PacketUnrouted,
    ProcessPaused,
    ReachabilityChanged,
    RequestAnswered,
    RequestRepeated,
    RequestUnanswered,
    TargetSuspected,
    ZoneReachabilityChanged,
)
from fuchsiaspread_core.identifiers import ServiceName

# From a healthy answer of a few milliseconds to the time at which an open has failed.
BUCKET_BOUNDS_MS = (2, 5, 10, 20, 50, 100, 200, 500, 1_400)


@dataclass(slots=True)
class Histogram:
    """Count durations by upper bound; the last bucket is unbounded."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKET_BOUNDS_MS) + 1))
    sum_ms: int = 0

    def add(self, duration_ms: int) -> None:
        """Count one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


@dataclass(slots=True)
class DirectCounts:
    """The counters; owned by the core task."""

    opens_placed: Counter[tuple[ServiceName, bool]] = field(default_factory=Counter)
    opens_refused: Counter[str] = field(default_factory=Counter)
    flows_reset: Counter[str] = field(default_factory=Counter)
    packets_dropped: Counter[str] = field(default_factory=Counter)
    packets_unrouted: int = 0
    targets_suspected: int = 0
    targets_unreachable: int = 0
    zones_lost: int = 0
    pauses: int = 0
    # By type of event; each is a defect of this program.
    events_failed: Counter[str] = field(default_factory=Counter)
    answer_times: dict[ServiceName, Histogram] = field(default_factory=dict)
    request_times: dict[ServiceName, Histogram] = field(default_factory=dict)
    requests_repeated: int = 0
    requests_unanswered: Counter[str] = field(default_factory=Counter)
    timer_lags: Histogram = field(default_factory=Histogram)
    flow_count: int = 0
    is_ready: bool = False
    store_answered_ms: int | None = None

    def record(self, notice: DirectNotice) -> None:
        """Count a notice."""
        match notice:
            case OpenPlaced(service=service, attempt=attempt):
                self.opens_placed[service, attempt > 0] += 1
            case OpenAnswered(service=service, waited_ms=waited_ms):
                self.answer_times.setdefault(service, Histogram()).add(waited_ms)
            case RequestAnswered(service=service, took_ms=took_ms):
                self.request_times.setdefault(service, Histogram()).add(took_ms)
            case RequestRepeated():
                self.requests_repeated += 1
            case RequestUnanswered(end=end):
                self.requests_unanswered[end] += 1
            case OpenRefused(reason=reason):
                self.opens_refused[reason] += 1
            case FlowReset(reason=reason):
                self.flows_reset[reason] += 1
            case PacketDropped(reason=reason):
                self.packets_dropped[reason] += 1
            case PacketUnrouted():
                self.packets_unrouted += 1
            case TargetSuspected():
                self.targets_suspected += 1
            case ReachabilityChanged(is_reachable=False):
                self.targets_unreachable += 1
            case ZoneReachabilityChanged(is_reachable=False):
                self.zones_lost += 1
            case ProcessPaused():
                self.pauses += 1
            case _:
                return
