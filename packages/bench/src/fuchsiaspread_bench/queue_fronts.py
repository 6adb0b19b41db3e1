"""Baselines: a queue at each target, and one unbounded queue a shard."""

from collections import deque
from collections.abc import Callable
from random import Random

from fuchsiaspread_core.rendezvous import rank_weighted

from .product_front import CALLER_DELAY_MS, SLOT_OVERHEAD_MS
from .request_load import Request
from .target_fleet import FleetShape, LoadMeter
from .virtual_clock import VirtualClock


class TargetQueue:
    """Serve requests in order of arrival on a number of slots, without a bound."""

    def __init__(
        self, clock: VirtualClock, slots: int, note: Callable[[int], None] | None = None
    ) -> None:
        self._clock = clock
        self._free_slots = slots
        self._waiting: deque[Request] = deque()
        self._note = note

    def add(self, request: Request) -> None:
        """Take a request."""
        if self._note is not None:
            self._note(1)
        self._waiting.append(request)
        self._serve()

    def _serve(self) -> None:
        while self._free_slots > 0 and self._waiting:
            self._free_slots -= 1
            request = self._waiting.popleft()
            delay_ms = SLOT_OVERHEAD_MS + request.work_ms
            self._clock.call_later(delay_ms, lambda served=request: self._end(served))

    def _end(self, request: Request) -> None:
        self._free_slots += 1
        if self._note is not None:
            self._note(-1)
        request.answered_ms = self._clock.now_ms + CALLER_DELAY_MS
        self._serve()


class TargetQueuesFront:
    """Spread requests over the targets' own queues, round robin or at random."""

    def __init__(
        self,
        clock: VirtualClock,
        shape: FleetShape,
        random: Random | None = None,
        meter: LoadMeter | None = None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._next = 0
        self._queues: list[TargetQueue] = []
        for members in shape.targets().values():
            for target in members:
                note = None if meter is None else self._noting(meter, target.name)
                self._queues.append(TargetQueue(clock, target.slots, note))

    def offer(self, request: Request) -> None:
        """Give a request to the next target."""
        if self._random is not None:
            queue = self._random.choice(self._queues)
        else:
            queue = self._queues[self._next]
            self._next = (self._next + 1) % len(self._queues)
        self._clock.call_later(CALLER_DELAY_MS, lambda: queue.add(request))

    def _noting(self, meter: LoadMeter, name: str) -> Callable[[int], None]:
        return lambda difference: meter.change(self._clock.now_ms, name, difference)


class PooledQueueFront:
    """Keep one queue over the slots of all targets in all zones."""

    def __init__(self, clock: VirtualClock, shape: FleetShape) -> None:
        self._clock = clock
        self._queue = TargetQueue(clock, shape.slot_count)

    def offer(self, request: Request) -> None:
        """Put a request into the queue."""
        self._clock.call_later(CALLER_DELAY_MS, lambda: self._queue.add(request))


class UnboundedQueueFront:
    """Keep one queue a shard that takes everything and serves it however late."""

    def __init__(self, clock: VirtualClock, shape: FleetShape) -> None:
        self._clock = clock
        targets = shape.targets()
        self._weights = {zone: len(members) for zone, members in targets.items()}
        self._queues = {
            zone: TargetQueue(clock, sum(target.slots for target in members))
            for zone, members in targets.items()
        }

    def offer(self, request: Request) -> None:
        """Put a request into the queue of its home shard."""
        home = rank_weighted(request.flow, self._weights)[0]
        self._clock.call_later(CALLER_DELAY_MS, lambda: self._queues[home].add(request))
