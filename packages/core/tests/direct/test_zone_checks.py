"""Checks of a zone's targets after one of them did not answer: a lost target, or a lost zone."""

import unittest
from dataclasses import replace

from fuchsiaspread_core.direct import (
    CheckOutcome,
    ForwardOpen,
    TargetChecked,
    TargetPhase,
    TargetPublished,
    Tick,
)
from fuchsiaspread_core.direct.flows import Flow, FlowPhase
from fuchsiaspread_core.direct.known_target import KnownTarget
from fuchsiaspread_core.direct.notices import ZoneReachabilityChanged
from fuchsiaspread_core.direct.zone_checks import (
    MAX_CHECKS_AFTER_ZONE_LOSS,
    SAMPLE_TARGETS,
    TRANSITIONS,
    ZoneChecks,
    ZoneEvent,
    ZonePhase,
)
from fuchsiaspread_core.identifiers import TargetName, ZoneName

from .site import Site, flow_of, flow_packet, is_reset_of, routes, target

ZONE_TARGETS = 30
DRAINING = TargetPhase.DRAINING
OTHER_ZONE = ZoneName("north")


class ZoneChecksTest(unittest.TestCase):
    def setUp(self) -> None:
        centre = [target(number, zone=ZoneName("centre")) for number in range(1, ZONE_TARGETS + 1)]
        north = [target(number, zone=OTHER_ZONE) for number in range(101, 101 + ZONE_TARGETS)]
        self.centre = {one.name for one in centre}
        self.site = Site((*centre, *north))
        self.opened = 0

    def _lose_one_target(self) -> TargetName:
        """Let the next open to a target in the centre go unanswered, and its check too."""
        while True:
            self.opened += 1
            placed = self.site.open(self.opened)
            if placed.target in self.centre:
                self.site.handle(Tick(), 60)
                self.site.checked.clear()
                self.site.handle(TargetChecked(placed.target, CheckOutcome.TIMED_OUT), 250)
                return placed.target
            self.site.answer(self.opened, placed.cookie)

    def _end_checks(self, outcome: CheckOutcome) -> set[TargetName]:
        """End all running checks and return the targets whose checks start thereby."""
        running, self.site.checked = self.site.checked, []
        for name in running:
            self.site.handle(TargetChecked(name, outcome))
        return set(self.site.checked)

    def test_one_lost_target_does_not_lead_to_checks_of_its_whole_zone(self) -> None:
        """Guards against connections of VMs times targets for each host that dies.

        Pattern: hosts die one by one, and each of a large fleet's VMs notices it by itself.
        """
        self._lose_one_target()
        self.assertEqual(len(self.site.checked), SAMPLE_TARGETS)
        self.assertLess(set(self.site.checked), self.centre)
        self.assertEqual(self._end_checks(CheckOutcome.CONNECTED), set())
        self.site.now_ms += 600
        self._lose_one_target()
        self.assertEqual(self.site.checked, [], "the zone has just been found to be reachable")

    def _lose_zone(self) -> set[TargetName]:
        """Let the sample fail too; return the targets that are checked thereby."""
        self._lose_one_target()
        return self._end_checks(CheckOutcome.TIMED_OUT)

    def _opened_targets(self) -> set[TargetName]:
        """Open and answer many flows; return the targets that they were sent to."""
        placed = set()
        for _ in range(2 * ZONE_TARGETS):
            self.opened += 1
            forward = self.site.open(self.opened)
            self.site.answer(self.opened, forward.cookie)
            placed.add(forward.target)
        return placed

    def _known(self, name: TargetName) -> KnownTarget:
        known = self.site.core.targets.by_name(name)
        assert known is not None
        return known

    def _open_flow_in_the_centre(self) -> ForwardOpen:
        while True:
            self.opened += 1
            placed = self.site.open(self.opened)
            self.site.answer(self.opened, placed.cookie)
            if placed.target in self.centre:
                return placed

    def test_targets_with_flows_are_checked_once_the_sample_fails(self) -> None:
        """Guards against a partition that each open flow has to find out for itself."""
        used = {self._open_flow_in_the_centre().target for _ in range(8)}
        self.site.now_ms += 1_000
        swept = self._lose_zone()
        self.assertGreater(len(swept), 0)
        self.assertLessEqual(swept, used)
        unreachable = {one for one in used if self._known(one).reachability.is_unreachable}
        self.assertEqual(swept | unreachable, used)
        self.assertEqual(self._end_checks(CheckOutcome.TIMED_OUT), set())

    def test_opens_avoid_a_lost_zone_without_a_check_of_each_target(self) -> None:
        """Guards against opens that each wait for one more unchecked target of a lost zone."""
        self._lose_zone()
        self.assertFalse(self._opened_targets() & self.centre)

    def test_loss_and_return_of_a_zone_are_reported_once(self) -> None:
        """Guards against a partition that operators have to guess from lines about targets."""
        self._lose_zone()
        zone = ZoneName("centre")
        lost, back = ZoneReachabilityChanged(zone, False), ZoneReachabilityChanged(zone, True)
        self.assertEqual(self.site.notices(Tick(), 200).count(lost), 1)
        self.assertNotIn(lost, self.site.notices(Tick(), 200))
        self._end_checks(CheckOutcome.CONNECTED)
        name = next(one for one in self.centre if self._known(one).reachability.is_unreachable)
        self.site.handle(TargetChecked(name, CheckOutcome.CONNECTED))
        self.assertEqual(self.site.notices(Tick(), 200).count(back), 1)

    def test_opens_use_a_lost_zone_when_nothing_else_is_left(self) -> None:
        """Guards against refused callers where only doubtful targets are left."""
        self._lose_zone()
        for known in list(self.site.core.targets):
            if known.published.zone == OTHER_ZONE:
                self.site.handle(TargetPublished(replace(known.published, phase=DRAINING)))
        self.opened += 1
        self.assertIn(self.site.open(self.opened).target, self.centre)

    def test_request_to_a_target_of_a_lost_zone_starts_its_check_at_once(self) -> None:
        """Guards against callers that wait for a retransmission before their target is checked."""
        self._lose_zone()
        untouched = next(
            one for one in self.centre if not self._known(one).reachability.is_unreachable
        )
        self.site.checked.clear()
        cookie = self._known(untouched).cookie
        self.site.handle(flow_packet(900, cookie, 1, 500, 100))
        self.assertEqual(self.site.checked, [untouched])
        (reset,) = self.site.handle(TargetChecked(untouched, CheckOutcome.TIMED_OUT), 250)
        self.assertTrue(is_reset_of([reset], 900))

    def test_dead_targets_alone_do_not_keep_their_zone_lost(self) -> None:
        """Guards against a zone that is avoided because a sample held dead targets only.

        Pattern: a part of the hosts of a zone dies while the others serve on.
        """
        self._lose_zone()
        self.site.checked.clear()
        self.site.handle(Tick(), 600)
        living = [
            one for one in self.site.checked if not self._known(one).reachability.is_unreachable
        ]
        self.assertEqual(len(living), 1, "one target that is not known to be dead is checked too")
        self.site.handle(TargetChecked(living[0], CheckOutcome.CONNECTED))
        self.assertTrue(self._opened_targets() & self.centre)

    def test_zone_that_answers_callers_is_not_sampled(self) -> None:
        """Guards against connections that prove what the callers' packets show already."""
        while True:
            self.opened += 1
            placed = self.site.open(self.opened)
            if placed.target in self.centre:
                break
            self.site.answer(self.opened, placed.cookie)
        self.site.handle(Tick(), 60)
        self.site.now_ms += 200
        self._open_flow_in_the_centre()
        self.site.checked.clear()
        self.site.handle(TargetChecked(placed.target, CheckOutcome.TIMED_OUT), 50)
        self.assertEqual(self.site.checked, [])

    def test_answer_ends_the_loss_of_a_zone(self) -> None:
        """Guards against a zone that is avoided while its targets answer."""
        placed = self._open_flow_in_the_centre()
        flow_number = self.opened
        self.site.now_ms += 1_000
        self._lose_zone()
        self.assertFalse(self._opened_targets() & self.centre)
        self.site.handle(flow_packet(flow_number, placed.cookie, 1, 900))
        self.assertTrue(self._opened_targets() & self.centre)

    def test_targets_with_waiting_requests_are_sampled_first(self) -> None:
        """Guards against requests that wait while idle targets are checked."""
        busy = self.site.core.targets.by_name(TargetName(f"i-{17:010x}"))
        assert busy is not None
        busy.busy_requests += 1
        lost = self._lose_one_target()
        self.assertNotEqual(lost, busy.name)
        self.assertIn(busy.name, self.site.checked)

    def test_sample_skips_targets_that_were_just_found_reachable(self) -> None:
        """Guards against a sample that never ends, since such a target is not checked again."""
        for known in self.site.core.targets:
            known.reachability.settled_ms = self.site.now_ms + 300
        self._lose_one_target()
        self.assertEqual(self.site.checked, [])
        self.site.now_ms += 1_000
        self._lose_one_target()
        self.assertEqual(len(self.site.checked), SAMPLE_TARGETS)

    def test_refused_connection_shows_that_the_zone_is_reachable(self) -> None:
        """Guards against taking a zone as lost where hosts have only stopped listening."""
        self._lose_one_target()
        self.assertEqual(self._end_checks(CheckOutcome.REFUSED), set())

    def test_check_that_says_nothing_ends_the_sample(self) -> None:
        """Guards against a whole zone that is checked because this process stood still."""
        self._lose_one_target()
        self.assertEqual(self._end_checks(CheckOutcome.INCONCLUSIVE), set())

    def test_second_partition_is_noticed_like_the_first(self) -> None:
        """Guards against a zone that is taken as known for good after one partition."""
        self._lose_one_target()
        self._end_checks(CheckOutcome.TIMED_OUT)
        self._end_checks(CheckOutcome.TIMED_OUT)
        for _ in range(10):
            self.site.handle(Tick(), 200)
        self._end_checks(CheckOutcome.CONNECTED)
        self._end_checks(CheckOutcome.CONNECTED)
        for _ in range(15):
            self.site.handle(Tick(), 200)
        self._lose_one_target()
        self.assertEqual(len(self.site.checked), SAMPLE_TARGETS)
        self._end_checks(CheckOutcome.TIMED_OUT)
        self.assertFalse(self._opened_targets() & self.centre)


class BoundTest(unittest.TestCase):
    def test_checks_of_a_lost_zone_do_not_grow_with_its_targets(self) -> None:
        """Guards against connections of VMs times targets in each partition of a zone.

        Pattern: a zone with thousands of hosts is cut off from a fleet of thousands of VMs.
        """
        feed = routes().routes[0]
        entry = target(1)
        known = [KnownTarget(entry, number, 0) for number in range(2_000)]
        for number, one in enumerate(known):
            one.published = replace(one.published, name=TargetName(f"i-{number:010x}"))
            Flow(flow_of(number), feed, 0, FlowPhase.OPEN).assign(one)
        checks = ZoneChecks()
        sample = checks.after_loss(5_000, known[0], known[1:])
        for lost in sample[:-1]:
            self.assertEqual(checks.after_loss(5_250, lost, known), [])
        swept = checks.after_loss(5_250, sample[-1], known)
        self.assertEqual(len(swept), MAX_CHECKS_AFTER_ZONE_LOSS)


class TransitionsTest(unittest.TestCase):
    def test_each_phase_is_left_when_the_zone_is_reachable(self) -> None:
        """Guards against a zone that stays under suspicion."""
        for phase in ZonePhase:
            self.assertIs(
                TRANSITIONS.get((phase, ZoneEvent.REACHABLE), phase), ZonePhase.CALM, phase
            )


if __name__ == "__main__":
    unittest.main()
