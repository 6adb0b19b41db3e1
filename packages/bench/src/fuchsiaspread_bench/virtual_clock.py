"""Event queue on a virtual clock."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class VirtualClock:
    """Run scheduled functions in order of virtual time; ties run in the order of scheduling."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule a function to run after a delay."""
        heappush(self._events, (self.now_ms + delay_ms, next(self._numbers), action))

    def run(self, until_ms: float) -> None:
        """Run all functions that are due up to the given time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heappop(self._events)
            action()
        self.now_ms = until_ms
