"""Simulated callers of the in-memory fleet."""

from dataclasses import dataclass
from enum import StrEnum

from fuchsiaspread_core.identifiers import FlowKey

from .packet import (
    TOKEN_RANGE,
    CallerPacket,
    CallerPacketKind,
    TargetPacket,
    TargetPacketKind,
)

OPEN_RETRY_MS = 1000
DATA_RETRY_MS = 300
MAX_RETRIES = 12
# The packet number of the only packet of a request; packets of a stream count from 0.
REQUEST_NUMBER = -1


class FlowOutcome(StrEnum):
    """Name the outcomes of a flow as the caller sees them."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


@dataclass(slots=True)
class FleetCaller:
    """Open a flow, then send one request, or one message per interval on a stream.

    A flow ends as broken after a reset, and as timed out after `MAX_RETRIES` packets without an
    answer.
    """

    flow: FlowKey
    service: str
    caller_token: int
    is_stream: bool
    interval_ms: int = 1000
    outcome: FlowOutcome | None = None
    opened_ms: int | None = None
    ended_ms: int | None = None
    next_ms: int | None = 0
    scheduled_ms: int | None = None
    number: int = 0
    target_token: int | None = None
    retries: int = 0
    _is_awaiting_answer: bool = False

    def take_due_packets(self, now_ms: int) -> list[CallerPacket]:
        """Return the packets to send now and set the time of the next action."""
        if self.outcome is not None or self.next_ms is None or now_ms < self.next_ms:
            return []
        if self.opened_ms is None:
            self.opened_ms = now_ms
        if self.retries > MAX_RETRIES:
            return self._end(now_ms, FlowOutcome.TIMED_OUT)
        if self.target_token is None:
            self.retries += 1
            self.next_ms = now_ms + OPEN_RETRY_MS * min(self.retries, 4)
            return [self._packet(CallerPacketKind.OPEN)]
        if self._is_awaiting_answer:
            self.retries += 1
        self._is_awaiting_answer = True
        self.next_ms = now_ms + DATA_RETRY_MS * (self.retries + 1)
        return [self._packet(CallerPacketKind.DATA)]

    def receive(self, now_ms: int, packet: TargetPacket) -> list[CallerPacket]:
        """Handle a received packet and return the packets to send in reply."""
        match packet.kind:
            case TargetPacketKind.RESET:
                return self._receive_reset(now_ms, packet)
            case TargetPacketKind.ACCEPT:
                return self._receive_accept(now_ms, packet)
            case _:
                return self._receive_answer(now_ms, packet)

    def _receive_reset(self, now_ms: int, packet: TargetPacket) -> list[CallerPacket]:
        if self.target_token is None:
            if packet.ack_number == (self.caller_token + 1) % TOKEN_RANGE:
                return self._end(now_ms, FlowOutcome.NOT_RUN)
        elif packet.target_token == (self.target_token + 1) % TOKEN_RANGE:
            return self._end(now_ms, FlowOutcome.BROKEN)
        return []

    def _receive_accept(self, now_ms: int, packet: TargetPacket) -> list[CallerPacket]:
        if packet.ack_number != (self.caller_token + 1) % TOKEN_RANGE:
            return []
        if self.target_token is not None:
            return []
        self.target_token = packet.target_token
        self.retries = 0
        self.next_ms = now_ms
        return self.take_due_packets(now_ms)

    def _receive_answer(self, now_ms: int, packet: TargetPacket) -> list[CallerPacket]:
        if self.target_token is None or packet.number != self._expected_number():
            return []
        if packet.target_token != (self.target_token + 1) % TOKEN_RANGE:
            return []
        if not self.is_stream:
            return self._end(now_ms, FlowOutcome.ANSWERED)
        if self._is_awaiting_answer:
            self._is_awaiting_answer = False
            self.retries = 0
            self.number += 1
            self.next_ms = now_ms + self.interval_ms
        return []

    def _expected_number(self) -> int:
        return self.number if self.is_stream else REQUEST_NUMBER

    def _packet(self, kind: CallerPacketKind) -> CallerPacket:
        token = 0 if self.target_token is None else (self.target_token + 1) % TOKEN_RANGE
        return CallerPacket(
            kind, self.flow, self.service, self.caller_token, token, self._expected_number()
        )

    def _end(self, now_ms: int, outcome: FlowOutcome) -> list[CallerPacket]:
        self.outcome = outcome
        self.ended_ms = now_ms
        self.next_ms = None
        return []
