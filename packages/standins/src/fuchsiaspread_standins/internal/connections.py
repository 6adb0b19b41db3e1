"""The TCP connections of one host, without I/O."""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from fuchsiaspread_core.identifiers import Endpoint

from ..transport import (
    Connect,
    Connection,
    Event,
    Output,
    SegmentReceived,
    State,
    TimerExpired,
    Transmit,
)
from .segments import ACK, RST, SYN, Segment, reset_for


class ConnectionKey(NamedTuple):
    """Identify a connection by its two endpoints."""

    local: Endpoint
    remote: Endpoint


KeyedOutput = tuple[ConnectionKey, Output]


class Connections:
    """Dispatch segments and timers to connections; closed connections are removed."""

    def __init__(self, seed: int, accepts: Callable[[Endpoint], bool]) -> None:
        self._random = random.Random(seed)
        self._accepts = accepts
        self._connections: dict[ConnectionKey, Connection] = {}
        self._timers: list[tuple[int, ConnectionKey]] = []
        self._armed: dict[ConnectionKey, int] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def __contains__(self, key: ConnectionKey) -> bool:
        return key in self._connections

    @property
    def next_deadline_ms(self) -> int | None:
        """Return when the earliest timer expires."""
        return self._timers[0][0] if self._timers else None

    def connect(self, now_ms: int, local: Endpoint, remote: Endpoint) -> list[KeyedOutput]:
        """Open a connection."""
        key = ConnectionKey(local, remote)
        self._connections[key] = Connection(local, remote, self._random.getrandbits(32))
        return self.handle_event(now_ms, key, Connect())

    def receive(self, now_ms: int, segment: Segment) -> list[KeyedOutput]:
        """Handle a segment from the network.

        A segment of no known connection opens one if it is an acceptable SYN; otherwise it is
        answered with a reset, unless it is a reset. Such a SYN also replaces a connection in
        TIME_WAIT.
        """
        key = ConnectionKey(segment.destination, segment.source)
        known = self._connections.get(key)
        is_acceptable_syn = segment.flags & (SYN | ACK | RST) == SYN and self._accepts(
            segment.destination
        )
        if is_acceptable_syn and (known is None or known.state is State.TIME_WAIT):
            initial_sequence = self._random.getrandbits(32)
            self._connections[key] = Connection(key.local, key.remote, initial_sequence)
        elif known is None:
            reset = reset_for(segment)
            return [] if reset is None else [(key, Transmit(reset))]
        return self.handle_event(now_ms, key, SegmentReceived(segment))

    def handle_event(self, now_ms: int, key: ConnectionKey, event: Event) -> list[KeyedOutput]:
        """Pass an event to a connection; ignore it if the connection has closed."""
        connection = self._connections.get(key)
        if connection is None:
            return []
        outputs = connection.handle(now_ms, event)
        if connection.state is State.CLOSED:
            del self._connections[key]
            self._armed.pop(key, None)
        elif connection.timer_ms is not None and self._is_earlier(key, connection.timer_ms):
            self._armed[key] = connection.timer_ms
            heapq.heappush(self._timers, (connection.timer_ms, key))
        return [(key, output) for output in outputs]

    def handle_timers(self, now_ms: int) -> list[KeyedOutput]:
        """Handle the timers that have expired."""
        outputs: list[KeyedOutput] = []
        while self._timers and self._timers[0][0] <= now_ms:
            deadline_ms, key = heapq.heappop(self._timers)
            if self._armed.get(key) == deadline_ms:
                del self._armed[key]
                outputs += self.handle_event(now_ms, key, TimerExpired())
        return outputs

    def remove_all(self) -> None:
        """Remove all connections, as after a restart of the host."""
        self._connections.clear()
        self._timers.clear()
        self._armed.clear()

    # Each connection has one armed timer; a later deadline is armed when the earlier one expires.
    def _is_earlier(self, key: ConnectionKey, timer_ms: int) -> bool:
        armed_ms = self._armed.get(key)
        return armed_ms is None or timer_ms < armed_ms
