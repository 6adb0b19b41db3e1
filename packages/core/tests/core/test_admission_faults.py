"""Tests of admission with targets that are dead, hang, reset or report a false load."""

import unittest

from fuchsiaspread_core.admission import (
    Admit,
    Decline,
    Enqueue,
    Inform,
    OpenFailure,
    OpenRequest,
    Refuse,
    ShardAdmission,
)
from fuchsiaspread_core.internal.respill import RESPILL_OPENS, RESPILL_QUEUE_LIMIT
from fuchsiaspread_core.internal.target_health import BASE_EJECTION_MS
from fuchsiaspread_core.internal.target_load import TargetCondition
from fuchsiaspread_core.notices import FlowEnd, RefusalReason

from .admission_case import REQUEST, SCREENS, STREAM, AdmissionCase, flow


class DeadTargetTest(AdmissionCase):
    def test_silent_target_is_replaced_and_never_tried_again(self) -> None:
        """Guards against an open that keeps waiting for a target that does not answer."""
        admission = self.shard(2)
        first = self.admitted(admission, 0, flow(0))
        self.assertEqual(admission.tick(200), [])
        second = self.only(admission.tick(260))
        self.assertNotEqual(second.target, first)
        self.assertEqual(
            self.only(admission.tick(520)), Refuse(flow(0), RefusalReason.RETRIES_USED)
        )
        self.assertFalse(admission.is_managed(flow(0)))

    def test_pause_of_this_process_does_not_make_targets_suspect(self) -> None:
        """Guards against counting opens as failed whose answers wait to be read after a pause."""
        admission = self.shard(2)
        self.admitted(admission, 0, flow(0))
        admission.tick(20)
        self.assertEqual(admission.tick(3500), [])
        admission.accept(3501, flow(0))
        self.assertEqual(admission.tick(3760), [])
        self.assertEqual(set(self.conditions(admission, 3760).values()), {TargetCondition.IN_USE})

    def test_shard_declines_an_open_that_its_only_target_failed(self) -> None:
        """Guards against refusing an open that another zone's shard could serve."""
        admission = self.shard(1)
        self.admitted(admission, 0, flow(0), may_spill=True)
        self.assertEqual(self.only(admission.tick(260)), Decline(flow(0)))
        self.assertFalse(admission.is_managed(flow(0)))
        # It is offered again if no other shard has capacity; the target that failed it is not
        # tried again.
        refused = Refuse(flow(0), RefusalReason.RETRIES_USED)
        self.assertEqual(self.offer(admission, 262, flow(0)), refused)

    def test_open_of_a_failing_shard_is_offered_to_others_for_a_while(self) -> None:
        """Guards against refusing every open of a zone whose only target is dead."""
        admission = self.shard(1)
        self.fail_twice(admission, "desk-1")
        requests = [OpenRequest(flow(n), 1, REQUEST, False, may_respill=True) for n in range(20)]
        decisions = [admission.offer(10, request) for request in requests]
        queued = [decision.flow for decision in decisions if isinstance(decision, Enqueue)]
        self.assertEqual(len(queued), RESPILL_QUEUE_LIMIT)
        self.assertEqual(admission.tick(20), [Decline(key) for key in queued[:RESPILL_OPENS]])
        admission.offer(22, requests[0])
        refused = [d.flow for d in admission.tick(600) if isinstance(d, Refuse)]
        self.assertNotIn(flow(10), refused)
        self.assertTrue(set(refused) <= set(queued))
        self.assertEqual(admission.queued_count, 0)

    def test_dead_target_with_the_only_free_slot_gets_no_retries(self) -> None:
        """Guards against a dead target that attracts every open because it looks idle."""
        admission = self.shard(3)
        dead = self.admitted(admission, 0, flow(0))
        admission.handle_open_failure(0, flow(0), OpenFailure.RESET)
        admission.accept(0, flow(0))
        self.fill_all_but(admission, dead)
        given_to_dead, refused = 0, 0
        for now_ms in range(10, 1000, 30):
            decisions = [self.offer(admission, now_ms, flow(now_ms)), *admission.tick(now_ms)]
            while decisions:
                decision = decisions.pop()
                refused += isinstance(decision, Refuse)
                if isinstance(decision, Admit):
                    self.assertEqual(decision.target, dead)
                    given_to_dead += 1
                    decisions += admission.handle_open_failure(
                        now_ms, decision.flow, OpenFailure.RESET
                    )
        self.assertLessEqual(given_to_dead, 3)
        self.assertEqual(refused, 0)
        self.assertEqual(self.conditions(admission, 100)[dead], TargetCondition.EJECTED)

    def fill_all_but(self, admission: ShardAdmission, dead: str) -> None:
        """Fill each slot of the other targets with an accepted request."""
        unwanted = []
        for number in range(50_000, 50_020):
            key = flow(number)
            decision = self.offer(admission, 1, key)
            if isinstance(decision, Admit) and decision.target != dead:
                admission.accept(1, key)
            else:
                unwanted.append(key)
        for key in reversed(unwanted):
            admission.cancel(1, key)
        others = {name: busy for name, busy in self.busy(admission).items() if name != dead}
        self.assertEqual(set(others.values()), {3})

    def test_retry_budget_bounds_the_retries_when_every_target_fails(self) -> None:
        """Guards against retries that multiply the load on a failing shard."""
        admission = self.shard(12, slots=100)
        names = {flow(n): self.admitted(admission, 0, flow(n)) for n in range(300)}
        decisions = []
        for key in sorted(names, key=names.__getitem__):
            decisions += admission.handle_open_failure(1, key, OpenFailure.RESET)
        retries = sum(isinstance(decision, Admit) for decision in decisions)
        self.assertGreater(retries, 0)
        self.assertLessEqual(retries, 10 + 300 * 0.2)
        reasons = {d.reason for d in decisions if isinstance(d, Refuse)}
        self.assertEqual(reasons, {RefusalReason.RETRIES_USED})

    def test_last_target_gets_single_opens_while_it_fails(self) -> None:
        """Guards against flooding a failing target that may not be ejected."""
        admission = self.shard(1)
        self.fail_twice(admission, "desk-1")
        self.assertIsInstance(self.offer(admission, 10, flow(10)), Enqueue)
        self.assertEqual(self.only(admission.tick(60)), Admit(flow(10), "desk-1", 50))
        self.assertIsInstance(self.offer(admission, 61, flow(11)), Enqueue)
        self.assertEqual(self.only(admission.accept(62, flow(10))).flow, flow(11))

    def test_retry_prefers_a_healthy_target(self) -> None:
        """Guards against an open that is retried on one failing target after another."""
        admission = self.shard(3)
        self.fail_twice(admission, "desk-1")
        for number in range(100, 104):
            self.admitted(admission, 10, flow(number))
            admission.accept(10, flow(number))
        self.assertEqual(self.busy(admission)["desk-1"], 0)
        name = self.admitted(admission, 11, flow(200))
        retried = self.only(admission.handle_open_failure(70, flow(200), OpenFailure.RESET))
        self.assertNotIn(retried.target, ("desk-1", name))

    def fail_twice(self, admission: ShardAdmission, name: str) -> None:
        """Let two opens fail on a target at time 0, and cancel the opens of the other targets."""
        count = 2 * len(admission.summaries(0))
        names = {flow(n): self.admitted(admission, 0, flow(n)) for n in range(1000, 1000 + count)}
        failing = [key for key, given in names.items() if given == name][:2]
        for key in failing:
            admission.handle_open_failure(0, key, OpenFailure.RESET)
        for key in names:
            admission.cancel(0, key)

    def test_ejection_grows_and_spares_half_of_the_targets(self) -> None:
        """Guards against ejecting every target, and against probing a dead one too often."""
        admission = self.shard(3)
        informed = []
        for now_ms in range(0, 20_000, 10):
            decision = self.offer(admission, now_ms, flow(now_ms))
            if isinstance(decision, Admit):
                informed += admission.handle_open_failure(now_ms, flow(now_ms), OpenFailure.RESET)
            admission.cancel(now_ms, flow(now_ms))
            ejected = list(self.conditions(admission, now_ms).values())
            self.assertLessEqual(ejected.count(TargetCondition.EJECTED), 1)
        notices = [d.notice for d in informed if isinstance(d, Inform)]
        times = [notice.ejected_for_ms for notice in notices]
        self.assertEqual(times[0], BASE_EJECTION_MS)
        self.assertGreater(max(times), 2 * BASE_EJECTION_MS)

    def test_recovered_target_returns_through_slow_start(self) -> None:
        """Guards against a target that stays ejected, or gets its full load at its first answer."""
        admission = self.shard(2)
        dead = self.admitted(admission, 0, flow(0))
        admission.handle_open_failure(0, flow(0), OpenFailure.RESET)
        for number in range(1, 60):
            key = flow(number)
            decision = self.offer(admission, number * 10, key)
            if isinstance(decision, Admit) and decision.target == dead:
                admission.handle_open_failure(number * 10, key, OpenFailure.RESET)
            admission.cancel(number * 10, key)
        self.assertEqual(self.conditions(admission, 600)[dead], TargetCondition.EJECTED)
        for number in range(100, 110):
            key = flow(number)
            self.offer(admission, 3000, key)
            admission.accept(3000, key)
        self.assertEqual(self.conditions(admission, 3000)[dead], TargetCondition.SLOW_START)

    def test_single_failures_far_apart_restrict_nothing(self) -> None:
        """Guards against admitting reconnecting streams one by one after occasional resets."""
        admission = self.shard(1)
        for now_ms in range(0, 400_000, 40_000):
            key = flow(now_ms // 1000, service=SCREENS)
            self.admitted(admission, now_ms, key, kind=STREAM)
            admission.accept(now_ms, key)
            admission.release(now_ms + 10, key, FlowEnd.RESET_BY_TARGET)
            admission.tick(now_ms + 30_020)
        key = flow(999, service=SCREENS)
        self.admitted(admission, 400_000, key, kind=STREAM)
        admission.accept(400_000, key)
        admission.release(400_010, key, FlowEnd.RESET_BY_TARGET)
        for number in range(1000, 1100):
            self.admitted(admission, 400_020, flow(number, service=SCREENS), kind=STREAM)

    def test_host_that_loses_its_streams_at_once_returns_through_slow_start(self) -> None:
        """Guards against sending all reconnecting streams to a host that has just restarted."""
        admission = self.shard(2)
        names = {}
        for number in range(40):
            key = flow(number, service=SCREENS)
            names[key] = self.admitted(admission, 0, key, kind=STREAM)
            admission.accept(0, key)
        admission.tick(1500)
        for key in (key for key, name in names.items() if name == "desk-1"):
            admission.release(2000, key, FlowEnd.RESET_BY_TARGET)
        for number in range(100, 140):
            key = flow(number, service=SCREENS)
            self.assertEqual(self.admitted(admission, 2000, key, kind=STREAM), "desk-2")
        probe = flow(200, service=SCREENS)
        self.assertEqual(self.admitted(admission, 4000, probe, kind=STREAM), "desk-1")
        admission.accept(4000, probe)
        admission.tick(5100)
        self.assertEqual(self.conditions(admission, 5100)["desk-1"], TargetCondition.SLOW_START)


class FalseReportTest(AdmissionCase):
    def test_idle_reports_do_not_add_slots(self) -> None:
        """Guards against overloading a target that always reports itself idle."""
        admission = self.shard(1)
        for number in range(3):
            self.admitted(admission, 0, flow(number))
            admission.accept(0, flow(number))
        for now_ms in range(0, 200, 10):
            admission.report_load(now_ms, "desk-1", 0, False)
        self.assertEqual(self.offer(admission, 200, flow(9)), Enqueue(flow(9)))

    def test_shedding_reports_do_not_take_a_target_out_of_use(self) -> None:
        """Guards against a shard that refuses opens because its targets report shedding load."""
        admission = self.shard(1)
        admission.report_load(0, "desk-1", 99, True)
        self.admitted(admission, 0, flow(0))

    def test_hints_are_ignored_after_one_was_wrong(self) -> None:
        """Guards against a target that reports slots as free that it still uses."""
        admission = self.shard(1, slots=1)
        for round_ms in (0, 1000):
            key = flow(round_ms)
            self.admitted(admission, round_ms, key)
            admission.accept(round_ms, key)
            admission.cancel(round_ms, key)
            admission.report_load(round_ms + 10, "desk-1", 0, False)
            admission.report_load(round_ms + 20, "desk-1", 0, False)
            self.assertEqual(self.busy(admission), {"desk-1": 0 if round_ms == 0 else 1})
            admission.release(round_ms + 600, key, FlowEnd.RESET_BY_TARGET)

    def test_target_that_accepts_and_resets_is_ejected(self) -> None:
        """Guards against a target that attracts every open because it fails them at once."""
        admission = self.shard(3)
        given: list[str] = []
        for now_ms in range(0, 900, 10):
            key = flow(now_ms)
            name = self.admitted(admission, now_ms, key)
            given.append(name)
            admission.accept(now_ms, key)
            end = FlowEnd.RESET_BY_TARGET if name == "desk-1" else FlowEnd.ANSWERED
            admission.release(now_ms + 1, key, end)
        self.assertLessEqual(given.count("desk-1"), 3)

    def test_hanging_target_is_ejected(self) -> None:
        """Guards against a target whose kernel accepts connections while its server hangs."""
        admission = self.shard(2)
        names = {flow(number): self.admitted(admission, 0, flow(number)) for number in range(6)}
        for key in names:
            admission.accept(1, key)
        for key in (key for key, name in names.items() if name == "desk-2"):
            admission.release(100, key, FlowEnd.ANSWERED)
        decisions = [d for now_ms in range(120, 2001, 20) for d in admission.tick(now_ms)]
        notices = [d.notice for d in decisions if isinstance(d, Inform)]
        self.assertEqual([(n.target, n.cause) for n in notices], [("desk-1", "hang")])


if __name__ == "__main__":
    unittest.main()
