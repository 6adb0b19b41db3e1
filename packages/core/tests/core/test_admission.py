"""Tests of slots, queue, lanes, drain and cancellation in a shard's admission."""

import unittest

from fuchsiaspread_core.admission import Admit, Decline, Enqueue, OpenRequest, Refuse
from fuchsiaspread_core.configuration import TargetState
from fuchsiaspread_core.flow_table import FlowRecord, Phase
from fuchsiaspread_core.identifiers import TargetName
from fuchsiaspread_core.internal.lanes import HISTORY_LIMIT, LaneHistory, history_key
from fuchsiaspread_core.internal.respill import RESPILL_OPENS
from fuchsiaspread_core.internal.target_load import SLOW_START_MS, TargetCondition
from fuchsiaspread_core.notices import FlowEnd, RefusalReason

from .admission_case import REQUEST, SCREENS, STREAM, AdmissionCase, flow, target


class QueueTest(AdmissionCase):
    def test_full_shard_declines_then_queues_then_serves(self) -> None:
        """Guards against losing an open when its shard is full."""
        admission = self.shard(1)
        for number in range(3):
            self.admitted(admission, 0, flow(number))
        self.assertEqual(self.offer(admission, 0, flow(3), may_spill=True), Decline(flow(3)))
        self.assertFalse(admission.is_managed(flow(3)))
        self.assertEqual(self.offer(admission, 0, flow(3)), Enqueue(flow(3)))
        admission.accept(1, flow(0))
        decisions = admission.release(40, flow(0), FlowEnd.ANSWERED)
        self.assertEqual(decisions, [Admit(flow(3), TargetName("desk-1"), 40)])

    def test_open_that_would_miss_its_deadline_is_refused_at_once(self) -> None:
        """Guards against a queue that grows until no open in it is answered in time."""
        admission = self.shard(1)
        decisions = [self.offer(admission, 0, flow(number)) for number in range(2000)]
        queued = [d for d in decisions if isinstance(d, Enqueue)]
        refused = [d for d in decisions if isinstance(d, Refuse)]
        self.assertEqual(len(queued), admission.queued_count)
        # With 100 ms per request and three slots, 60 requests are served in 2000 ms.
        self.assertLess(len(queued), 60)
        self.assertEqual({d.reason for d in refused}, {RefusalReason.DEADLINE})

    def test_queued_open_is_refused_when_its_deadline_passes(self) -> None:
        """Guards against sending a target work whose caller no longer waits."""
        admission = self.shard(1, slots=1)
        self.admitted(admission, 0, flow(0))
        admission.accept(0, flow(0))
        self.assertEqual(self.offer(admission, 0, flow(1)), Enqueue(flow(1)))
        admission.tick(1500)
        self.assertEqual(admission.queued_count, 1)
        self.assertIn(Refuse(flow(1), RefusalReason.DEADLINE), admission.tick(2000))
        self.assertEqual(admission.queued_count, 0)

    def test_repeated_syn_changes_nothing(self) -> None:
        """Guards against counting a retransmitted SYN as a second request."""
        admission = self.shard(1, slots=1)
        first = self.offer(admission, 0, flow(0))
        self.assertEqual(self.offer(admission, 5, flow(0)), first)
        self.assertEqual(self.offer(admission, 5, flow(1)), self.offer(admission, 6, flow(1)))
        self.assertEqual(self.busy(admission), {"desk-1": 1})
        self.assertEqual(admission.queued_count, 1)

    def test_cancelled_slow_requests_lengthen_the_expected_wait(self) -> None:
        """Guards against waits that are estimated only from the fast requests at peak load."""
        admission = self.shard(1)
        for number in range(40):
            key, now_ms = flow(number), number * 1900
            self.admitted(admission, now_ms, key)
            admission.accept(now_ms, key)
            admission.cancel(now_ms + 100, key)
            admission.release(now_ms + 1800, key, FlowEnd.RESET_BY_TARGET)
        for number in range(100, 103):
            self.admitted(admission, 80_000, flow(number))
        decision = self.offer(admission, 80_000, flow(103))
        self.assertEqual(decision, Refuse(flow(103), RefusalReason.DEADLINE))

    def test_queued_open_is_offered_to_other_shards_and_keeps_its_place(self) -> None:
        """Guards against waiting behind long requests while another zone has free slots."""
        admission = self.shard(1, slots=1)
        self.admitted(admission, 0, flow(0))
        admission.accept(0, flow(0))
        keys = [flow(number) for number in range(1, 7)]
        requests = [OpenRequest(key, 1, REQUEST, False, may_respill=True) for key in keys]
        for now_ms, request in enumerate(requests):
            self.assertEqual(admission.offer(now_ms, request), Enqueue(request.flow))
        self.assertEqual(admission.tick(20), [Decline(key) for key in keys[:RESPILL_OPENS]])
        self.assertEqual(admission.tick(30), [])
        self.assertFalse(admission.is_managed(flow(1)))
        for request in requests[:RESPILL_OPENS]:
            self.assertEqual(admission.offer(31, request), Enqueue(request.flow))
        decisions = admission.release(35, flow(0), FlowEnd.ANSWERED)
        self.assertEqual(decisions, [Admit(flow(1), TargetName("desk-1"), 35)])
        self.assertEqual(admission.tick(40)[0], Decline(flow(2)))


class LaneTest(AdmissionCase):
    def serve_short_and_long(self, admission, now_ms: int = 0) -> int:
        """Serve short requests of network 1 and long ones of network 9; return the time after."""
        for number in range(16):
            self.serve(admission, now_ms, flow(number), 20)
            now_ms += 20
        for number in range(3):
            self.serve(admission, now_ms, flow(number, network=9), 1000)
            now_ms += 1000
        return now_ms

    def test_short_work_does_not_wait_behind_long_work(self) -> None:
        """Guards against long requests that take every slot of a shard."""
        admission = self.shard(2)
        now_ms = self.serve_short_and_long(admission)
        decisions = [self.offer(admission, now_ms, flow(n, network=9)) for n in range(100, 120)]
        # Half of the six slots, and one more while a quarter stays free.
        self.assertEqual(sum(isinstance(d, Admit) for d in decisions), 4)
        self.assertGreater(admission.queued_count, 0)
        for number in (200, 201):
            self.admitted(admission, now_ms, flow(number))
            admission.accept(now_ms, flow(number))
        self.assertIsInstance(self.offer(admission, now_ms, flow(202)), Enqueue)
        decisions = admission.release(now_ms + 9, flow(200), FlowEnd.ANSWERED)
        self.assertEqual(self.only(decisions).flow, flow(202))

    def test_queued_short_open_is_served_before_queued_long_one(self) -> None:
        """Guards against short requests that wait behind long ones in arrival order."""
        admission = self.shard(2)
        now_ms = self.serve_short_and_long(admission)
        for number in range(100, 106):
            self.admitted(admission, now_ms, flow(number))
            admission.accept(now_ms, flow(number))
        long, later_long = flow(200, network=9), flow(201, network=9)
        short = [flow(300), flow(301)]
        for key in (long, later_long, *short):
            self.assertEqual(self.offer(admission, now_ms, key), Enqueue(key))
        # No long request is running, so one gets a slot first, to prevent starvation.
        ends = [admission.release(now_ms + 9, flow(n), FlowEnd.ANSWERED) for n in (100, 101, 102)]
        self.assertEqual([self.only(end).flow for end in ends], [long, *short])

    def test_history_is_bounded_and_forgets(self) -> None:
        """Guards against memory that grows with the number of caller networks."""
        history = LaneHistory()
        for number in range(HISTORY_LIMIT + 500):
            key = number.to_bytes(3, "big") + flow(0)[3:]
            history.observe(key, is_long=True)
        self.assertEqual(len(history), HISTORY_LIMIT)
        newest = (HISTORY_LIMIT + 499).to_bytes(3, "big") + flow(0)[3:]
        for _ in range(20):
            history.observe(newest, is_long=False)
        self.assertEqual(len(history), HISTORY_LIMIT - 1)
        self.assertNotEqual(history_key(newest), history_key(flow(0)))


class ChangeTest(AdmissionCase):
    def test_draining_target_gets_nothing_new(self) -> None:
        """Guards against new work on a target that drains, and against losing its open flows."""
        admission = self.shard(2)
        name = self.admitted(admission, 0, flow(0))
        admission.accept(1, flow(0))
        leaving = int(name[-1])
        draining = [target(leaving, TargetState.DRAINING), target(3 - leaving)]
        admission.configure(2, draining)
        self.assertEqual(
            {self.admitted(admission, 3, flow(number)) for number in range(1, 4)},
            {f"desk-{3 - leaving}"},
        )
        self.assertEqual(self.offer(admission, 3, flow(9), may_spill=True), Decline(flow(9)))
        admission.configure(4, [target(3 - leaving)])
        self.assertTrue(admission.is_managed(flow(0)))
        admission.release(5, flow(0), FlowEnd.ANSWERED)
        self.assertNotIn(name, self.busy(admission))

    def test_queue_is_refused_when_the_last_target_drains(self) -> None:
        """Guards against opens that wait in a shard that has no target left."""
        admission = self.shard(1, slots=1)
        self.admitted(admission, 0, flow(0))
        self.offer(admission, 0, flow(1))
        decisions = admission.configure(1, [target(1, TargetState.DRAINING)])
        self.assertEqual(decisions, [Refuse(flow(1), RefusalReason.NO_TARGET)])

    def test_new_target_takes_a_small_share_first(self) -> None:
        """Guards against a new target that receives every open because it is idle."""
        admission = self.shard(1)
        admission.configure(1000, [target(1), target(2)])
        given = [self.admitted(admission, 1000, flow(number)) for number in range(4)]
        self.assertEqual(given.count(TargetName("desk-2")), 1)
        self.assertEqual(self.offer(admission, 1000, flow(9)), Enqueue(flow(9)))
        later_ms = 1000 + SLOW_START_MS
        conditions = {summary.condition for summary in admission.summaries(later_ms)}
        self.assertEqual(conditions, {TargetCondition.IN_USE})

    def test_streams_are_spread_evenly(self) -> None:
        """Guards against streams piling up on the target with the fewest busy slots."""
        admission = self.shard(3)
        self.admitted(admission, 0, flow(0))
        for number in range(90):
            key = flow(number, service=SCREENS)
            self.admitted(admission, 0, key, kind=STREAM)
            admission.accept(0, key)
        counts = {summary.connections for summary in admission.summaries(0)}
        self.assertEqual(counts, {30})

    def test_adopted_flows_count(self) -> None:
        """Guards against two requests in one slot after flows of another manager were adopted."""
        admission = self.shard(1)
        for number, phase in enumerate((Phase.ESTABLISHED, Phase.CANCELLED, Phase.OPENING)):
            record = FlowRecord(flow(number), TargetName("desk-1"), phase, 1, 2)
            admission.adopt(0, record, REQUEST)
            admission.adopt(0, record, REQUEST)
        self.assertEqual(self.busy(admission), {"desk-1": 3})
        self.assertIsInstance(self.offer(admission, 0, flow(9)), Enqueue)

    def test_hints_free_only_slots_of_adopted_requests(self) -> None:
        """Guards against an adopted slot that stays busy until its deadline.

        After a partition heals, the close of the request may have gone to another manager.
        """
        admission = self.shard(1)
        self.admitted(admission, 0, flow(0))
        admission.accept(0, flow(0))
        record = FlowRecord(flow(1), TargetName("desk-1"), Phase.ESTABLISHED, 1, 2)
        admission.adopt(0, record, REQUEST)
        for now_ms, busy in ((10, 2), (20, 1), (30, 1), (40, 1)):
            admission.report_load(now_ms, TargetName("desk-1"), 0, False)
            self.assertEqual(self.busy(admission), {"desk-1": busy})


class CancelTest(AdmissionCase):
    def cancelled(self):
        """Return a shard whose only slot is held by a cancelled request."""
        admission = self.shard(1, slots=1)
        self.admitted(admission, 0, flow(0))
        admission.accept(1, flow(0))
        self.assertEqual(admission.cancel(2, flow(0)), [])
        self.assertEqual(self.offer(admission, 3, flow(1)), Enqueue(flow(1)))
        return admission

    def test_cancelled_request_keeps_its_slot_until_the_target_ends_it(self) -> None:
        """Guards against a second request in a slot whose cancelled request is still running."""
        admission = self.cancelled()
        self.assertEqual(admission.tick(400), [])
        decisions = admission.release(500, flow(0), FlowEnd.RESET_BY_TARGET)
        self.assertEqual(self.only(decisions).flow, flow(1))

    def test_hint_frees_a_cancelled_slot_only_twice_in_a_row(self) -> None:
        """Guards against a load report from before the cancellation reached the target."""
        admission = self.cancelled()
        for now_ms, busy_slots in ((10, 0), (20, 1), (30, 0)):
            admission.report_load(now_ms, TargetName("desk-1"), busy_slots, False)
            self.assertEqual(admission.tick(now_ms), [])
        admission.report_load(40, TargetName("desk-1"), 0, False)
        self.assertEqual(self.only(admission.tick(40)).flow, flow(1))

    def test_time_limit_frees_a_cancelled_slot(self) -> None:
        """Guards against a slot that stays busy because the target's close packet was lost."""
        admission = self.cancelled()
        admission.tick(10_003)
        self.assertEqual(self.busy(admission), {"desk-1": 0})

    def test_overdue_request_is_freed_like_a_cancelled_one(self) -> None:
        """Guards against a slot that stays busy because the close went to another manager."""
        admission = self.shard(1, slots=1)
        self.admitted(admission, 0, flow(0))
        admission.accept(1, flow(0))
        for now_ms in range(20, 2001, 20):
            admission.tick(now_ms)
            self.assertEqual(self.busy(admission), {"desk-1": 1})
        for now_ms in (2010, 2020):
            admission.report_load(now_ms, TargetName("desk-1"), 0, False)
        self.assertEqual(self.busy(admission), {"desk-1": 0})

    def test_reused_key_does_not_free_the_slot_of_the_former_flow(self) -> None:
        """Guards against double use of a slot when a caller cancels and reopens from one port."""
        admission = self.cancelled()
        admission.cancel(4, flow(1))
        again = admission.offer(5, OpenRequest(flow(0), 2, REQUEST, False))
        self.assertEqual(again, Enqueue(flow(0)))
        admission.cancel(6, flow(0))
        self.assertEqual(self.busy(admission), {"desk-1": 1})


if __name__ == "__main__":
    unittest.main()
