"""The flows admitted to targets, each in exactly one stage."""

from dataclasses import dataclass

from ..configuration import AddressKind, RequestKind, StreamKind
from ..decisions import OpenRequest
from ..identifiers import FlowKey
from .answer_timeout import AnswerTimeout
from .held_slots import HeldSlot
from .lanes import Lane
from .open_queue import PendingOpen
from .target_load import TargetLoad

# After a pause of this process, the backlog of unread packets has been read within this time.
PAUSE_EXTENSION_MS = 250
# How many deadlines the slot of a cancelled request is held if the target reports nothing.
HOLD_DEADLINES = 5


def time_allowed_ms(kind: AddressKind) -> int:
    """Return the deadline of the address, from the open to the answer."""
    match kind:
        case RequestKind(deadline_ms=deadline_ms):
            return deadline_ms
        case StreamKind(open_deadline_ms=open_deadline_ms):
            return open_deadline_ms


@dataclass(slots=True)
class Opening:
    """Hold an open that was sent to a target and is not answered yet."""

    pending: PendingOpen
    load: TargetLoad
    admitted_ms: int
    answer_due_ms: int

    @property
    def caller_token(self) -> int:
        """Return the caller token of the open."""
        return self.pending.request.caller_token


@dataclass(slots=True)
class Running:
    """Hold a request that a target accepted.

    `is_long` states whether it counts among the long requests, `is_in_history` whether the lane
    history already covers it. The age of an adopted request is unknown.
    """

    load: TargetLoad
    caller_token: int
    admitted_ms: int
    due_ms: int
    hold_ms: int
    is_long: bool
    is_in_history: bool = False
    is_hung: bool = False
    is_adopted: bool = False


class AdmittedFlows:
    """Keep the admitted flows and update the counts of their targets with each change.

    An accepted stream takes one dictionary entry without a separate object, since there are
    hundreds of thousands of them. There are never more requests than slots.
    """

    def __init__(self) -> None:
        self.openings: dict[FlowKey, Opening] = {}
        self.running: dict[FlowKey, Running] = {}
        self.streams: dict[FlowKey, TargetLoad] = {}
        self.cancelled: dict[FlowKey, TargetLoad] = {}
        self.answer_timeout = AnswerTimeout()

    def __contains__(self, flow: FlowKey) -> bool:
        return (
            flow in self.streams
            or flow in self.running
            or flow in self.openings
            or flow in self.cancelled
        )

    def open(self, now_ms: int, pending: PendingOpen, load: TargetLoad) -> None:
        """Add an open that is sent to a target."""
        flow, kind = pending.request.flow, pending.request.kind
        assert flow not in self
        answer_ms = self.answer_timeout.timeout_ms(time_allowed_ms(kind))
        self.openings[flow] = Opening(pending, load, now_ms, now_ms + answer_ms)
        if pending.lane is Lane.STREAM:
            load.connections += 1
            load.opening_connections += 1
        else:
            load.busy_slots += 1
            load.opening_slots += 1
            load.long_slots += pending.lane is Lane.LONG

    def accept(self, flow: FlowKey) -> Opening | None:
        """Move an open to the accepted flows and return it, or None if it is unknown."""
        opening = self.openings.pop(flow, None)
        if opening is None:
            return None
        request = opening.pending.request
        match request.kind:
            case StreamKind():
                opening.load.opening_connections -= 1
                self.streams[flow] = opening.load
            case RequestKind(deadline_ms=deadline_ms):
                opening.load.opening_slots -= 1
                self.running[flow] = Running(
                    opening.load,
                    request.caller_token,
                    opening.admitted_ms,
                    opening.pending.offered_ms + deadline_ms,
                    HOLD_DEADLINES * deadline_ms,
                    opening.pending.lane is Lane.LONG,
                )
        return opening

    def postpone(self, now_ms: int) -> None:
        """Extend expired timeouts after a pause of this process, so that answers can be read."""
        for opening in self.openings.values():
            opening.answer_due_ms = max(opening.answer_due_ms, now_ms + PAUSE_EXTENSION_MS)
        for running in self.running.values():
            running.due_ms = max(running.due_ms, now_ms + PAUSE_EXTENSION_MS)

    def drop_opening(self, flow: FlowKey) -> Opening | None:
        """Remove an open that was not accepted; its slot is free, since no request was sent."""
        opening = self.openings.pop(flow, None)
        if opening is None:
            return None
        load = opening.load
        if opening.pending.lane is Lane.STREAM:
            load.opening_connections -= 1
            load.connections -= 1
        else:
            load.opening_slots -= 1
            self._free_slot(load, opening.pending.lane is Lane.LONG)
        return opening

    def drop_stream(self, flow: FlowKey) -> TargetLoad | None:
        """Remove an accepted stream; return the load of its target, or None."""
        load = self.streams.pop(flow, None)
        if load is not None:
            load.connections -= 1
        return load

    def end_running(self, flow: FlowKey) -> Running | None:
        """Remove a request that the target ended and free its slot; return it, or None."""
        running = self.running.pop(flow, None)
        if running is not None:
            self._free_slot(running.load, running.is_long)
        return running

    def mark_long(self, running: Running) -> None:
        """Count a running request among the long ones."""
        running.load.long_slots += not running.is_long
        running.is_long = True

    def hold(self, now_ms: int, flow: FlowKey) -> Running | None:
        """Keep the slot of a cancelled request busy; return the request, or None if unknown."""
        running = self.running.pop(flow, None)
        if running is not None:
            admitted_ms = None if running.is_adopted else running.admitted_ms
            slot = HeldSlot(flow, running.is_long, admitted_ms, now_ms + running.hold_ms)
            running.load.held.add(slot)
            self.cancelled[flow] = running.load
        return running

    def adopted_flows(self, load: TargetLoad, limit: int) -> list[FlowKey]:
        """Return up to `limit` running requests of a target that another manager admitted."""
        if limit <= 0:
            return []
        running = self.running.items()
        flows = [flow for flow, request in running if request.load is load and request.is_adopted]
        return flows[:limit]

    def end_held(self, flow: FlowKey) -> HeldSlot | None:
        """Free the slot of a cancelled request that the target ended; return it, or None."""
        load = self.cancelled.pop(flow, None)
        slot = load.held.take(flow) if load is not None else None
        if load is None or slot is None:
            return None
        self._free_slot(load, slot.is_long)
        return slot

    def detach_held(self, flow: FlowKey) -> None:
        """Release the key of a cancelled request for a new open; its slot stays busy."""
        load = self.cancelled.pop(flow, None)
        if load is not None:
            load.held.detach(flow)

    def free_held(self, load: TargetLoad, slots: list[HeldSlot]) -> None:
        """Free the slots of cancelled requests after a hint or the time limit."""
        for slot in slots:
            if slot.flow is not None:
                del self.cancelled[slot.flow]
            self._free_slot(load, slot.is_long)

    def adopt_accepted(
        self, now_ms: int, request: OpenRequest, load: TargetLoad, is_cancelled: bool
    ) -> None:
        """Add a flow that another manager admitted; whether it is a long request is unknown."""
        flow = request.flow
        assert flow not in self
        match request.kind:
            case StreamKind():
                if not is_cancelled:
                    self.streams[flow] = load
                    load.connections += 1
            case RequestKind(deadline_ms=deadline_ms):
                load.busy_slots += 1
                self.running[flow] = Running(
                    load,
                    request.caller_token,
                    now_ms,
                    now_ms + deadline_ms,
                    HOLD_DEADLINES * deadline_ms,
                    is_long=False,
                    is_in_history=True,
                    is_adopted=True,
                )
                if is_cancelled:
                    self.hold(now_ms, flow)

    def _free_slot(self, load: TargetLoad, is_long: bool) -> None:
        load.busy_slots -= 1
        load.long_slots -= is_long
        assert load.busy_slots >= 0 and load.long_slots >= 0
