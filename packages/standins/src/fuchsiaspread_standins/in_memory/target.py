"""Simulated targets of the in-memory fleet."""

from collections import Counter
from dataclasses import dataclass, field

from fuchsiaspread_core.identifiers import FlowKey
from xxhash import xxh32_intdigest

from .packet import (
    TOKEN_RANGE,
    CallerPacket,
    CallerPacketKind,
    TargetPacket,
    TargetPacketKind,
)


@dataclass(slots=True)
class Connection:
    """Hold the state of a connection at the target."""

    caller_token: int
    target_token: int
    is_established: bool = False


@dataclass(slots=True)
class FleetTarget:
    """Answer packets as the transport of a host does; the answer to a request closes the flow.

    `runs` counts the executions of each request; `max_running` is the highest number of
    requests that ran at the same time.
    """

    name: str
    service: str
    request_ms: int = 20
    is_silent: bool = False
    connections: dict[FlowKey, Connection] = field(default_factory=dict)
    runs: Counter[tuple[FlowKey, int]] = field(default_factory=Counter)
    opens: int = 0
    last_open_ms: int = -1
    wrong_service_packets: int = 0
    max_running: int = 0
    _next_token: int = 1
    _ends_ms: dict[tuple[FlowKey, int], int] = field(default_factory=dict)

    def receive(self, now_ms: int, packet: CallerPacket) -> list[tuple[int, TargetPacket]]:
        """Handle a packet of a caller and return the replies, each with a delay in milliseconds."""
        if packet.service != self.service:
            self.wrong_service_packets += 1
        if self.is_silent:
            return []
        match packet.kind:
            case CallerPacketKind.OPEN:
                return self._receive_open(now_ms, packet)
            case CallerPacketKind.RESET:
                self.connections.pop(packet.flow, None)
                return []
            case CallerPacketKind.DATA:
                return self._receive_data(now_ms, packet)

    def _receive_open(self, now_ms: int, packet: CallerPacket) -> list[tuple[int, TargetPacket]]:
        connection = self.connections.get(packet.flow)
        if connection is None or connection.caller_token != packet.caller_token:
            self.opens += 1
            self.last_open_ms = now_ms
            self._next_token += 1
            # Tokens of different targets and connections must be far apart, as real initial
            # sequence numbers are.
            token = xxh32_intdigest(f"{self.name}/{self._next_token}".encode())
            connection = Connection(packet.caller_token, token)
            self.connections[packet.flow] = connection
        ack_number = (packet.caller_token + 1) % TOKEN_RANGE
        token = connection.target_token
        return [(0, TargetPacket(TargetPacketKind.ACCEPT, packet.flow, token, ack_number))]

    def _receive_data(self, now_ms: int, packet: CallerPacket) -> list[tuple[int, TargetPacket]]:
        connection = self.connections.get(packet.flow)
        has_valid_ack = (
            connection is not None
            and (connection.target_token + 1) % TOKEN_RANGE == packet.ack_number
        )
        if connection is None or not has_valid_ack:
            token = packet.ack_number
            return [(0, TargetPacket(TargetPacketKind.RESET, packet.flow, token, packet.number))]
        reply = TargetPacket(
            TargetPacketKind.DATA, packet.flow, packet.ack_number, packet.number, packet.number
        )
        if packet.number >= 0:
            return [(0, reply)]
        run = (packet.flow, packet.caller_token)
        if self.runs[run] == 0:
            self.runs[run] += 1
            self._ends_ms[run] = now_ms + self.request_ms
            self._update_max_running(now_ms)
            return [(self.request_ms, self._close_packet(packet))]
        # A retransmitted packet of a running request gets no further reply.
        is_over = now_ms >= self._ends_ms[run]
        return [(0, self._close_packet(packet))] if is_over else []

    def _close_packet(self, packet: CallerPacket) -> TargetPacket:
        number = packet.number
        return TargetPacket(TargetPacketKind.CLOSE, packet.flow, packet.ack_number, number, number)

    def busy_slots(self, now_ms: int) -> int:
        """Return the number of running requests."""
        return sum(end_ms > now_ms for end_ms in self._ends_ms.values())

    def _update_max_running(self, now_ms: int) -> None:
        self.max_running = max(self.max_running, self.busy_slots(now_ms))
