"""Admission of opens to the targets of one shard."""

from collections.abc import Sequence
from math import ceil

from .admitted_flows import AdmittedFlows, Opening, Running
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
from .expected_wait import ExpectedWait
from .flow_table import COUNTED_PHASES, FlowRecord, Phase
from .identifiers import FlowKey, TargetName
from .lanes import Lane, LaneHistory
from .load_view import LoadView
from .notices import FlowEnd, RefusalReason
from .open_queue import OpenQueue, PendingOpen
from .retry_budget import RetryBudget
from .service_times import ServiceTimes
from .target_health import EJECTION_FAILURES
from .target_load import TargetLoad, TargetSummary

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

# A stream that the target resets within this time was not served.
YOUNG_STREAM_MS = 1_000


class ShardAdmission:
    """Count the slots and connections of a shard's targets and choose targets for opens.

    A flow is in one place only: the queue, or one of the stages of the admitted flows. The
    owner sorts out repeated SYNs of accepted flows; `offer` takes one as a new connection.
    """

    def __init__(self, seed: int = 0) -> None:
        self._view = LoadView(seed)
        self._flows = AdmittedFlows()
        self._queue = OpenQueue()
        self._history = LaneHistory()
        self._times = ServiceTimes()
        self._wait = ExpectedWait(self._view, self._queue, self._times)
        self._budget = RetryBudget()
        # Streams accepted within the last YOUNG_STREAM_MS, oldest first.
        self._young: dict[FlowKey, int] = {}

    @property
    def queued_count(self) -> int:
        """Return how many opens wait."""
        return len(self._queue)

    def is_managed(self, flow: FlowKey) -> bool:
        """Return whether the flow waits or counts here."""
        return flow in self._flows or flow in self._queue

    def summaries(self, now_ms: int) -> list[TargetSummary]:
        """Return the counts and the condition of each target for reports."""
        return [load.summary(now_ms) for load in self._view]

    def configure(self, now_ms: int, targets: Sequence[Target]) -> list[Decision]:
        """Take the shard's targets of a new configuration."""
        self._view.configure(now_ms, targets)
        return self._refuse_unservable(now_ms) + self._serve(now_ms)

    def offer(self, now_ms: int, request: OpenRequest) -> Decision:
        """Decide about a new open."""
        repeated = self._repeat(now_ms, request)
        if repeated is not None:
            return repeated
        if not self._view.in_use(now_ms):
            return self._pass_on(request, RefusalReason.NO_TARGET)
        pending = self._wait.pending(now_ms, request, self._history)
        if not self._queue.must_wait(pending.lane):
            load = self._view.choose(now_ms, request.flow, pending.lane)
            if load is not None:
                return self._admit(now_ms, pending, load)
        if request.may_spill:
            return Decline(request.flow)
        reason = self._wait.refusal(now_ms, pending)
        if reason is not None:
            return Refuse(request.flow, reason)
        self._queue.put(pending)
        return Enqueue(request.flow)

    def accept(self, now_ms: int, flow: FlowKey) -> list[Decision]:
        """Note that the target answered the open; after this the flow is never moved."""
        opening = self._flows.accept(flow)
        if opening is None:
            return []
        if opening.pending.lane is Lane.STREAM:
            self._young[flow] = now_ms
        if opening.load.health.note_accept():
            opening.load.begin_slow_start(now_ms)
        return self._serve(now_ms)

    def fail_open(self, now_ms: int, flow: FlowKey, failure: OpenFailure) -> list[Decision]:
        """Give an open that its target failed to another target, pass it on, or refuse it."""
        opening = self._flows.drop_opening(flow)
        if opening is None:
            return []
        decisions = self._note_open_failure(now_ms, opening, failure)
        decisions.append(self._retry(now_ms, opening))
        return decisions + self._serve(now_ms)

    def cancel(self, now_ms: int, flow: FlowKey) -> list[Decision]:
        """Note that the caller left; the slot stays busy until the target is known to be free."""
        self._queue.remove(flow)
        opening = self._flows.drop_opening(flow)
        if opening is not None:
            opening.load.health.finish(flow)
        self._drop_stream(now_ms, flow)
        running = self._flows.hold(now_ms, flow)
        if running is not None:
            running.load.health.finish(flow)
        return self._serve(now_ms)

    def release(self, now_ms: int, flow: FlowKey, end: FlowEnd) -> list[Decision]:
        """Free the slot of a flow that ended and admit what waits for it."""
        decisions: list[Decision] = []
        running = self._flows.end_running(flow)
        if running is not None:
            decisions += self._note_end(now_ms, flow, running, end)
        elif flow in self._flows.streams:
            decisions += self._end_stream(now_ms, flow, end)
        elif not self._flows.end_held(flow):
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
            pending = self._wait.pending(now_ms, request, self._history)
            self._flows.open(now_ms, pending, load)
            return
        is_cancelled = record.phase is Phase.CANCELLED
        self._flows.adopt_accepted(now_ms, request, load, is_cancelled)

    def report_load(self, now_ms: int, target: TargetName, busy_slots: int, shed: bool) -> None:
        """Take a target's own statement of its load as a hint.

        It can free the slots of cancelled requests, which the next tick gives to waiting opens,
        and lower the target's rank; it never changes the count of requests that are running.
        """
        load = self._view.get(target)
        if load is None:
            return
        load.note_shedding(now_ms, shed)
        accepted_slots = load.busy_slots - load.opening_slots
        freed = load.held.report(now_ms, accepted_slots - busy_slots)
        self._flows.free_held(load, freed)

    def tick(self, now_ms: int) -> list[Decision]:
        """Act on deadlines: silent targets, expired queue entries, unconfirmed slots."""
        decisions = self._fail_silent_opens(now_ms)
        for pending in self._queue.expire(now_ms):
            decisions.append(Refuse(pending.request.flow, RefusalReason.DEADLINE))
        for flow, running in self._flows.running.items():
            decisions += self._watch(now_ms, flow, running)
        decisions += self._end_overdue(now_ms)
        for load in self._view:
            self._flows.free_held(load, load.held.expire(now_ms))
        self._end_youth(now_ms)
        return decisions + self._refuse_unservable(now_ms) + self._serve(now_ms)

    def _repeat(self, now_ms: int, request: OpenRequest) -> Decision | None:
        """Answer an open that is here already; make way for a new one with the same key."""
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
            # The slot of a running request stays busy: the target may not know that it is over.
            self.cancel(now_ms, flow)
            self._flows.detach_held(flow)
        return None

    def _pass_on(self, request: OpenRequest, reason: RefusalReason) -> Decision:
        return Decline(request.flow) if request.may_spill else Refuse(request.flow, reason)

    def _admit(self, now_ms: int, pending: PendingOpen, load: TargetLoad) -> Admit:
        flow = pending.request.flow
        assert load.has_room(now_ms, pending.lane is not Lane.STREAM)
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
        if request.may_spill or not self._view.in_use(now_ms, pending.tried):
            return self._pass_on(request, RefusalReason.RETRIES_USED)
        self._queue.put(pending)
        return Enqueue(request.flow)

    def _serve(self, now_ms: int) -> list[Decision]:
        """Give the free capacity to waiting opens, short ones first."""
        decisions: list[Decision] = []
        if not len(self._queue):
            return decisions
        while (admitted := self._serve_one(now_ms)) is not None:
            decisions.append(admitted)
        return decisions

    def _serve_one(self, now_ms: int) -> Admit | None:
        has_long = self._view.long_slots() > 0
        # One long request may always run, or a steady crest of short ones would starve them.
        order = (Lane.SHORT, Lane.LONG) if has_long else (Lane.LONG, Lane.SHORT)
        for lane in (*order, Lane.STREAM):
            for pending in self._queue.waiting(lane):
                flow = pending.request.flow
                load = self._view.choose(now_ms, flow, lane, pending.tried)
                if load is not None:
                    self._queue.remove(flow)
                    return self._admit(now_ms, pending, load)
                # What a first attempt cannot get, those behind it cannot get either.
                if not pending.tried:
                    break
        return None

    def _refuse_unservable(self, now_ms: int) -> list[Decision]:
        """Refuse waiting opens for which no untried target is in use."""
        decisions: list[Decision] = []
        has_target = bool(self._view.in_use(now_ms))
        for pending in self._queue.opens():
            is_hopeless = pending.tried and not self._view.in_use(now_ms, pending.tried)
            if is_hopeless or not has_target:
                self._queue.remove(pending.request.flow)
                reason = RefusalReason.RETRIES_USED if has_target else RefusalReason.NO_TARGET
                decisions.append(Refuse(pending.request.flow, reason))
        return decisions

    def _fail_silent_opens(self, now_ms: int) -> list[Decision]:
        openings = self._flows.openings.items()
        silent = [flow for flow, opening in openings if opening.answer_due_ms <= now_ms]
        decisions: list[Decision] = []
        for flow in silent:
            decisions += self.fail_open(now_ms, flow, OpenFailure.SILENT)
        return decisions

    def _note_open_failure(
        self, now_ms: int, opening: Opening, failure: OpenFailure
    ) -> list[Decision]:
        health = opening.load.health
        health.finish(opening.pending.request.flow)
        if health.fail_open(now_ms):
            return self._view.eject(now_ms, opening.load, failure.value)
        return []

    def _note_end(
        self, now_ms: int, flow: FlowKey, running: Running, end: FlowEnd
    ) -> list[Decision]:
        health = running.load.health
        health.finish(flow)
        if end is FlowEnd.RESET_BY_TARGET and health.fail_run(now_ms):
            return self._view.eject(now_ms, running.load, "reset after accept")
        if end is FlowEnd.ANSWERED:
            running.load.last_answer_ms = now_ms
            if not running.is_adopted:
                self._times.observe(now_ms - running.admitted_ms)
            if not running.is_learnt:
                self._history.observe(flow, is_long=False)
            if health.note_answer():
                running.load.begin_slow_start(now_ms)
        return []

    def _watch(self, now_ms: int, flow: FlowKey, running: Running) -> list[Decision]:
        """Notice a long request while it runs, and a target that has ceased to answer."""
        if not running.is_learnt and self._times.is_long(now_ms - running.admitted_ms):
            running.is_learnt = True
            self._flows.mark_long(running)
            self._history.observe(flow, is_long=True)
        load = running.load
        is_overdue = now_ms >= running.due_ms and not running.is_hung
        if not is_overdue or load.last_answer_ms >= running.admitted_ms:
            return []
        running.is_hung = True
        load.health.finish(flow)
        # All slots of a host with fewer than three together count as three failures.
        count = ceil(EJECTION_FAILURES / max(1, load.target.slots))
        if load.health.fail_run(now_ms, count):
            return self._view.eject(now_ms, load, "hang")
        return []

    def _end_overdue(self, now_ms: int) -> list[Decision]:
        """Free slots of requests whose end went to another manager and was never seen here."""
        running = self._flows.running.items()
        overdue = [flow for flow, one in running if now_ms >= one.due_ms + one.hold_ms]
        decisions: list[Decision] = []
        for flow in overdue:
            decisions += self.release(now_ms, flow, FlowEnd.EXPIRED)
        return decisions

    def _end_stream(self, now_ms: int, flow: FlowKey, end: FlowEnd) -> list[Decision]:
        load = self._flows.streams[flow]
        self._drop_stream(now_ms, flow)
        if end is FlowEnd.RESET_BY_TARGET and load.health.fail_run(now_ms):
            return self._view.eject(now_ms, load, "reset after accept")
        return []

    def _drop_stream(self, now_ms: int, flow: FlowKey) -> None:
        load = self._flows.drop_stream(flow)
        if load is not None:
            self._young.pop(flow, None)
            load.health.finish(flow)

    def _end_youth(self, now_ms: int) -> None:
        """Count streams that lasted as answers, so that the target leaves probation."""
        while self._young:
            flow, accepted_ms = next(iter(self._young.items()))
            if now_ms - accepted_ms < YOUNG_STREAM_MS:
                return
            del self._young[flow]
            load = self._flows.streams[flow]
            if load.health.note_answer():
                load.begin_slow_start(now_ms)
