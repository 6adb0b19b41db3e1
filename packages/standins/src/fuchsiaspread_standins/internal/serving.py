"""The request server of one target host, without I/O."""

import heapq
from collections import Counter, deque
from dataclasses import dataclass
from typing import assert_never

from fuchsiaspread_core.identifiers import Endpoint

from ..transport import (
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
from .messages import FrameReader, Request, decode_request, encode_message, make_answer
from .segments import ACK, RST, SYN, Segment, reset_for


@dataclass(frozen=True, slots=True)
class Serve:
    """Accept and serve all opens."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Reset new opens but serve the open connections."""


@dataclass(frozen=True, slots=True)
class BeSilent:
    """Send nothing, as a hung host; the connections are kept."""


@dataclass(frozen=True, slots=True)
class ResetOpens:
    """Reset each new open immediately."""


@dataclass(frozen=True, slots=True)
class Restart:
    """Drop all connections, then serve normally, as a restarted host."""


Behaviour = Serve | Drain | BeSilent | ResetOpens | Restart


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Hold the counters of a target; `executed` counts the runs of each request identifier."""

    name: str
    executed: Counter[str]
    wrong_service_count: int
    open_count: int
    last_open_ms: int | None
    connection_count: int
    busy_slots: int
    max_busy_slots: int


class TargetServer:
    """Serve requests with a fixed number of slots; the owner empties `sent` after each call."""

    def __init__(self, name: str, addresses: frozenset[Endpoint], slots: int, seed: int) -> None:
        self._name = name
        self._addresses = addresses
        self._slots = slots
        self._connections = Connections(seed, addresses.__contains__)
        self._readers: dict[ConnectionKey, FrameReader] = {}
        self._waiting: deque[tuple[ConnectionKey, Request]] = deque()
        self._running: dict[ConnectionKey, Request] = {}
        self._completions: list[tuple[int, ConnectionKey]] = []
        self._behaviour: Behaviour = Serve()
        self._executed: Counter[str] = Counter()
        self._wrong_service_count = 0
        self._open_count = 0
        self._last_open_ms: int | None = None
        self._max_busy_slots = 0
        self.sent: list[Segment] = []

    @property
    def next_deadline_ms(self) -> int | None:
        """Return when `handle_timers` is due."""
        deadlines = [self._connections.next_deadline_ms]
        deadlines += [self._completions[0][0]] if self._completions else []
        return min((d for d in deadlines if d is not None), default=None)

    def report(self) -> TargetReport:
        """Return the counters of the target."""
        return TargetReport(
            self._name,
            Counter(self._executed),
            self._wrong_service_count,
            self._open_count,
            self._last_open_ms,
            len(self._readers),
            len(self._running) + len(self._waiting),
            self._max_busy_slots,
        )

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Set the behaviour; `Restart` drops all connections and requests."""
        if isinstance(behaviour, Restart):
            self._connections.remove_all()
            self._readers.clear()
            self._waiting.clear()
            self._running.clear()
            self._completions.clear()
            behaviour = Serve()
        self._behaviour = behaviour

    def receive(self, now_ms: int, segment: Segment) -> None:
        """Handle a segment from the tunnel."""
        if segment.destination not in self._addresses:
            self._wrong_service_count += 1
        is_open = segment.flags & (SYN | ACK | RST) == SYN
        match self._behaviour:
            case BeSilent():
                return
            case Drain() | ResetOpens() if is_open and not self._is_known(segment):
                reset = reset_for(segment)
                self.sent += [] if reset is None else [reset]
                return
            case _:
                if is_open and not self._is_known(segment):
                    # Record the time here: the handshake may complete much later if an entry VM is
                    # lost in between.
                    self._last_open_ms = now_ms
                self._process_outputs(now_ms, self._connections.receive(now_ms, segment))

    def handle_timers(self, now_ms: int) -> None:
        """Handle expired timers and finished requests."""
        if isinstance(self._behaviour, BeSilent):
            self._completions = [
                (max(end_ms, now_ms + 1000), key) for end_ms, key in self._completions
            ]
            self._connections.handle_timers(now_ms)
            return
        self._process_outputs(now_ms, self._connections.handle_timers(now_ms))
        while self._completions and self._completions[0][0] <= now_ms:
            _, key = heapq.heappop(self._completions)
            request = self._running.pop(key, None)
            if request is not None:
                answer = encode_message(make_answer(request, self._name))
                self._process_outputs(
                    now_ms, self._connections.handle_event(now_ms, key, Write(answer))
                )
                self._process_outputs(now_ms, self._connections.handle_event(now_ms, key, Close()))
                self._start_waiting(now_ms)

    def _is_known(self, segment: Segment) -> bool:
        return ConnectionKey(segment.destination, segment.source) in self._connections

    def _process_outputs(self, now_ms: int, outputs: list[KeyedOutput]) -> None:
        for key, output in outputs:
            match output:
                case Transmit(segment):
                    self.sent.append(segment)
                case Opened():
                    self._readers[key] = FrameReader()
                    self._open_count += 1
                case Delivered(data):
                    self._read_requests(now_ms, key, data)
                case PeerClosed():
                    self._process_outputs(
                        now_ms, self._connections.handle_event(now_ms, key, Close())
                    )
                case WasReset() | RetriesExhausted() | Finished() | Refused():
                    self._remove_connection(now_ms, key)
                case _:
                    assert_never(output)

    def _read_requests(self, now_ms: int, key: ConnectionKey, data: bytes) -> None:
        reader = self._readers.get(key)
        for body in reader.feed(data) if reader is not None else []:
            request = decode_request(body)
            if request is None:
                continue
            if request.is_message:
                answer = encode_message(make_answer(request, self._name))
                self._process_outputs(
                    now_ms, self._connections.handle_event(now_ms, key, Write(answer))
                )
            else:
                self._waiting.append((key, request))
                self._max_busy_slots = max(
                    self._max_busy_slots, len(self._running) + len(self._waiting)
                )
                self._start_waiting(now_ms)

    def _start_waiting(self, now_ms: int) -> None:
        while self._waiting and len(self._running) < self._slots:
            key, request = self._waiting.popleft()
            self._running[key] = request
            self._executed[request.identifier] += 1
            heapq.heappush(self._completions, (now_ms + request.work_ms, key))

    def _remove_connection(self, now_ms: int, key: ConnectionKey) -> None:
        self._readers.pop(key, None)
        self._waiting = deque(item for item in self._waiting if item[0] != key)
        if self._running.pop(key, None) is not None:
            self._start_waiting(now_ms)
