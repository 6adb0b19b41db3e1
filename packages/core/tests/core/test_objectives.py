"""Tests of the counters behind the burn-rate report."""

import unittest

from fuchsiaspread_core import objectives
from fuchsiaspread_core.configuration import (
    Configuration,
    Objective,
    Revision,
    Service,
    Target,
    TargetState,
)
from fuchsiaspread_core.identifiers import Endpoint, ServiceName, TargetName, ZoneName
from fuchsiaspread_core.notices import (
    FlowEnd,
    FlowEnded,
    FlowOpened,
    OpenRefused,
    RefusalReason,
    ViewBecameStale,
)
from fuchsiaspread_core.objectives import FINEST_BUCKET_MS, Counts, ObjectiveCounters
from hypothesis import given, settings
from hypothesis import strategies as st

DESK = ServiceName("order-desk")
FIRST, SECOND = TargetName("desk-1"), TargetName("desk-2")
PERIOD_S = 30 * 86_400
HOUR_MS = 3_600_000


def configuration(period_s: int = PERIOD_S) -> Configuration:
    """Return one service with two targets in two zones."""
    targets = tuple(
        Target(name, Endpoint(f"127.0.0.{n}", 6080), ZoneName(f"zone-{n}"), 1, state, 3, 2000)
        for n, (name, state) in enumerate(
            ((FIRST, TargetState.ACTIVE), (SECOND, TargetState.ACTIVE))
        )
    )
    service = Service(DESK, (), targets, Objective(0.999, 0.99, period_s))
    return Configuration("occidente", Revision(1, 1), (service,))


def started() -> ObjectiveCounters:
    """Return counters of a process that started at time zero."""
    counters = ObjectiveCounters(0)
    counters.configure(configuration())
    return counters


def opened(target: TargetName = FIRST) -> FlowOpened:
    """Return the notice of an opened flow."""
    return FlowOpened(DESK, target, 0)


class ObjectivesTest(unittest.TestCase):
    def windows(self, counters: ObjectiveCounters, now_ms: int) -> dict[int, Counts]:
        (service,) = counters.snapshot(now_ms).services
        return {
            w.window_s: Counts(w.opened, w.broken, w.answered, w.in_time, w.refused)
            for w in service.windows
        }

    def test_each_notice_counts_once_in_every_window(self) -> None:
        """Guards against a wrong error budget because an outcome is counted twice or not at all."""
        counters = started()
        counters.record(5, opened())
        counters.record(6, FlowEnded(DESK, FIRST, FlowEnd.ANSWERED, True))
        counters.record(7, FlowEnded(DESK, SECOND, FlowEnd.ANSWERED, False))
        counters.record(8, FlowEnded(DESK, SECOND, FlowEnd.RESET_BY_TARGET, True))
        counters.record(8, FlowEnded(DESK, SECOND, FlowEnd.EXPIRED, True))
        counters.record(8, FlowEnded(DESK, SECOND, FlowEnd.CANCELLED, True))
        counters.record(9, OpenRefused(DESK, RefusalReason.DEADLINE))
        counters.record(9, ViewBecameStale(1))
        counters.record(9, FlowOpened(ServiceName("unknown"), FIRST, 0))
        for now_ms in (9, FINEST_BUCKET_MS, 2 * FINEST_BUCKET_MS):
            totals = self.windows(counters, now_ms)
            self.assertEqual(list(totals), [300, 3_600, 21_600, PERIOD_S])
            for total in totals.values():
                self.assertEqual(total, Counts(1, 2, 2, 1, 1))
        window = counters.snapshot(9).services[0].windows[0]
        self.assertEqual(window.by_target[SECOND], Counts(0, 2, 1, 0, 0))
        self.assertEqual(window.by_zone[ZoneName("zone-0")], Counts(1, 0, 1, 1, 0))

    def test_counts_leave_each_window_after_its_length(self) -> None:
        """Guards against an old failure that is reported as a fast burn."""
        counters = started()
        counters.record(0, opened())
        for now_ms, expected in (
            (290_000, 4),
            (320_000, 3),
            (HOUR_MS + 200_000, 2),
            (7 * HOUR_MS, 1),
        ):
            totals = self.windows(counters, now_ms)
            self.assertEqual(sum(total.opened for total in totals.values()), expected, now_ms)

    def test_pause_of_the_process_keeps_what_is_still_in_the_window(self) -> None:
        """Guards against shifting old counts into recent windows after a pause."""
        counters = started()
        counters.record(1_000, opened())
        counters.record(2 * HOUR_MS, opened())
        totals = self.windows(counters, 2 * HOUR_MS)
        self.assertEqual([total.opened for total in totals.values()], [1, 1, 2, 2])

    def test_clock_that_steps_back_loses_no_count(self) -> None:
        """Guards against a crash or a lost count when the clock steps back."""
        counters = started()
        counters.record(HOUR_MS, opened())
        counters.record(0, opened())
        self.assertEqual(self.windows(counters, HOUR_MS)[300].opened, 2)

    def test_changed_objective_keeps_the_history(self) -> None:
        """Guards against losing the history with every configuration change."""
        counters = started()
        counters.record(1, opened())
        counters.configure(configuration())
        self.assertEqual(self.windows(counters, 2)[300].opened, 1)
        counters.configure(configuration(86_400))
        self.assertEqual(self.windows(counters, 2)[86_400].opened, 0)
        counters.configure(Configuration("occidente", Revision(2, 1), ()))
        self.assertEqual(counters.snapshot(2).services, ())

    def test_memory_is_bounded(self) -> None:
        """Guards against memory growth over a long period with many target names."""
        counters = started()
        for number in range(objectives.MAX_TARGETS_PER_BUCKET + 5):
            counters.record(0, opened(TargetName(f"t{number}")))
        for hour in range(24 * 40):
            counters.record(hour * HOUR_MS, opened())
        history = counters._services[DESK]
        for window in history._windows:
            self.assertLessEqual(len(window._buckets), objectives.BUCKETS_PER_WINDOW + 1)
        counted = counters.snapshot(0).services[0].windows[-1]
        self.assertLessEqual(len(counted.by_target), objectives.MAX_TARGETS_PER_BUCKET)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 400_000), st.sampled_from([FIRST, SECOND])), max_size=40)
    )
    def test_targets_add_up_to_the_total(self, steps: list[tuple[int, TargetName]]) -> None:
        """Guards against reporting a target as contributor for failures of another one."""
        counters, now_ms = started(), 0
        for gap_ms, target in steps:
            now_ms += gap_ms
            counters.record(now_ms, opened(target))
        for window in counters.snapshot(now_ms).services[0].windows:
            self.assertEqual(window.opened, sum(c.opened for c in window.by_target.values()))
            self.assertEqual(window.opened, sum(c.opened for c in window.by_zone.values()))
        times = [sum(gap for gap, _ in steps[: n + 1]) for n in range(len(steps))]
        recent = sum(time > now_ms - 300_000 for time in times)
        window = counters.snapshot(now_ms).services[0].windows[0]
        self.assertGreaterEqual(window.opened, recent)


if __name__ == "__main__":
    unittest.main()
