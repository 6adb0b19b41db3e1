"""Windowed counters behind the burn-rate report."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from .configuration import Configuration, Objective
from .identifiers import ServiceName, TargetName, ZoneName
from .notices import FlowEnd, FlowEnded, FlowOpened, Notice, OpenRefused

# Windows of the burn-rate report in addition to the objective's own period.
FIXED_WINDOWS_S = (300, 3_600, 21_600)
# A window consists of 30 buckets, so its start is exact to a thirtieth of its length.
BUCKETS_PER_WINDOW = 30
FINEST_BUCKET_MS = FIXED_WINDOWS_S[0] * 1_000 // BUCKETS_PER_WINDOW
# Bounds memory when many targets come and go within a window. The totals of a service still count
# every target.
MAX_TARGETS_PER_BUCKET = 4_096
# Flows of a target that disappears are never closed and expire; to its callers they are broken.
BROKEN_ENDS = frozenset({FlowEnd.RESET_BY_TARGET, FlowEnd.EXPIRED})


@dataclass(slots=True)
class Counts:
    """Flow counts of a service, a target or an availability zone."""

    opened: int = 0
    broken: int = 0
    answered: int = 0
    in_time: int = 0
    refused: int = 0

    def add(self, other: "Counts") -> None:
        """Add the counts of another bucket."""
        self.opened += other.opened
        self.broken += other.broken
        self.answered += other.answered
        self.in_time += other.in_time
        self.refused += other.refused


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Hold the counts of one window: in total, by target and by availability zone.

    A refused open has no target, so it counts only in the total. The field names are those of the
    admin endpoint's response to `/burn`.
    """

    window_s: int
    opened: int
    broken: int
    answered: int
    in_time: int
    refused: int
    by_target: Mapping[TargetName, Counts]
    by_zone: Mapping[ZoneName, Counts]


@dataclass(frozen=True, slots=True)
class ServiceCounts:
    """Hold the windows of one service, the shortest first and the objective's period last."""

    service: ServiceName
    objective: Objective
    windows: tuple[WindowCounts, ...]


@dataclass(frozen=True, slots=True)
class ObjectiveSnapshot:
    """Hold the counters of an entry VM since its process started."""

    started_ms_ago: int
    services: tuple[ServiceCounts, ...]


@dataclass(slots=True)
class _Bucket:
    total: Counts = field(default_factory=Counts)
    by_target: dict[TargetName, Counts] = field(default_factory=dict)
    by_zone: dict[ZoneName, Counts] = field(default_factory=dict)

    def add(self, other: "_Bucket") -> None:
        self.total.add(other.total)
        for target, counts in other.by_target.items():
            own_counts = self.counts_of(target)
            if own_counts is not None:
                own_counts.add(counts)
        for zone, counts in other.by_zone.items():
            self.by_zone.setdefault(zone, Counts()).add(counts)

    def counts_of(self, target: TargetName) -> Counts | None:
        counts = self.by_target.get(target)
        if counts is None and len(self.by_target) < MAX_TARGETS_PER_BUCKET:
            counts = self.by_target[target] = Counts()
        return counts


class _Window:
    """Keep the closed buckets of one window."""

    def __init__(self, window_s: int) -> None:
        self.window_s = window_s
        self._bucket_ms = window_s * 1_000 // BUCKETS_PER_WINDOW
        self._buckets: deque[tuple[int, _Bucket]] = deque()

    def add(self, time_ms: int, bucket: _Bucket) -> None:
        """Add a bucket of the finest resolution that started at the given time."""
        index = time_ms // self._bucket_ms
        if not self._buckets or self._buckets[-1][0] != index:
            self._buckets.append((index, _Bucket()))
        self._buckets[-1][1].add(bucket)
        self.forget(time_ms)

    def forget(self, now_ms: int) -> None:
        """Drop the buckets that have left the window."""
        oldest = now_ms // self._bucket_ms - BUCKETS_PER_WINDOW
        while self._buckets and self._buckets[0][0] < oldest:
            self._buckets.popleft()

    def counts(self, now_ms: int, current: _Bucket) -> WindowCounts:
        """Return the sum over the window, including the bucket that is still open."""
        self.forget(now_ms)
        total = _Bucket()
        for _, bucket in self._buckets:
            total.add(bucket)
        total.add(current)
        counts = total.total
        return WindowCounts(
            self.window_s,
            counts.opened,
            counts.broken,
            counts.answered,
            counts.in_time,
            counts.refused,
            total.by_target,
            total.by_zone,
        )


class _ServiceHistory:
    """Count one service in an open bucket, which is added to every window when it closes."""

    def __init__(self, objective: Objective) -> None:
        self.objective = objective
        self.current = _Bucket()
        self._current_index = 0
        spans = (*FIXED_WINDOWS_S, objective.period_s)
        self._windows = tuple(_Window(window_s) for window_s in spans)

    def advance(self, now_ms: int) -> None:
        """Close the open bucket if its time has passed."""
        index = now_ms // FINEST_BUCKET_MS
        # If the clock steps back, counting continues in the open bucket.
        if index <= self._current_index:
            return
        for window in self._windows:
            window.add(self._current_index * FINEST_BUCKET_MS, self.current)
        self.current = _Bucket()
        self._current_index = index

    def snapshot(self, service: ServiceName, now_ms: int) -> ServiceCounts:
        """Return the counts of every window."""
        windows = tuple(window.counts(now_ms, self.current) for window in self._windows)
        return ServiceCounts(service, self.objective, windows)


class ObjectiveCounters:
    """Count the flows of each service against its objective, in bounded memory."""

    def __init__(self, now_ms: int) -> None:
        self._started_ms = now_ms
        self._services: dict[ServiceName, _ServiceHistory] = {}
        self._zones: dict[TargetName, ZoneName] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply the services, objectives and zones of the configuration in force.

        A changed period restarts the history of its service, since the bucket length changes too.
        """
        services: dict[ServiceName, _ServiceHistory] = {}
        for service in configuration.services:
            history = self._services.get(service.name)
            if history is None or history.objective.period_s != service.objective.period_s:
                history = _ServiceHistory(service.objective)
            history.objective = service.objective
            services[service.name] = history
        self._services = services
        self._zones = {t.name: t.zone for s in configuration.services for t in s.targets}

    def record(self, now_ms: int, notice: Notice) -> None:
        """Count a notice of the core; notices without effect on an objective are ignored."""
        match notice:
            case FlowOpened(service=service, target=target):
                self._count(now_ms, service, target, Counts(opened=1))
            case FlowEnded(service=service, target=target, end=FlowEnd.ANSWERED):
                counts = Counts(answered=1, in_time=int(notice.is_in_time))
                self._count(now_ms, service, target, counts)
            case FlowEnded(service=service, target=target, end=end) if end in BROKEN_ENDS:
                self._count(now_ms, service, target, Counts(broken=1))
            case OpenRefused(service=service):
                self._count(now_ms, service, None, Counts(refused=1))
            case _:
                return

    def snapshot(self, now_ms: int) -> ObjectiveSnapshot:
        """Return the counters of all services."""
        for history in self._services.values():
            history.advance(now_ms)
        services = tuple(h.snapshot(name, now_ms) for name, h in self._services.items())
        return ObjectiveSnapshot(max(0, now_ms - self._started_ms), services)

    def _count(
        self, now_ms: int, service: ServiceName, target: TargetName | None, counts: Counts
    ) -> None:
        history = self._services.get(service)
        if history is None:
            return
        history.advance(now_ms)
        bucket = history.current
        bucket.total.add(counts)
        if target is None:
            return
        target_counts = bucket.counts_of(target)
        if target_counts is not None:
            target_counts.add(counts)
        zone = self._zones.get(target)
        if zone is not None:
            bucket.by_zone.setdefault(zone, Counts()).add(counts)
