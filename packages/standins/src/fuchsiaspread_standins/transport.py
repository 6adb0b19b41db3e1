"""A TCP connection as a state machine without I/O."""

from collections import deque
from dataclasses import replace
from enum import Enum, auto
from typing import assert_never

from fuchsiaspread_core.identifiers import Endpoint

from .internal.connection_messages import (
    Abort,
    Close,
    Connect,
    Delivered,
    Event,
    Finished,
    Opened,
    Output,
    PeerClosed,
    Refused,
    RetriesExhausted,
    SegmentReceived,
    TimerExpired,
    Transmit,
    WasReset,
    Write,
)
from .internal.segments import (
    ACK,
    FIN,
    RST,
    SEQUENCE_MASK,
    SYN,
    WINDOW_BYTES,
    Segment,
    distance,
    reset_for,
)

__all__ = [
    "Abort",
    "Close",
    "Connect",
    "Connection",
    "Delivered",
    "Event",
    "Finished",
    "Opened",
    "Output",
    "PeerClosed",
    "Refused",
    "RetriesExhausted",
    "SegmentReceived",
    "State",
    "TimerExpired",
    "TransitionEvent",
    "Transmit",
    "WasReset",
    "Write",
]

SEGMENT_DATA_BYTES = 1200
IN_FLIGHT_LIMIT = 32
INITIAL_TIMEOUT_MS = 200
# The maximum interval is short, so that a flow resumes soon after the loss of an entry VM.
MAX_TIMEOUT_MS = 1600
# With the two timeouts above, a peer may be silent for about 14 s.
RETRANSMISSION_LIMIT = 10
TIME_WAIT_MS = 1000


class State(Enum):
    """Name the TCP states of a connection."""

    LISTEN = auto()
    SYN_SENT = auto()
    SYN_RECEIVED = auto()
    ESTABLISHED = auto()
    FIN_WAIT_1 = auto()
    FIN_WAIT_2 = auto()
    CLOSING = auto()
    CLOSE_WAIT = auto()
    LAST_ACK = auto()
    TIME_WAIT = auto()
    CLOSED = auto()


class TransitionEvent(Enum):
    """Name the events that cause state transitions."""

    HANDSHAKE = auto()
    LOCAL_CLOSE = auto()
    PEER_CLOSE = auto()
    CLOSE_ACKNOWLEDGED = auto()


TRANSITIONS: dict[tuple[State, TransitionEvent], State] = {
    (State.SYN_SENT, TransitionEvent.HANDSHAKE): State.ESTABLISHED,
    (State.SYN_RECEIVED, TransitionEvent.HANDSHAKE): State.ESTABLISHED,
    (State.ESTABLISHED, TransitionEvent.LOCAL_CLOSE): State.FIN_WAIT_1,
    (State.ESTABLISHED, TransitionEvent.PEER_CLOSE): State.CLOSE_WAIT,
    (State.FIN_WAIT_1, TransitionEvent.PEER_CLOSE): State.CLOSING,
    (State.FIN_WAIT_1, TransitionEvent.CLOSE_ACKNOWLEDGED): State.FIN_WAIT_2,
    (State.FIN_WAIT_2, TransitionEvent.PEER_CLOSE): State.TIME_WAIT,
    (State.CLOSING, TransitionEvent.CLOSE_ACKNOWLEDGED): State.TIME_WAIT,
    (State.CLOSE_WAIT, TransitionEvent.LOCAL_CLOSE): State.LAST_ACK,
    (State.LAST_ACK, TransitionEvent.CLOSE_ACKNOWLEDGED): State.CLOSED,
}
SENDING_STATES = frozenset({State.ESTABLISHED, State.CLOSE_WAIT})


class Connection:
    """A TCP connection; `timer_ms` is the time when `TimerExpired` is due, or None."""

    def __init__(self, local: Endpoint, remote: Endpoint, initial_sequence: int) -> None:
        self.local, self.remote = local, remote
        self.state = State.LISTEN
        self.timer_ms: int | None = None
        self.receive_next = 0
        self._send_next = initial_sequence
        self._unsent = bytearray()
        self._is_close_pending = False
        self._in_flight: deque[Segment] = deque()
        self._out_of_order: dict[int, Segment] = {}
        self._timeout_ms = INITIAL_TIMEOUT_MS
        self._retransmissions = 0

    def handle(self, now_ms: int, event: Event) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        outputs: list[Output] = []
        match event:
            case Connect():
                self.state = State.SYN_SENT
                self._send(now_ms, SYN, b"", outputs)
            case SegmentReceived(segment):
                self._receive_segment(now_ms, segment, outputs)
            case Write(data):
                self._unsent += data
                self._flush(now_ms, outputs)
            case Close():
                self._is_close_pending = True
                self._flush(now_ms, outputs)
            case Abort():
                if self.state not in (State.LISTEN, State.SYN_SENT, State.CLOSED):
                    outputs.append(Transmit(self._segment(RST | ACK, self._send_next)))
                self._enter_closed()
            case TimerExpired():
                self._handle_timer(now_ms, outputs)
            case _:
                assert_never(event)
        return outputs

    def _receive_segment(self, now_ms: int, segment: Segment, outputs: list[Output]) -> None:
        match self.state:
            case State.CLOSED:
                pass
            case State.LISTEN:
                if segment.flags & (SYN | ACK | RST) == SYN:
                    self.state = State.SYN_RECEIVED
                    self.receive_next = (segment.sequence + 1) & SEQUENCE_MASK
                    self._send(now_ms, SYN | ACK, b"", outputs)
            case State.SYN_SENT:
                self._receive_in_syn_sent(now_ms, segment, outputs)
            case _:
                self._receive_synchronized(now_ms, segment, outputs)

    def _receive_in_syn_sent(self, now_ms: int, segment: Segment, outputs: list[Output]) -> None:
        has_wrong_ack = segment.flags & ACK and segment.ack_number != self._send_next
        if has_wrong_ack:
            answer = reset_for(segment)
            if answer is not None:
                outputs.append(Transmit(answer))
        elif segment.flags & RST and segment.flags & ACK:
            self._enter_closed()
            outputs.append(Refused())
        elif segment.flags & SYN and segment.flags & ACK:
            self.receive_next = (segment.sequence + 1) & SEQUENCE_MASK
            self._acknowledge(now_ms, segment.ack_number)
            self.state = TRANSITIONS[self.state, TransitionEvent.HANDSHAKE]
            outputs += [Transmit(self._segment(ACK, self._send_next)), Opened()]
            self._flush(now_ms, outputs)

    def _receive_synchronized(self, now_ms: int, segment: Segment, outputs: list[Output]) -> None:
        if segment.flags & RST:
            self._receive_reset(segment, outputs)
        elif segment.flags & SYN:
            is_repeated = segment.sequence + 1 & SEQUENCE_MASK == self.receive_next
            if self.state is State.SYN_RECEIVED and is_repeated:
                outputs.append(Transmit(self._in_flight[0]))
            else:
                outputs.append(Transmit(self._segment(ACK, self._send_next)))
        elif segment.flags & ACK and self._is_acceptable(segment, outputs):
            if self.state is State.SYN_RECEIVED:
                self.state = TRANSITIONS[self.state, TransitionEvent.HANDSHAKE]
                outputs.append(Opened())
            self._acknowledge(now_ms, segment.ack_number)
            self._receive_data(now_ms, segment, outputs)
            self._flush(now_ms, outputs)
            if self.state is State.CLOSED:
                outputs.append(Finished())

    def _receive_reset(self, segment: Segment, outputs: list[Output]) -> None:
        ahead = distance(segment.sequence, self.receive_next)
        if ahead == 0:
            is_finished = self.state in (State.TIME_WAIT, State.LAST_ACK)
            self._enter_closed()
            outputs.append(Finished() if is_finished else WasReset())
        elif 0 < ahead < WINDOW_BYTES:
            # Challenge ACK (RFC 5961): a blind reset must not end the connection. A peer that has
            # no such connection answers the challenge with a reset that has the exact sequence
            # number.
            outputs.append(Transmit(self._segment(ACK, self._send_next)))

    def _is_acceptable(self, segment: Segment, outputs: list[Output]) -> bool:
        ahead = distance(segment.ack_number, self._send_next)
        if self.state is State.SYN_RECEIVED and ahead != 0:
            answer = reset_for(segment)
            assert answer is not None
            outputs.append(Transmit(answer))
            return False
        if ahead > 0:
            outputs.append(Transmit(self._segment(ACK, self._send_next)))
            return False
        return True

    def _acknowledge(self, now_ms: int, ack_number: int) -> None:
        has_progress = False
        while self._in_flight:
            first = self._in_flight[0]
            if distance(ack_number, first.sequence + first.length) < 0:
                break
            self._in_flight.popleft()
            has_progress = True
            if first.flags & FIN:
                self._transition(now_ms, TransitionEvent.CLOSE_ACKNOWLEDGED)
        if has_progress:
            self._timeout_ms = INITIAL_TIMEOUT_MS
            self._retransmissions = 0
            if self.state is not State.TIME_WAIT:
                self.timer_ms = now_ms + self._timeout_ms if self._in_flight else None

    def _receive_data(self, now_ms: int, segment: Segment, outputs: list[Output]) -> None:
        if not segment.length:
            return
        if 0 <= distance(segment.sequence, self.receive_next) < WINDOW_BYTES:
            self._out_of_order.setdefault(segment.sequence, segment)
        data = bytearray()
        has_ended = False
        while (following := self._out_of_order.pop(self.receive_next, None)) is not None:
            self.receive_next = (following.sequence + following.length) & SEQUENCE_MASK
            data += following.data
            if following.flags & FIN:
                has_ended = True
                self._transition(now_ms, TransitionEvent.PEER_CLOSE)
        outputs.append(Transmit(self._segment(ACK, self._send_next)))
        if data:
            outputs.append(Delivered(bytes(data)))
        if has_ended:
            outputs.append(PeerClosed())

    def _flush(self, now_ms: int, outputs: list[Output]) -> None:
        if self.state not in SENDING_STATES:
            return
        while self._unsent and len(self._in_flight) < IN_FLIGHT_LIMIT:
            data = bytes(self._unsent[:SEGMENT_DATA_BYTES])
            del self._unsent[:SEGMENT_DATA_BYTES]
            self._send(now_ms, ACK, data, outputs)
        if self._is_close_pending and not self._unsent:
            self._send(now_ms, FIN | ACK, b"", outputs)
            self._transition(now_ms, TransitionEvent.LOCAL_CLOSE)

    def _send(self, now_ms: int, flags: int, data: bytes, outputs: list[Output]) -> None:
        segment = self._segment(flags, self._send_next, data)
        self._send_next = (self._send_next + segment.length) & SEQUENCE_MASK
        self._in_flight.append(segment)
        if self.timer_ms is None:
            self.timer_ms = now_ms + self._timeout_ms
        outputs.append(Transmit(segment))

    def _segment(self, flags: int, sequence: int, data: bytes = b"") -> Segment:
        ack_number = self.receive_next if flags & ACK else 0
        return Segment(self.local, self.remote, flags, sequence, ack_number, data)

    def _transition(self, now_ms: int, event: TransitionEvent) -> None:
        self.state = TRANSITIONS.get((self.state, event), self.state)
        if self.state is State.TIME_WAIT:
            self.timer_ms = now_ms + TIME_WAIT_MS
        elif self.state is State.CLOSED:
            self._enter_closed()

    def _handle_timer(self, now_ms: int, outputs: list[Output]) -> None:
        if self.timer_ms is None or now_ms < self.timer_ms:
            return
        if self.state is State.TIME_WAIT:
            self._enter_closed()
            outputs.append(Finished())
            return
        self._retransmissions += 1
        if self._retransmissions > RETRANSMISSION_LIMIT:
            self._enter_closed()
            outputs.append(RetriesExhausted())
            return
        first = self._in_flight[0]
        if first.flags & ACK:
            first = replace(first, ack_number=self.receive_next)
        outputs.append(Transmit(first))
        self._timeout_ms = min(self._timeout_ms * 2, MAX_TIMEOUT_MS)
        self.timer_ms = now_ms + self._timeout_ms

    def _enter_closed(self) -> None:
        self.state = State.CLOSED
        self.timer_ms = None
        self._in_flight.clear()
        self._out_of_order.clear()
