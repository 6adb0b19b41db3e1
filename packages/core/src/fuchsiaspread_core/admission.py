"""Admission of opens to the targets of one shard."""

from collections.abc import Sequence

from .configuration import AddressKind, Target
from .decisions import (
    Admit,
    Decision,
    Decline,
    Enqueue,
    Inform,
    OpenFailure,
    OpenRequest,
    Refuse,
)
from .flow_table import COUNTED_PHASES, FlowRecord, Phase
from .identifiers import FlowKey, TargetName
from .internal.admitted_flows import AdmittedFlows, Opening
from .internal.expected_wait import ExpectedWait
from .internal.lanes import Lane, LaneHistory
from .internal.load_view import LoadView
from .internal.open_queue import OpenQueue, PendingOpen
from .internal.outcomes import Outcomes
from .internal.respill import Respill
from .internal.service_times import ServiceTimes
from .internal.target_load import TargetLoad, TargetSummary
from .notices import FlowEnd, RefusalReason
from .retry_budget import RetryBudget

__all__ = [
    "Admit",
    "Decision",
    "Decline",
    "Enqueue",
    "Inform",
    "OpenFailure",
    "OpenRequest",
    "Refuse",
    "ShardAdmission",
]

# Ticks are due every 20 ms. After a longer gap than this, answered opens look unanswered, since the
# answers are still unread in the socket buffers.
PAUSE_MS = 300


class ShardAdmission:
    """Count the slots and connections of a shard's targets and choose targets for opens.

    A flow is either in the queue or in exactly one stage of the admitted flows. The owner must
    filter out repeated SYNs of accepted flows; `offer` treats one as a new connection.
    """

    def __init__(self, seed: int = 0) -> None:
        self._view = LoadView(seed)
        self._flows = AdmittedFlows()
        self._queue = OpenQueue()
        self._history = LaneHistory()
        times = ServiceTimes()
        self._wait = ExpectedWait(self._view, self._queue, times)
        self._outcomes = Outcomes(self._view, self._flows, times, self._history)
        self._budget = RetryBudget()
        self._respill = Respill(self._queue)
        self._ticked_ms = 0

    @property
    def queued_count(self) -> int:
        """Return the number of queued opens."""
        return len(self._queue)

    def is_managed(self, flow: FlowKey) -> bool:
        """Return whether the flow is queued or admitted here."""
        return flow in self._flows or flow in self._queue

    def summaries(self, now_ms: int) -> list[TargetSummary]:
        """Return the counts and the condition of each target, for reports."""
        return [load.summary(now_ms) for load in self._view]

    def configure(self, now_ms: int, targets: Sequence[Target]) -> list[Decision]:
        """Apply the shard's targets of a new configuration."""
        self._view.configure(now_ms, targets)
        return self._refuse_unservable(now_ms) + self._serve(now_ms)

    def offer(self, now_ms: int, request: OpenRequest) -> Decision:
        """Decide whether an open is admitted, queued, declined or refused."""
        repeated = self._handle_repeated(now_ms, request)
        if repeated is not None:
            return repeated
        returned = self._respill.take_returned(request)
        pending = returned or self._wait.new_pending(now_ms, request, self._history)
        if returned is not None or not self._queue.must_wait(pending.lane):
            load = self._view.choose(now_ms, request.flow, pending.lane, pending.tried)
            if load is not None:
                return self._admit(now_ms, pending, load)
        if request.may_spill:
            if returned is not None:
                self._respill.note_declined(pending)
            return Decline(request.flow)
        reason = self._unservable_reason(now_ms, pending)
        if reason is None and returned is None:
            reason = self._wait.refusal_reason(now_ms, pending)
        if reason is not None:
            return Refuse(request.flow, reason)
        self._queue.put(pending, is_first=returned is not None)
        return Enqueue(request.flow)

    def accept(self, now_ms: int, flow: FlowKey) -> list[Decision]:
        """Record that the target accepted the open; from now on the flow is never moved."""
        opening = self._flows.accept(flow)
        if opening is None:
            return []
        self._outcomes.note_accept(now_ms, flow, opening)
        return self._serve(now_ms)

    def handle_open_failure(
        self, now_ms: int, flow: FlowKey, failure: OpenFailure
    ) -> list[Decision]:
        """Handle a failed open: retry it at another target, decline it or refuse it."""
        opening = self._flows.drop_opening(flow)
        if opening is None:
            return []
        decisions = self._outcomes.note_open_failure(now_ms, opening, failure)
        decisions.append(self._retry(now_ms, opening))
        return decisions + self._serve(now_ms)

    def note_late_accept(self, now_ms: int, flow: FlowKey, target: TargetName) -> None:
        """Record that a target accepted an open that had already been retried elsewhere."""
        self._outcomes.note_late_accept(now_ms, flow, target)

    def cancel(self, now_ms: int, flow: FlowKey) -> list[Decision]:
        """Handle the end of a flow by its caller: a reset, or a new open with the same key.

        The slot of a running request stays busy until the target is known to be done.
        """
        self._queue.remove(flow)
        self._respill.forget(flow)
        opening = self._flows.drop_opening(flow)
        if opening is not None:
            opening.load.health.finish(flow)
        stream_load = self._flows.drop_stream(flow)
        if stream_load is not None:
            self._outcomes.note_stream_end(now_ms, flow, stream_load, FlowEnd.CANCELLED)
        running = self._flows.hold(now_ms, flow)
        if running is not None:
            running.load.health.finish(flow)
        return self._serve(now_ms)

    def release(self, now_ms: int, flow: FlowKey, end: FlowEnd) -> list[Decision]:
        """Free the slot of a flow that ended and admit queued opens."""
        decisions: list[Decision] = []
        running = self._flows.end_running(flow)
        stream_load = self._flows.drop_stream(flow)
        if running is not None:
            decisions += self._outcomes.note_end(now_ms, flow, running, end)
        elif stream_load is not None:
            decisions += self._outcomes.note_stream_end(now_ms, flow, stream_load, end)
        elif (held := self._flows.end_held(flow)) is not None:
            self._outcomes.note_held_end(now_ms, held)
        else:
            self._queue.remove(flow)
            opening = self._flows.drop_opening(flow)
            if opening is not None:
                opening.load.health.finish(flow)
            for load in self._view:
                load.held.note_end(now_ms, flow)
        self._view.forget_unused()
        return decisions + self._serve(now_ms)

    def adopt(self, now_ms: int, record: FlowRecord, kind: AddressKind) -> None:
        """Count a flow that another manager admitted."""
        if self.is_managed(record.flow) or record.phase not in COUNTED_PHASES:
            return
        request = OpenRequest(record.flow, record.caller_token, kind, may_spill=False)
        load = self._view.get(record.target) or self._view.adopt_target(record.target)
        if record.phase is Phase.OPENING:
            pending = self._wait.new_pending(now_ms, request, self._history)
            self._flows.open(now_ms, pending, load)
            return
        is_cancelled = record.phase is Phase.CANCELLED
        self._flows.adopt_accepted(now_ms, request, load, is_cancelled)

    def report_load(
        self, now_ms: int, target: TargetName, busy_slots: int, is_shedding: bool
    ) -> None:
        """Apply the load that a target reports, as a hint.

        A hint can free the slots of cancelled requests, which the next tick gives to queued
        opens, and make the target less preferred. It never changes the count of requests that
        this manager has seen running.
        """
        load = self._view.get(target)
        if load is None:
            return
        load.note_shedding(now_ms, is_shedding)
        apparently_free = load.busy_slots - load.opening_slots - busy_slots
        # The close of an adopted request may have gone to its former manager.
        for flow in self._flows.adopted_flows(load, apparently_free - len(load.held)):
            self._flows.hold(now_ms, flow)
        freed = load.held.report(now_ms, apparently_free)
        self._flows.free_held(load, freed)

    def tick(self, now_ms: int) -> list[Decision]:
        """Act on timeouts: silent targets, expired queue entries, slots held for too long."""
        if now_ms - self._ticked_ms > PAUSE_MS:
            # This process was paused, so the targets' answers may still wait to be read.
            self._flows.postpone(now_ms)
        self._ticked_ms = now_ms
        decisions = self._fail_silent_opens(now_ms)
        for pending in self._queue.expire(now_ms):
            decisions.append(Refuse(pending.request.flow, RefusalReason.DEADLINE))
        decisions += self._outcomes.tick(now_ms)
        self._hold_overdue(now_ms)
        for load in self._view:
            self._flows.free_held(load, load.held.expire(now_ms))
        decisions += self._refuse_unservable(now_ms) + self._serve(now_ms)
        return decisions + [Decline(flow) for flow in self._respill.take_due(now_ms)]

    def _handle_repeated(self, now_ms: int, request: OpenRequest) -> Decision | None:
        """Answer an open that is already known; drop the old flow if the key is reused."""
        flow, token = request.flow, request.caller_token
        queued = self._queue.find(flow)
        if queued is not None:
            if queued.request.caller_token == token:
                return Enqueue(flow)
            self._queue.remove(flow)
        known = self._flows.openings.get(flow) or self._flows.running.get(flow)
        if known is not None and known.caller_token == token:
            return Admit(flow, known.load.target.name, 0)
        if flow in self._flows:
            # The slot of a running request stays busy: the target may still be working on it.
            self.cancel(now_ms, flow)
            self._flows.detach_held(flow)
        return None

    def _admit(self, now_ms: int, pending: PendingOpen, load: TargetLoad) -> Admit:
        flow = pending.request.flow
        assert load.has_capacity(now_ms, pending.lane is not Lane.STREAM)
        assert load.target.name not in pending.tried
        if not pending.tried:
            self._budget.earn()
        load.health.start(flow)
        self._flows.open(now_ms, pending, load)
        return Admit(flow, load.target.name, now_ms - pending.offered_ms)

    def _retry(self, now_ms: int, opening: Opening) -> Decision:
        pending = opening.pending
        request = pending.request
        pending.tried = (*pending.tried, opening.load.target.name)
        if now_ms >= pending.expires_ms:
            return Refuse(request.flow, RefusalReason.DEADLINE)
        if not self._budget.spend():
            return Refuse(request.flow, RefusalReason.RETRIES_USED)
        load = self._view.choose(now_ms, request.flow, pending.lane, pending.tried)
        if load is not None:
            return self._admit(now_ms, pending, load)
        if request.may_spill:
            self._respill.note_declined(pending)
            return Decline(request.flow)
        reason = self._unservable_reason(now_ms, pending)
        if reason is not None:
            return Refuse(request.flow, reason)
        self._queue.put(pending, is_first=True)
        return Enqueue(request.flow)

    def _serve(self, now_ms: int) -> list[Decision]:
        """Give the free capacity to queued opens, short ones first."""
        decisions: list[Decision] = []
        if not len(self._queue):
            return decisions
        while (admitted := self._serve_one(now_ms)) is not None:
            decisions.append(admitted)
        return decisions

    def _serve_one(self, now_ms: int) -> Admit | None:
        has_long = self._view.long_slots() > 0
        # The long lane comes first while no long request holds a slot, so that sustained short load
        # cannot starve it.
        order = (Lane.SHORT, Lane.LONG) if has_long else (Lane.LONG, Lane.SHORT)
        for lane in (*order, Lane.STREAM):
            for pending in self._queue.waiting(lane):
                flow = pending.request.flow
                load = self._view.choose(now_ms, flow, lane, pending.tried)
                if load is not None:
                    self._queue.remove(flow)
                    return self._admit(now_ms, pending, load)
                # If a first attempt finds no target, neither will the opens behind it.
                if not pending.tried:
                    break
        return None

    def _refuse_unservable(self, now_ms: int) -> list[Decision]:
        """Refuse queued opens that have no untried target left to wait for."""
        decisions: list[Decision] = []
        for pending in self._queue.opens():
            reason = self._unservable_reason(now_ms, pending)
            if reason is not None:
                self._queue.remove(pending.request.flow)
                decisions.append(Refuse(pending.request.flow, reason))
        return decisions

    def _unservable_reason(self, now_ms: int, pending: PendingOpen) -> RefusalReason | None:
        """Return why an open has no target to wait for, here or in another shard, or None."""
        if self._view.healthy(now_ms, pending.tried) or self._respill.may_wait_to_respill(
            now_ms, pending
        ):
            return None
        if self._view.in_use(now_ms, pending.tried) and not pending.request.may_respill:
            return None
        return RefusalReason.RETRIES_USED if pending.tried else RefusalReason.NO_TARGET

    def _hold_overdue(self, now_ms: int) -> None:
        """Treat requests past their deadline like cancelled ones.

        The close of a request may have gone to another manager while member views differed. Its
        slot would then stay busy forever; as a held slot, it is freed by the target's load hints.
        """
        running = self._flows.running.items()
        for flow in [flow for flow, request in running if now_ms >= request.due_ms]:
            self._flows.hold(now_ms, flow)

    def _fail_silent_opens(self, now_ms: int) -> list[Decision]:
        openings = self._flows.openings.items()
        silent = [flow for flow, opening in openings if opening.answer_due_ms <= now_ms]
        decisions: list[Decision] = []
        for flow in silent:
            decisions += self.handle_open_failure(now_ms, flow, OpenFailure.SILENT)
        return decisions
