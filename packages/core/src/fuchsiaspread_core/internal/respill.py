"""Second chances of waiting opens at the other shards."""

from itertools import chain, islice

from ..decisions import OpenRequest
from ..identifiers import FlowKey
from .admitted_flows import time_allowed_ms
from .lanes import Lane
from .open_queue import OpenQueue, PendingOpen

# A few opens a pause: the cost stays constant when every shard is full, however long the queue.
RESPILL_PAUSE_MS = 20
RESPILL_OPENS = 4
# A longer queue means that demand exceeds capacity; the other shards are then full as well.
RESPILL_QUEUE_LIMIT = 8
# How long an open that its own shard cannot serve looks for a slot in the others. One in four
# deadlines keeps the refusal early enough for the caller to do something else.
TRAVEL_PARTS = 4


class Respill:
    """Let the first waiting opens leave the queue for another round over the other shards.

    A shard whose slots are held by long requests would otherwise keep its queue waiting while
    slots become free elsewhere. An open that finds no slot comes back with its place kept.
    """

    def __init__(self, queue: OpenQueue) -> None:
        self._queue = queue
        self._away: dict[FlowKey, PendingOpen] = {}
        self._next_ms = 0

    def take(self, now_ms: int) -> list[FlowKey]:
        """Take the opens that may leave now out of the queue."""
        away = self._away.items()
        self._away = {flow: pending for flow, pending in away if pending.expires_ms > now_ms}
        if now_ms < self._next_ms or len(self._queue) > RESPILL_QUEUE_LIMIT:
            return []
        waiting = chain(self._queue.waiting(Lane.SHORT), self._queue.waiting(Lane.LONG))
        allowed = (pending for pending in waiting if pending.request.may_respill)
        leaving = list(islice(allowed, RESPILL_OPENS))
        if leaving:
            self._next_ms = now_ms + RESPILL_PAUSE_MS
        for pending in leaving:
            self._queue.remove(pending.request.flow)
            self.leave(pending)
        return [pending.request.flow for pending in leaving]

    def leave(self, pending: PendingOpen) -> None:
        """Remember an open that is passed on, with the targets that failed it."""
        self._away[pending.request.flow] = pending

    def may_travel(self, now_ms: int, pending: PendingOpen) -> bool:
        """Return whether an open may wait here only to look for a slot in other shards."""
        others = len(self._queue) - (pending.request.flow in self._queue)
        if not pending.request.may_respill or others >= RESPILL_QUEUE_LIMIT:
            return False
        travel_ms = time_allowed_ms(pending.request.kind) // TRAVEL_PARTS
        return now_ms - pending.offered_ms < travel_ms

    def returned(self, request: OpenRequest) -> PendingOpen | None:
        """Return the open that comes back, or None for a new one."""
        pending = self._away.pop(request.flow, None)
        if pending is None or pending.request.caller_token != request.caller_token:
            return None
        pending.request = request
        return pending

    def forget(self, flow: FlowKey) -> None:
        """Drop an open whose caller left."""
        self._away.pop(flow, None)
