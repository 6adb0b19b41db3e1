"""Targets of the in-memory fleet."""

from collections import Counter
from dataclasses import dataclass, field

from fuchsiaspread_core.identifiers import FlowKey
from xxhash import xxh32_intdigest

from .packet import (
    TOKEN_RANGE,
    CallerPacket,
    CallerSignal,
    TargetPacket,
    TargetSignal,
)


@dataclass(slots=True)
class Connection:
    """Hold the target's end of a connection."""

    caller_token: int
    target_token: int
    is_established: bool = False


@dataclass(slots=True)
class FleetTarget:
    """Answer packets as a host's transport does; a request ends with the answer."""

    name: str
    service: str
    request_ms: int = 20
    is_silent: bool = False
    connections: dict[FlowKey, Connection] = field(default_factory=dict)
    runs: Counter[tuple[FlowKey, int]] = field(default_factory=Counter)
    opens: int = 0
    last_open_ms: int = -1
    wrong_service_packets: int = 0
    most_running: int = 0
    _next_token: int = 1
    _ends_ms: dict[tuple[FlowKey, int], int] = field(default_factory=dict)

    def receive(self, now_ms: int, packet: CallerPacket) -> list[tuple[int, TargetPacket]]:
        """Take a caller's packet; return replies, each with a delay in milliseconds."""
        if packet.service != self.service:
            self.wrong_service_packets += 1
        if self.is_silent:
            return []
        match packet.signal:
            case CallerSignal.OPEN:
                return self._open(now_ms, packet)
            case CallerSignal.RESET:
                self.connections.pop(packet.flow, None)
                return []
            case CallerSignal.DATA:
                return self._data(now_ms, packet)

    def _open(self, now_ms: int, packet: CallerPacket) -> list[tuple[int, TargetPacket]]:
        connection = self.connections.get(packet.flow)
        if connection is None or connection.caller_token != packet.caller_token:
            self.opens += 1
            self.last_open_ms = now_ms
            self._next_token += 1
            # Tokens of different targets and connections must differ widely, as real ones do.
            token = xxh32_intdigest(f"{self.name}/{self._next_token}".encode())
            connection = Connection(packet.caller_token, token)
            self.connections[packet.flow] = connection
        acknowledges = (packet.caller_token + 1) % TOKEN_RANGE
        token = connection.target_token
        return [(0, TargetPacket(TargetSignal.ACCEPT, packet.flow, token, acknowledges))]

    def _data(self, now_ms: int, packet: CallerPacket) -> list[tuple[int, TargetPacket]]:
        connection = self.connections.get(packet.flow)
        is_bound = (
            connection is not None
            and (connection.target_token + 1) % TOKEN_RANGE == packet.acknowledges
        )
        if connection is None or not is_bound:
            token = packet.acknowledges
            return [(0, TargetPacket(TargetSignal.RESET, packet.flow, token, packet.number))]
        reply = TargetPacket(
            TargetSignal.DATA, packet.flow, packet.acknowledges, packet.number, packet.number
        )
        if packet.number >= 0:
            return [(0, reply)]
        run = (packet.flow, packet.caller_token)
        if self.runs[run] == 0:
            self.runs[run] += 1
            self._ends_ms[run] = now_ms + self.request_ms
            self._note_run(now_ms)
            return [(self.request_ms, self._closing(packet))]
        # A repeated packet of a running request is only acknowledged.
        is_over = now_ms >= self._ends_ms[run]
        return [(0, self._closing(packet))] if is_over else []

    def _closing(self, packet: CallerPacket) -> TargetPacket:
        number = packet.number
        return TargetPacket(TargetSignal.CLOSE, packet.flow, packet.acknowledges, number, number)

    def busy_slots(self, now_ms: int) -> int:
        """Return how many requests run."""
        return sum(end_ms > now_ms for end_ms in self._ends_ms.values())

    def _note_run(self, now_ms: int) -> None:
        self.most_running = max(self.most_running, self.busy_slots(now_ms))
