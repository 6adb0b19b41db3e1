"""Baselines: a queue at each target, one queue for all targets, one unbounded queue per shard."""

from collections import deque
from collections.abc import Callable
from random import Random

from fuchsiaspread_core.rendezvous import rank_weighted

from .product_balancer import CALLER_DELAY_MS, SLOT_OVERHEAD_MS
from .request_load import Request
from .target_fleet import FleetShape, LoadMeter
from .virtual_clock import VirtualClock


class TargetQueue:
    """Unbounded first-come-first-served queue for a number of slots."""

    def __init__(
        self, clock: VirtualClock, slots: int, on_change: Callable[[int], None] | None = None
    ) -> None:
        self._clock = clock
        self._free_slots = slots
        self._waiting: deque[Request] = deque()
        self._on_change = on_change

    def add(self, request: Request) -> None:
        """Add a request to the queue."""
        if self._on_change is not None:
            self._on_change(1)
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
        if self._on_change is not None:
            self._on_change(-1)
        request.answered_ms = self._clock.now_ms + CALLER_DELAY_MS
        self._serve()


class TargetQueuesBalancer:
    """Distributes requests over one queue per target, round robin or at random."""

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
                on_change = None if meter is None else self._load_recorder(meter, target.name)
                self._queues.append(TargetQueue(clock, target.slots, on_change))

    def offer(self, request: Request) -> None:
        """Send a request to the next target."""
        if self._random is not None:
            queue = self._random.choice(self._queues)
        else:
            queue = self._queues[self._next]
            self._next = (self._next + 1) % len(self._queues)
        self._clock.call_later(CALLER_DELAY_MS, lambda: queue.add(request))

    def _load_recorder(self, meter: LoadMeter, name: str) -> Callable[[int], None]:
        return lambda difference: meter.change(self._clock.now_ms, name, difference)


class PooledQueueBalancer:
    """Keeps one queue for the slots of all targets in all zones."""

    def __init__(self, clock: VirtualClock, shape: FleetShape) -> None:
        self._clock = clock
        self._queue = TargetQueue(clock, shape.slot_count)

    def offer(self, request: Request) -> None:
        """Put a request into the queue."""
        self._clock.call_later(CALLER_DELAY_MS, lambda: self._queue.add(request))


class UnboundedQueueBalancer:
    """Keeps one unbounded queue per shard and serves every request, however late."""

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
