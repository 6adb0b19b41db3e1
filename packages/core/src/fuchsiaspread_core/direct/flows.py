"""The flows that pass this entry VM; losing a record loses only load and health evidence."""

from collections.abc import Iterator
from enum import StrEnum

from ..identifiers import FlowKey, TargetName
from .routes import Route
from .targets import KnownTarget

SEQUENCE_MASK = 2**32 - 1
SEQUENCE_HALF = 2**31
# One tick looks at this many records at most for those that are no longer used.
MAX_EXPIRY_CHECKS_PER_TICK = 500


class FlowPhase(StrEnum):
    """Name the phases of a flow as its caller's packets show them."""

    OPENING = "opening"
    OPEN = "open"


class Flow:
    """Hold what the caller's packets of one flow have shown."""

    __slots__ = (
        "acknowledged",
        "attempt_ms",
        "busy_since_ms",
        "key",
        "last_seen_ms",
        "open_packet",
        "open_retransmit_count",
        "opened_ms",
        "phase",
        "request",
        "retransmits",
        "route",
        "sent_end",
        "sent_ms",
        "target",
        "tried",
    )

    def __init__(self, key: FlowKey, route: Route, now_ms: int, phase: FlowPhase) -> None:
        self.key = key
        self.route = route
        self.phase = phase
        self.target: KnownTarget | None = None
        self.tried: list[TargetName] = []
        self.open_packet = b""
        self.open_retransmit_count = 0
        self.opened_ms = now_ms
        self.attempt_ms = now_ms
        self.last_seen_ms = now_ms
        self.busy_since_ms: int | None = None
        self.sent_end: int | None = None
        self.sent_ms = now_ms
        self.acknowledged = 0
        self.retransmits = 0
        # The packet that began the request in work; it names the request in notices.
        self.request = b""

    def is_duplicate_open(self, copy_number: int, packet: bytes) -> bool:
        """Return whether an open needs no further target: a duplicate, or a late copy."""
        match self.phase:
            case FlowPhase.OPENING:
                return packet == self.open_packet
            case FlowPhase.OPEN:
                return copy_number > 0

    def is_attempt_unanswered(self, attempt_ms: int) -> bool:
        """Return whether the attempt of that moment is the last one and still unanswered."""
        return self.phase is FlowPhase.OPENING and self.attempt_ms == attempt_ms

    def is_busy_longer_than(self, now_ms: int, limit_ms: int) -> bool:
        """Return whether a request has been at the target for longer than a limit."""
        return self.busy_since_ms is not None and now_ms - self.busy_since_ms > limit_ms

    def mark_open(self, sequence: int, acknowledges: int) -> None:
        """Note that the caller has the target's acceptance; the open is over."""
        self.phase = FlowPhase.OPEN
        self.open_packet = b""
        self.sent_end, self.acknowledged = sequence, acknowledges
        self.end_request()

    def assign(self, target: KnownTarget) -> None:
        """Count the flow at a target, no longer at a former one."""
        if self.target is target:
            return
        is_busy = self.busy_since_ms is not None
        if self.target is not None:
            self.target.open_flows -= 1
            self.target.busy_requests -= is_busy
        target.open_flows += 1
        target.busy_requests += is_busy
        self.target = target

    def begin_request(self, now_ms: int) -> None:
        """Note that the target has work of this flow."""
        if self.busy_since_ms is None and self.target is not None:
            self.target.busy_requests += 1
            self.busy_since_ms = now_ms

    def end_request(self) -> None:
        """Note that the target's work of this flow is over."""
        if self.busy_since_ms is not None and self.target is not None:
            self.target.busy_requests -= 1
            self.busy_since_ms = None
            self.request = b""

    def release(self) -> None:
        """Take the flow off its target's counts."""
        self.end_request()
        if self.target is not None:
            self.target.open_flows -= 1
            self.target = None


def is_after(position: int, other: int) -> bool:
    """Return whether one position of the 32-bit sequence space comes after another."""
    return 0 < (position - other) & SEQUENCE_MASK < SEQUENCE_HALF


class FlowRecords:
    """Hold the flows by key and find those that are no longer used."""

    def __init__(self) -> None:
        self._flows: dict[FlowKey, Flow] = {}
        self._expiry_queue: list[FlowKey] = []

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: FlowKey) -> Flow | None:
        """Return a flow, or None."""
        return self._flows.get(key)

    def add(self, key: FlowKey, route: Route, now_ms: int, phase: FlowPhase) -> Flow:
        """Begin a record; a former one of the same key ends."""
        self.remove(key)
        flow = self._flows[key] = Flow(key, route, now_ms, phase)
        return flow

    def remove(self, key: FlowKey) -> None:
        """End a record."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            flow.release()

    def waiting_for(self, target: KnownTarget) -> list[Flow]:
        """Return the open flows that have a request at a target."""
        return [
            flow
            for flow in self._flows.values()
            if flow.target is target
            and flow.phase is FlowPhase.OPEN
            and flow.busy_since_ms is not None
        ]

    def next_for_expiry(self) -> Iterator[Flow]:
        """Return a bounded number of flows; successive calls go round all of them."""
        if not self._expiry_queue:
            self._expiry_queue = list(self._flows)
        checked = self._expiry_queue[-MAX_EXPIRY_CHECKS_PER_TICK:]
        del self._expiry_queue[-MAX_EXPIRY_CHECKS_PER_TICK:]
        for key in checked:
            flow = self._flows.get(key)
            if flow is not None:
                yield flow
