"""Estimates how long an open would wait and whether it could still be answered in time."""

from math import sqrt

from ..configuration import RequestKind
from ..decisions import OpenRequest
from ..notices import RefusalReason
from .admitted_flows import time_allowed_ms
from .lanes import Lane, LaneHistory
from .load_view import LoadView
from .open_queue import OpenQueue, PendingOpen
from .service_times import WINDOW_SAMPLES, ServiceTimes

# The estimate assumes that the service takes at most this share of the deadline. Otherwise no open
# could ever wait if the service time is close to the deadline.
MAX_SERVICE_SHARE = 0.5
# Standard errors added to the estimated wait of a short open. Without them, 13% of the work at
# peak load started too late to meet its deadline.
WAIT_MARGIN = 2.5


class ExpectedWait:
    """Estimate waits from the queue length, the number of slots and past service times."""

    def __init__(self, view: LoadView, queue: OpenQueue, times: ServiceTimes) -> None:
        self._view = view
        self._queue = queue
        self._times = times

    def new_pending(self, now_ms: int, request: OpenRequest, history: LaneHistory) -> PendingOpen:
        """Return an open with its lane and the time after which it is too late to serve it."""
        allowed_ms = time_allowed_ms(request.kind)
        if not isinstance(request.kind, RequestKind):
            return PendingOpen(request, Lane.STREAM, now_ms, now_ms + allowed_ms)
        lane = history.lane_of(request.flow)
        mean_ms = self._mean_service_ms(lane)
        expires_ms = now_ms + int(allowed_ms - min(mean_ms, MAX_SERVICE_SHARE * allowed_ms))
        return PendingOpen(request, lane, now_ms, expires_ms)

    def refusal_reason(self, now_ms: int, pending: PendingOpen) -> RefusalReason | None:
        """Return why an open must not be queued, or None if it may be."""
        lane = pending.lane
        if self._queue.is_full(lane):
            return RefusalReason.QUEUE_FULL
        if lane is Lane.STREAM:
            return None if self._has_free_connection(now_ms) else RefusalReason.QUEUE_FULL
        allowed_ms = time_allowed_ms(pending.request.kind)
        # Uses the tail, not the mean: half of the admitted work takes longer than the mean, and
        # a late answer wastes its slot.
        tail_ms = self._times.short_tail_ms if lane is Lane.SHORT else self._times.long_mean_ms
        service_ms = min(tail_ms, MAX_SERVICE_SHARE * allowed_ms)
        is_late = self._wait_ms(now_ms, lane) + service_ms > allowed_ms
        return RefusalReason.DEADLINE if is_late else None

    def _wait_ms(self, now_ms: int, lane: Lane) -> float:
        if lane is Lane.LONG:
            slots = self._view.long_slot_limit(now_ms)
        else:
            slots = max(1, self._view.slot_count(now_ms) - self._view.long_slots())
        ahead = self._queue.count(lane) + 1
        wait_ms = ahead * self._mean_service_ms(lane) / slots
        if lane is Lane.LONG:
            return wait_ms
        # Both the total work ahead and the sampled mean vary, about as for exponentially
        # distributed service times.
        return wait_ms * (1 + WAIT_MARGIN * sqrt(1 / ahead + 1 / WINDOW_SAMPLES))

    def _mean_service_ms(self, lane: Lane) -> float:
        return self._times.long_mean_ms if lane is Lane.LONG else self._times.short_mean_ms

    def _has_free_connection(self, now_ms: int) -> bool:
        loads = self._view.in_use(now_ms)
        return any(load.connections < load.target.connections for load in loads)
