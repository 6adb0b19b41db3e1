"""What the manager learns from how opens, requests and streams go on and end."""

from collections import OrderedDict
from math import ceil

from ..decisions import Decision, OpenFailure
from ..identifiers import FlowKey, TargetName
from ..notices import FlowEnd
from .admitted_flows import AdmittedFlows, Opening, Running
from .held_slots import HeldSlot
from .lanes import LaneHistory
from .load_view import LoadView
from .service_times import ServiceTimes
from .target_health import EJECTION_FAILURES
from .target_load import TargetLoad

# A stream that the target resets within this time was not served.
YOUNG_STREAM_MS = 1_000
# Opens that count as silent and whose late answers are still recognised.
SILENT_LIMIT = 1_000


class Outcomes:
    """Teach history, service times and target health from observed outcomes."""

    def __init__(
        self, view: LoadView, flows: AdmittedFlows, times: ServiceTimes, history: LaneHistory
    ) -> None:
        self._view = view
        self._flows = flows
        self._times = times
        self._history = history
        # Streams accepted within the last YOUNG_STREAM_MS, oldest first.
        self._young: OrderedDict[FlowKey, int] = OrderedDict()
        # When opens that count as silent were given to a target, oldest first.
        self._silent: OrderedDict[tuple[FlowKey, TargetName], int] = OrderedDict()

    def note_accept(self, now_ms: int, flow: FlowKey, opening: Opening) -> None:
        """Take a target's answer to an open."""
        self._flows.answer_time.observe(now_ms - opening.admitted_ms)
        if flow in self._flows.streams:
            self._young[flow] = now_ms
        if opening.load.health.note_accept():
            opening.load.begin_slow_start(now_ms)

    def note_late_accept(self, now_ms: int, flow: FlowKey, target: TargetName) -> None:
        """Take an answer that came after its open had counted as silent."""
        admitted_ms = self._silent.pop((flow, target), None)
        load = self._view.get(target)
        if admitted_ms is None or load is None:
            return
        self._flows.answer_time.observe(now_ms - admitted_ms)
        if load.health.note_accept():
            load.begin_slow_start(now_ms)

    def note_open_failure(
        self, now_ms: int, opening: Opening, failure: OpenFailure
    ) -> list[Decision]:
        """Take a target's silence or reset in place of an answer to an open."""
        health = opening.load.health
        flow = opening.pending.request.flow
        health.finish(flow)
        if failure is OpenFailure.SILENT:
            self._silent[flow, opening.load.target.name] = opening.admitted_ms
            if len(self._silent) > SILENT_LIMIT:
                self._silent.popitem(last=False)
        if health.note_open_failure(now_ms):
            return self._view.eject(now_ms, opening.load, failure.value)
        return []

    def note_end(
        self, now_ms: int, flow: FlowKey, running: Running, end: FlowEnd
    ) -> list[Decision]:
        """Take the end of an accepted request."""
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

    def note_held_end(self, now_ms: int, held: HeldSlot) -> None:
        """Take the end of a cancelled request.

        At a crest the requests that callers give up are the slow ones; without them the service
        times, and so the expected waits, come out too short, and more are given up.
        """
        if held.admitted_ms is not None:
            self._times.observe(now_ms - held.admitted_ms)

    def note_stream_end(
        self, now_ms: int, flow: FlowKey, load: TargetLoad, end: FlowEnd
    ) -> list[Decision]:
        """Take the end of an accepted stream."""
        self._young.pop(flow, None)
        load.health.finish(flow)
        if end is FlowEnd.RESET_BY_TARGET and load.health.fail_run(now_ms):
            return self._view.eject(now_ms, load, "reset after accept")
        return []

    def tick(self, now_ms: int) -> list[Decision]:
        """Look at the requests that run and at the streams that lasted."""
        self._end_youth(now_ms)
        for load in self._view:
            load.health.forget_old_failures(now_ms)
        decisions: list[Decision] = []
        for flow, running in self._flows.running.items():
            decisions += self._watch(now_ms, flow, running)
        return decisions

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
