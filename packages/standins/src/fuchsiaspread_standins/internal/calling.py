"""State machines of the flows of many callers, without I/O."""

import heapq
from dataclasses import dataclass, field
from typing import assert_never

from fuchsiaspread_core.identifiers import Endpoint

from ..outcomes import Answered, BreakReason, Broken, FlowEnded, NotRun, Outcome, TimedOut
from ..transport import (
    Abort,
    Close,
    Delivered,
    Finished,
    Opened,
    PeerClosed,
    Refused,
    RetriesExhausted,
    Transmit,
    WasReset,
    Write,
)
from .connections import ConnectionKey, Connections, KeyedOutput
from .messages import FrameReader, Request, decode_answer, encode_message
from .segments import Segment

# Longer than a flow takes to recover from the loss of an entry VM (about 2 s) or a partition.
STALL_LIMIT_MS = 14_000
FIRST_PORT, LAST_PORT = 1024, 65_535


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Send one short request; `network` selects the /24 network of the caller's address."""

    address: Endpoint
    work_ms: int
    timeout_ms: int
    body_bytes: int = 0
    answer_bytes: int = 32
    network: int = 0


@dataclass(frozen=True, slots=True)
class StartStream:
    """Open a long-lived stream that exchanges a message in each interval and checks the answer."""

    address: Endpoint
    interval_ms: int
    timeout_ms: int
    answer_bytes: int = 32
    network: int = 0


@dataclass(frozen=True, slots=True)
class EndStreams:
    """End each stream once the answer to its last message is complete."""


Command = StartRequest | StartStream | EndStreams


@dataclass(slots=True)
class _Flow:
    identifier: str
    command: StartRequest | StartStream
    key: ConnectionKey
    started_ms: int
    reader: FrameReader = field(default_factory=FrameReader)
    is_open: bool = False
    pending: str | None = None
    message_count: int = 0
    answered_by: str | None = None
    is_ending: bool = False

    @property
    def is_stream(self) -> bool:
        return isinstance(self.command, StartStream)


class Callers:
    """Run the flows of many callers; the owner empties `sent` and `ended` after each call."""

    def __init__(self, name: str, seed: int, second_octet: int = 200) -> None:
        self._name = name
        self._prefix = f"10.{second_octet}"
        self._connections = Connections(seed, lambda endpoint: False)
        self._flows: dict[ConnectionKey, _Flow] = {}
        self._deadlines: list[tuple[int, ConnectionKey, str]] = []
        self._count = 0
        self._ports: dict[int, int] = {}
        self.opened_count = 0
        self.opened_stream_count = 0
        self.answered_messages = 0
        self.sent: list[Segment] = []
        self.ended: list[FlowEnded] = []

    @property
    def open_count(self) -> int:
        """Return the number of flows that are established and have not ended."""
        return sum(flow.is_open for flow in self._flows.values())

    @property
    def flow_count(self) -> int:
        """Return the number of flows that have not ended."""
        return len(self._flows)

    @property
    def next_deadline_ms(self) -> int | None:
        """Return when `handle_timers` is due."""
        deadlines = [self._connections.next_deadline_ms]
        deadlines += [self._deadlines[0][0]] if self._deadlines else []
        return min((d for d in deadlines if d is not None), default=None)

    def execute(self, now_ms: int, command: Command) -> None:
        """Execute a command."""
        match command:
            case StartRequest() | StartStream():
                self._start(now_ms, command)
            case EndStreams():
                for flow in list(self._flows.values()):
                    if flow.is_stream:
                        flow.is_ending = True
                        self._end_if_idle(now_ms, flow)
            case _:
                assert_never(command)

    def receive(self, now_ms: int, segment: Segment) -> None:
        """Handle a segment from the network."""
        self._process_outputs(now_ms, self._connections.receive(now_ms, segment))

    def handle_timers(self, now_ms: int) -> None:
        """Handle the timers and deadlines that have expired."""
        self._process_outputs(now_ms, self._connections.handle_timers(now_ms))
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, key, identifier = heapq.heappop(self._deadlines)
            flow = self._flows.get(key)
            if flow is not None:
                self._handle_deadline(now_ms, flow, identifier)

    def _start(self, now_ms: int, command: StartRequest | StartStream) -> None:
        self._count += 1
        identifier = f"{self._name}-{self._count}"
        number = self._ports.get(command.network, 0)
        self._ports[command.network] = number + 1
        host, port = divmod(number, LAST_PORT - FIRST_PORT)
        # A pair of host and port repeats only after all hosts of the network were used.
        local = Endpoint(f"{self._prefix}.{command.network}.{1 + host % 254}", FIRST_PORT + port)
        key = ConnectionKey(local, command.address)
        self._flows[key] = _Flow(identifier, command, key, now_ms)
        self._set_deadline(now_ms + command.timeout_ms, key, identifier)
        self._process_outputs(now_ms, self._connections.connect(now_ms, local, command.address))

    def _process_outputs(self, now_ms: int, outputs: list[KeyedOutput]) -> None:
        for key, output in outputs:
            if isinstance(output, Transmit):
                self.sent.append(output.segment)
                continue
            flow = self._flows.get(key)
            if flow is None:
                continue
            match output:
                case Opened():
                    flow.is_open = True
                    self.opened_count += 1
                    self.opened_stream_count += flow.is_stream
                    self._send_message(now_ms, flow)
                case Delivered(data):
                    self._read_answers(now_ms, flow, data)
                case PeerClosed():
                    self._handle_peer_close(now_ms, flow)
                case Refused():
                    self._end(now_ms, flow, NotRun())
                case WasReset():
                    self._fail(now_ms, flow, Broken(BreakReason.RESET))
                case RetriesExhausted():
                    self._fail(now_ms, flow, TimedOut(flow.is_open))
                case Finished():
                    self._end(now_ms, flow, Answered(flow.answered_by or ""))
                case _:
                    assert_never(output)

    def _send_message(self, now_ms: int, flow: _Flow) -> None:
        match flow.command:
            case StartRequest(_, work_ms, _, body_bytes, answer_bytes):
                request = Request(flow.identifier, work_ms, answer_bytes, False, "x" * body_bytes)
            case StartStream(_, _, _, answer_bytes):
                flow.message_count += 1
                identifier = f"{flow.identifier}.{flow.message_count}"
                request = Request(identifier, 0, answer_bytes, True, "")
                self._set_deadline(now_ms + STALL_LIMIT_MS, flow.key, identifier)
            case _:
                assert_never(flow.command)
        flow.pending = request.identifier
        self._handle_event(now_ms, flow, Write(encode_message(request)))

    def _read_answers(self, now_ms: int, flow: _Flow, data: bytes) -> None:
        for body in flow.reader.feed(data):
            answer = decode_answer(body)
            if answer is None:
                self._abort(now_ms, flow, Broken(BreakReason.DAMAGED))
                return
            if answer.identifier != flow.pending:
                self._abort(now_ms, flow, Broken(BreakReason.CROSSED))
                return
            flow.pending = None
            flow.answered_by = answer.target
            if isinstance(flow.command, StartStream):
                self.answered_messages += 1
                self._set_deadline(now_ms + flow.command.interval_ms, flow.key, "next")
                self._end_if_idle(now_ms, flow)

    def _handle_peer_close(self, now_ms: int, flow: _Flow) -> None:
        is_complete = flow.answered_by is not None and flow.pending is None
        if is_complete and (not flow.is_stream or flow.is_ending):
            # The answer is complete, so a failure of the closing handshake does not count.
            self._handle_event(now_ms, flow, Close())
            self._end(now_ms, flow, Answered(flow.answered_by or ""))
        else:
            self._fail(now_ms, flow, Broken(BreakReason.CLOSED_EARLY))

    def _fail(self, now_ms: int, flow: _Flow, outcome: Outcome) -> None:
        # A failed closing handshake does not count if the answer of a request is complete.
        is_answered = not flow.is_stream and flow.answered_by is not None
        self._abort(now_ms, flow, Answered(flow.answered_by or "") if is_answered else outcome)

    def _end_if_idle(self, now_ms: int, flow: _Flow) -> None:
        if flow.is_ending and flow.is_open and flow.pending is None:
            self._handle_event(now_ms, flow, Close())

    def _handle_deadline(self, now_ms: int, flow: _Flow, identifier: str) -> None:
        if identifier == "next":
            if not flow.is_ending and flow.pending is None:
                self._send_message(now_ms, flow)
        elif identifier == flow.identifier:
            if not flow.is_open or not flow.is_stream:
                self._fail(now_ms, flow, TimedOut(flow.is_open))
        elif identifier == flow.pending:
            self._abort(now_ms, flow, Broken(BreakReason.STALLED))

    def _abort(self, now_ms: int, flow: _Flow, outcome: Outcome) -> None:
        self._handle_event(now_ms, flow, Abort())
        self._end(now_ms, flow, outcome)

    def _handle_event(self, now_ms: int, flow: _Flow, event: Write | Close | Abort) -> None:
        self._process_outputs(now_ms, self._connections.handle_event(now_ms, flow.key, event))

    def _end(self, now_ms: int, flow: _Flow, outcome: Outcome) -> None:
        if self._flows.pop(flow.key, None) is not None:
            elapsed_ms = now_ms - flow.started_ms
            address = flow.command.address
            self.ended.append(
                FlowEnded(flow.identifier, address, flow.is_stream, elapsed_ms, outcome)
            )

    def _set_deadline(self, deadline_ms: int, key: ConnectionKey, identifier: str) -> None:
        heapq.heappush(self._deadlines, (deadline_ms, key, identifier))
