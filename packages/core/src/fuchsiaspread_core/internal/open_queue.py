"""The bounded queue of a shard, with a lane for each class of opens."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import takewhile

from ..decisions import OpenRequest
from ..identifiers import FlowKey, TargetName
from .lanes import Lane

# The expected wait normally bounds the queue. These limits bound its memory if estimates are wrong.
LANE_LIMITS = {Lane.SHORT: 1024, Lane.LONG: 64, Lane.STREAM: 256}


@dataclass(slots=True)
class PendingOpen:
    """Hold an open that no target has accepted yet; `tried` lists the targets that failed it."""

    request: OpenRequest
    lane: Lane
    offered_ms: int
    expires_ms: int
    tried: tuple[TargetName, ...] = ()


class OpenQueue:
    """Hold the queued opens of a shard, in arrival order within each lane."""

    def __init__(self) -> None:
        self._lanes: dict[Lane, OrderedDict[FlowKey, PendingOpen]] = {
            lane: OrderedDict() for lane in Lane
        }
        # Entries of opens that left the queue earlier stay until their expiry and are ignored then.
        self._expiries: list[tuple[int, FlowKey]] = []

    def __len__(self) -> int:
        return sum(len(lane) for lane in self._lanes.values())

    def __contains__(self, flow: FlowKey) -> bool:
        return any(flow in lane for lane in self._lanes.values())

    def count(self, lane: Lane) -> int:
        """Return the number of opens in a lane."""
        return len(self._lanes[lane])

    def is_full(self, lane: Lane) -> bool:
        """Return whether a lane has reached its limit."""
        return len(self._lanes[lane]) >= LANE_LIMITS[lane]

    def must_wait(self, lane: Lane) -> bool:
        """Return whether a new open of a lane must wait behind others."""
        return self.count(lane) > 0 or (lane is Lane.LONG and self.count(Lane.SHORT) > 0)

    def opens(self) -> list[PendingOpen]:
        """Return all queued opens."""
        return [pending for lane in self._lanes.values() for pending in lane.values()]

    def waiting(self, lane: Lane) -> Iterator[PendingOpen]:
        """Iterate over the opens of a lane in the order in which they are served."""
        return iter(self._lanes[lane].values())

    def find(self, flow: FlowKey) -> PendingOpen | None:
        """Return a queued open, or None."""
        return next((lane[flow] for lane in self._lanes.values() if flow in lane), None)

    def put(self, pending: PendingOpen, is_first: bool = False) -> None:
        """Add an open; with `is_first`, put it back where its arrival time places it."""
        flow = pending.request.flow
        assert flow not in self
        lane = self._lanes[pending.lane]
        lane[flow] = pending
        if is_first:
            earlier = takewhile(lambda other: other.offered_ms < pending.offered_ms, lane.values())
            for first in [pending, *reversed(list(earlier))]:
                lane.move_to_end(first.request.flow, last=False)
        heappush(self._expiries, (pending.expires_ms, flow))

    def remove(self, flow: FlowKey) -> PendingOpen | None:
        """Remove and return an open, or return None if it is not queued."""
        for lane in self._lanes.values():
            if flow in lane:
                return lane.pop(flow)
        return None

    def expire(self, now_ms: int) -> list[PendingOpen]:
        """Remove and return the opens that can no longer be answered in time."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, flow = heappop(self._expiries)
            pending = self.find(flow)
            if pending is not None and pending.expires_ms <= now_ms:
                self.remove(flow)
                expired.append(pending)
        return expired
