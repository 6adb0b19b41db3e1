"""Respill: offering queued opens to the other shards again."""

from itertools import chain, islice

from ..decisions import OpenRequest
from ..identifiers import FlowKey
from .admitted_flows import time_allowed_ms
from .lanes import Lane
from .open_queue import OpenQueue, PendingOpen

# Only a few opens are offered in each interval, so that the cost stays constant when every shard
# is full, regardless of the queue length.
RESPILL_INTERVAL_MS = 20
RESPILL_OPENS = 4
# A longer queue means that demand exceeds capacity, and the other shards are then full too.
RESPILL_QUEUE_LIMIT = 8
# An open that its own shard cannot serve may look for a slot in the others for a quarter of its
# deadline, so that a refusal still comes early enough for the caller to react.
DEADLINE_DIVISOR = 4


class Respill:
    """Take the first opens from the queue to offer them to the other shards again.

    Otherwise opens would keep waiting in a shard whose slots are held by long requests while
    slots become free elsewhere. An open that finds no slot returns to its place in the queue.
    """

    def __init__(self, queue: OpenQueue) -> None:
        self._queue = queue
        self._declined: dict[FlowKey, PendingOpen] = {}
        self._next_ms = 0

    def take_due(self, now_ms: int) -> list[FlowKey]:
        """Remove and return the queued opens that are due for another round."""
        declined = self._declined.items()
        self._declined = {
            flow: pending for flow, pending in declined if pending.expires_ms > now_ms
        }
        if now_ms < self._next_ms or len(self._queue) > RESPILL_QUEUE_LIMIT:
            return []
        waiting = chain(self._queue.waiting(Lane.SHORT), self._queue.waiting(Lane.LONG))
        allowed = (pending for pending in waiting if pending.request.may_respill)
        due = list(islice(allowed, RESPILL_OPENS))
        if due:
            self._next_ms = now_ms + RESPILL_INTERVAL_MS
        for pending in due:
            self._queue.remove(pending.request.flow)
            self.note_declined(pending)
        return [pending.request.flow for pending in due]

    def note_declined(self, pending: PendingOpen) -> None:
        """Keep a declined open, with its queue position and the targets that failed it."""
        self._declined[pending.request.flow] = pending

    def may_wait_to_respill(self, now_ms: int, pending: PendingOpen) -> bool:
        """Return whether an open may be queued here just to be offered to other shards."""
        others = len(self._queue) - (pending.request.flow in self._queue)
        if not pending.request.may_respill or others >= RESPILL_QUEUE_LIMIT:
            return False
        limit_ms = time_allowed_ms(pending.request.kind) // DEADLINE_DIVISOR
        return now_ms - pending.offered_ms < limit_ms

    def take_returned(self, request: OpenRequest) -> PendingOpen | None:
        """Remove and return the declined open that is offered again, or None for a new open."""
        pending = self._declined.pop(request.flow, None)
        if pending is None or pending.request.caller_token != request.caller_token:
            return None
        pending.request = request
        return pending

    def forget(self, flow: FlowKey) -> None:
        """Drop a declined open whose caller left."""
        self._declined.pop(flow, None)
