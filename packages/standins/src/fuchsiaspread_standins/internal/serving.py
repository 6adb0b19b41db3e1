"""The work of one target host, without input or output."""

import heapq
from collections import Counter, deque
from dataclasses import dataclass
from typing import assert_never

from fuchsiaspread_core.identifiers import Endpoint

from ..transport import (
    Close,
    Delivered,
    Finished,
    GaveUp,
    Opened,
    PeerClosed,
    Refused,
    Transmit,
    WasReset,
    Write,
)
from .connections import ConnectionKey, Connections, KeyedOutput
from .messages import FrameReader, Request, answer_to, decode_request, encode_message
from .segments import ACK, RST, SYN, Segment, reset_for


@dataclass(frozen=True, slots=True)
class Serve:
    """Serve each open."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Reset new opens and serve the open connections."""


@dataclass(frozen=True, slots=True)
class BeSilent:
    """Answer nothing, as a hung host does; its connections stay."""


@dataclass(frozen=True, slots=True)
class ResetFast:
    """Reset each open at once."""


@dataclass(frozen=True, slots=True)
class Restart:
    """Lose all connections and serve on, as a host that restarted."""


Behaviour = Serve | Drain | BeSilent | ResetFast | Restart


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Hold what a target saw; `executed` counts the runs of each request identifier."""

    name: str
    executed: Counter[str]
    wrong_service_count: int
    open_count: int
    last_open_ms: int | None
    connection_count: int
    busy_slots: int
    most_busy_slots: int


class Serving:
    """Serve requests with a fixed number of slots; `sent` is taken by the owner."""

    def __init__(self, name: str, addresses: frozenset[Endpoint], slots: int, seed: int) -> None:
        self._name = name
        self._addresses = addresses
        self._slots = slots
        self._connections = Connections(seed, addresses.__contains__)
        self._readers: dict[ConnectionKey, FrameReader] = {}
        self._waiting: deque[tuple[ConnectionKey, Request]] = deque()
        self._running: dict[ConnectionKey, Request] = {}
        self._ends: list[tuple[int, ConnectionKey]] = []
        self._behaviour: Behaviour = Serve()
        self._executed: Counter[str] = Counter()
        self._wrong_service_count = 0
        self._open_count = 0
        self._last_open_ms: int | None = None
        self._most_busy_slots = 0
        self.sent: list[Segment] = []

    @property
    def next_deadline_ms(self) -> int | None:
        """Return when `expire` is due."""
        deadlines = [self._connections.next_deadline_ms]
        deadlines += [self._ends[0][0]] if self._ends else []
        return min((d for d in deadlines if d is not None), default=None)

    def report(self) -> TargetReport:
        """Return what the target saw so far."""
        return TargetReport(
            self._name,
            Counter(self._executed),
            self._wrong_service_count,
            self._open_count,
            self._last_open_ms,
            len(self._readers),
            len(self._running) + len(self._waiting),
            self._most_busy_slots,
        )

    def behave(self, behaviour: Behaviour) -> None:
        """Switch the behaviour."""
        if isinstance(behaviour, Restart):
            self._connections.forget_all()
            self._readers.clear()
            self._waiting.clear()
            self._running.clear()
            self._ends.clear()
            behaviour = Serve()
        self._behaviour = behaviour

    def arrive(self, now_ms: int, segment: Segment) -> None:
        """Take a segment from the tunnel."""
        if segment.destination not in self._addresses:
            self._wrong_service_count += 1
        is_open = segment.flags & (SYN | ACK | RST) == SYN
        match self._behaviour:
            case BeSilent():
                return
            case Drain() | ResetFast() if is_open and not self._is_known(segment):
                reset = reset_for(segment)
                self.sent += [] if reset is None else [reset]
                return
            case _:
                if is_open and not self._is_known(segment):
                    # The handshake may end much later when an entry VM is lost meanwhile.
                    self._last_open_ms = now_ms
                self._apply(now_ms, self._connections.arrive(now_ms, segment))

    def expire(self, now_ms: int) -> None:
        """Act on timers and finished work."""
        if isinstance(self._behaviour, BeSilent):
            self._ends = [(max(end_ms, now_ms + 1000), key) for end_ms, key in self._ends]
            self._connections.expire(now_ms)
            return
        self._apply(now_ms, self._connections.expire(now_ms))
        while self._ends and self._ends[0][0] <= now_ms:
            _, key = heapq.heappop(self._ends)
            request = self._running.pop(key, None)
            if request is not None:
                answer = encode_message(answer_to(request, self._name))
                self._apply(now_ms, self._connections.act(now_ms, key, Write(answer)))
                self._apply(now_ms, self._connections.act(now_ms, key, Close()))
                self._run_next(now_ms)

    def _is_known(self, segment: Segment) -> bool:
        return ConnectionKey(segment.destination, segment.source) in self._connections

    def _apply(self, now_ms: int, outputs: list[KeyedOutput]) -> None:
        for key, output in outputs:
            match output:
                case Transmit(segment):
                    self.sent.append(segment)
                case Opened():
                    self._readers[key] = FrameReader()
                    self._open_count += 1
                case Delivered(data):
                    self._read(now_ms, key, data)
                case PeerClosed():
                    self._apply(now_ms, self._connections.act(now_ms, key, Close()))
                case WasReset() | GaveUp() | Finished() | Refused():
                    self._forget(now_ms, key)
                case _:
                    assert_never(output)

    def _read(self, now_ms: int, key: ConnectionKey, data: bytes) -> None:
        reader = self._readers.get(key)
        for body in reader.feed(data) if reader is not None else []:
            request = decode_request(body)
            if request is None:
                continue
            if request.is_message:
                answer = encode_message(answer_to(request, self._name))
                self._apply(now_ms, self._connections.act(now_ms, key, Write(answer)))
            else:
                self._waiting.append((key, request))
                self._most_busy_slots = max(
                    self._most_busy_slots, len(self._running) + len(self._waiting)
                )
                self._run_next(now_ms)

    def _run_next(self, now_ms: int) -> None:
        while self._waiting and len(self._running) < self._slots:
            key, request = self._waiting.popleft()
            self._running[key] = request
            self._executed[request.identifier] += 1
            heapq.heappush(self._ends, (now_ms + request.work_ms, key))

    def _forget(self, now_ms: int, key: ConnectionKey) -> None:
        self._readers.pop(key, None)
        self._waiting = deque(item for item in self._waiting if item[0] != key)
        if self._running.pop(key, None) is not None:
            self._run_next(now_ms)
