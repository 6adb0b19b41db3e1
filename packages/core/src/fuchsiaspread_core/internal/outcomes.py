"""Feedback from the outcomes of opens, requests and streams."""

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

# A stream that the target resets within this time was not served; one that lasts longer counts as
# answered.
STREAM_PROBATION_MS = 1_000
# How many opens that timed out are remembered, to recognise late answers to them.
MAX_SILENT_OPENS = 1_000


class Outcomes:
    """Update the lane history, the service times and the targets' health from outcomes."""

    def __init__(
        self, view: LoadView, flows: AdmittedFlows, times: ServiceTimes, history: LaneHistory
    ) -> None:
        self._view = view
        self._flows = flows
        self._times = times
        self._history = history
        # Accept times of streams that are younger than STREAM_PROBATION_MS, oldest first.
        self._probation_streams: OrderedDict[FlowKey, int] = OrderedDict()
        # When opens that timed out had been sent to their target, oldest first.
        self._silent: OrderedDict[tuple[FlowKey, TargetName], int] = OrderedDict()

    def note_accept(self, now_ms: int, flow: FlowKey, opening: Opening) -> None:
        """Record a target's answer to an open."""
        self._flows.answer_timeout.observe(now_ms - opening.admitted_ms)
        if flow in self._flows.streams:
            self._probation_streams[flow] = now_ms
        if opening.load.health.note_accept():
            opening.load.begin_slow_start(now_ms)

    def note_late_accept(self, now_ms: int, flow: FlowKey, target: TargetName) -> None:
        """Record an answer to an open that had already timed out."""
        admitted_ms = self._silent.pop((flow, target), None)
        load = self._view.get(target)
        if admitted_ms is None or load is None:
            return
        self._flows.answer_timeout.observe(now_ms - admitted_ms)
        if load.health.note_accept():
            load.begin_slow_start(now_ms)

    def note_open_failure(
        self, now_ms: int, opening: Opening, failure: OpenFailure
    ) -> list[Decision]:
        """Record that a target did not answer an open, or reset it."""
        health = opening.load.health
        flow = opening.pending.request.flow
        health.finish(flow)
        if failure is OpenFailure.SILENT:
            self._silent[flow, opening.load.target.name] = opening.admitted_ms
            if len(self._silent) > MAX_SILENT_OPENS:
                self._silent.popitem(last=False)
        if health.note_open_failure(now_ms):
            return self._view.eject(now_ms, opening.load, failure.value)
        return []

    def note_end(
        self, now_ms: int, flow: FlowKey, running: Running, end: FlowEnd
    ) -> list[Decision]:
        """Record the end of an accepted request."""
        health = running.load.health
        health.finish(flow)
        if end is FlowEnd.RESET_BY_TARGET and health.note_run_failure(now_ms):
            return self._view.eject(now_ms, running.load, "reset after accept")
        if end is FlowEnd.ANSWERED:
            running.load.last_answer_ms = now_ms
            if not running.is_adopted:
                self._times.observe(now_ms - running.admitted_ms)
            if not running.is_in_history:
                self._history.observe(flow, is_long=False)
            if health.note_answer():
                running.load.begin_slow_start(now_ms)
        return []

    def note_held_end(self, now_ms: int, held: HeldSlot) -> None:
        """Record the end of a cancelled request.

        At peak load, callers cancel the slow requests. Without these, the estimated service times
        and waits would be too short, and even more requests would be cancelled.
        """
        if held.admitted_ms is not None:
            self._times.observe(now_ms - held.admitted_ms)

    def note_stream_end(
        self, now_ms: int, flow: FlowKey, load: TargetLoad, end: FlowEnd
    ) -> list[Decision]:
        """Record the end of an accepted stream."""
        self._probation_streams.pop(flow, None)
        load.health.finish(flow)
        if end is FlowEnd.RESET_BY_TARGET and load.health.note_run_failure(now_ms):
            return self._view.eject(now_ms, load, "reset after accept")
        return []

    def tick(self, now_ms: int) -> list[Decision]:
        """Check the running requests and the streams that have outlasted their probation."""
        self._end_stream_probation(now_ms)
        for load in self._view:
            load.health.forget_old_failures(now_ms)
        decisions: list[Decision] = []
        for flow, running in self._flows.running.items():
            decisions += self._check_running(now_ms, flow, running)
        return decisions

    def _check_running(self, now_ms: int, flow: FlowKey, running: Running) -> list[Decision]:
        """Detect a long request while it runs, and a target that no longer answers."""
        if not running.is_in_history and self._times.is_long(now_ms - running.admitted_ms):
            running.is_in_history = True
            self._flows.mark_long(running)
            self._history.observe(flow, is_long=True)
        load = running.load
        is_overdue = now_ms >= running.due_ms and not running.is_hung
        if not is_overdue or load.last_answer_ms >= running.admitted_ms:
            return []
        running.is_hung = True
        load.health.finish(flow)
        # On a host with fewer than three slots, each hanging request counts several times, so that
        # all slots together make up three failures.
        count = ceil(EJECTION_FAILURES / max(1, load.target.slots))
        if load.health.note_run_failure(now_ms, count):
            return self._view.eject(now_ms, load, "hang")
        return []

    def _end_stream_probation(self, now_ms: int) -> None:
        """Count streams that lasted as answers, so that their target leaves probation."""
        while self._probation_streams:
            flow, accepted_ms = next(iter(self._probation_streams.items()))
            if now_ms - accepted_ms < STREAM_PROBATION_MS:
                return
            del self._probation_streams[flow]
            load = self._flows.streams[flow]
            if load.health.note_answer():
                load.begin_slow_start(now_ms)
