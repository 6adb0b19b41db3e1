"""Records of the flows that pass this entry VM.

Routing does not need them: a lost record costs only load and health data.
"""

from collections.abc import Iterator
from enum import StrEnum

from ..identifiers import FlowKey, TargetName
from .known_target import KnownTarget
from .routes import Route

SEQUENCE_MASK = 2**32 - 1
SEQUENCE_HALF = 2**31
# A caller sends fewer bytes than this before its first packet has passed an entry VM.
MAX_FIRST_BYTES = 2**20
# Upper bound on the records that one tick checks for expiry.
MAX_EXPIRY_CHECKS_PER_TICK = 500


class FlowPhase(StrEnum):
    """Phase of a flow, as far as its caller's packets show it."""

    OPENING = "opening"
    OPEN = "open"


class Flow:
    """State of one flow, derived from its caller's packets."""

    __slots__ = (
        "acknowledged",
        "attempt_ms",
        "busy_since_ms",
        "key",
        "last_seen_ms",
        "open_packet",
        "open_retransmit_count",
        "open_sequence",
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
        self.open_sequence = 0
        self.opened_ms = now_ms
        self.attempt_ms = now_ms
        self.last_seen_ms = now_ms
        self.busy_since_ms: int | None = None
        self.sent_end: int | None = None
        self.sent_ms = now_ms
        self.acknowledged = 0
        self.retransmits = 0
        # First packet of the request in progress; it holds the request id for notices.
        self.request = b""

    def is_duplicate_open(self, retransmit_count: int, packet: bytes) -> bool:
        """Return whether an open is a duplicate, or a late retransmission on an open flow."""
        match self.phase:
            case FlowPhase.OPENING:
                return packet == self.open_packet
            case FlowPhase.OPEN:
                return retransmit_count > 0

    def is_attempt_unanswered(self, attempt_ms: int) -> bool:
        """Return whether the attempt made at `attempt_ms` is the last one and still unanswered."""
        return self.phase is FlowPhase.OPENING and self.attempt_ms == attempt_ms

    def owns(self, sequence: int) -> bool:
        """Return whether a packet is of this flow, and not of a former one with the same key.

        The sequence numbers of each flow start at a random one. The record of an open flow comes
        from packets of the flow itself, so that only an opening flow has to be told apart.
        """
        if self.phase is FlowPhase.OPEN:
            return True
        return (sequence - self.open_sequence) & SEQUENCE_MASK < MAX_FIRST_BYTES

    def is_busy_longer_than(self, now_ms: int, limit_ms: int) -> bool:
        """Return whether a request has been in progress for longer than a limit."""
        return self.busy_since_ms is not None and now_ms - self.busy_since_ms > limit_ms

    def mark_open(self, sequence: int, ack_number: int) -> None:
        """Mark the flow as open: the caller has acknowledged the target's SYN-ACK."""
        self.phase = FlowPhase.OPEN
        self.open_packet = b""
        self.sent_end, self.acknowledged = sequence, ack_number
        self.end_request()

    def assign(self, target: KnownTarget) -> None:
        """Assign the flow to a target, moving it between the counts of both targets."""
        if self.target is target:
            return
        is_busy = self.busy_since_ms is not None
        if self.target is not None:
            self.target.flows.discard(self)
            self.target.busy_requests -= is_busy
        target.flows.add(self)
        target.busy_requests += is_busy
        self.target = target

    def begin_request(self, now_ms: int) -> None:
        """Count a request in progress at the target."""
        if self.busy_since_ms is None and self.target is not None:
            self.target.busy_requests += 1
            self.busy_since_ms = now_ms

    def end_request(self) -> None:
        """End the request in progress and remove it from the target's count."""
        if self.busy_since_ms is not None and self.target is not None:
            self.target.busy_requests -= 1
            self.busy_since_ms = None
            self.request = b""

    def release(self) -> None:
        """Remove the flow from its target's counts."""
        self.end_request()
        if self.target is not None:
            self.target.flows.discard(self)
            self.target = None


def waiting_for(target: KnownTarget) -> list[Flow]:
    """Return the open flows that have a request in progress at a target."""
    return [
        flow
        for flow in target.flows
        if flow.phase is FlowPhase.OPEN and flow.busy_since_ms is not None
    ]


def is_after(position: int, other: int) -> bool:
    """Return whether one position in the 32-bit sequence space comes after another."""
    return 0 < (position - other) & SEQUENCE_MASK < SEQUENCE_HALF


class FlowRecords:
    """Flow records by key, with an incremental scan for expired ones."""

    def __init__(self) -> None:
        self._flows: dict[FlowKey, Flow] = {}
        self._expiry_queue: list[FlowKey] = []

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: FlowKey) -> Flow | None:
        """Return a flow, or None."""
        return self._flows.get(key)

    def add(self, key: FlowKey, route: Route, now_ms: int, phase: FlowPhase) -> Flow:
        """Add a record, replacing one with the same key."""
        self.remove(key)
        flow = self._flows[key] = Flow(key, route, now_ms, phase)
        return flow

    def remove(self, key: FlowKey) -> None:
        """Remove a record, if there is one."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            flow.release()

    def next_for_expiry(self) -> Iterator[Flow]:
        """Yield a bounded number of flows; successive calls cover all of them in turn."""
        if not self._expiry_queue:
            self._expiry_queue = list(self._flows)
        checked = self._expiry_queue[-MAX_EXPIRY_CHECKS_PER_TICK:]
        del self._expiry_queue[-MAX_EXPIRY_CHECKS_PER_TICK:]
        for key in checked:
            flow = self._flows.get(key)
            if flow is not None:
                yield flow
