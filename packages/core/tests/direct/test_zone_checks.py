"""Checks of a zone's targets after one of them did not answer: a lost target, or a lost zone."""

import unittest

from fuchsiaspread_core.direct import CheckOutcome, TargetChecked, Tick
from fuchsiaspread_core.direct.zone_checks import (
    SAMPLE_TARGETS,
    TRANSITIONS,
    ZoneEvent,
    ZonePhase,
)
from fuchsiaspread_core.identifiers import TargetName, ZoneName

from .site import Site, target

ZONE_TARGETS = 30
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

    def test_lost_zone_is_checked_whole_once_the_sample_fails(self) -> None:
        """Guards against a partition that each flow has to find out for itself."""
        lost = self._lose_one_target()
        sample = set(self.site.checked)
        swept = self._end_checks(CheckOutcome.TIMED_OUT)
        self.assertEqual(swept, self.centre - sample - {lost})
        self.assertEqual(self._end_checks(CheckOutcome.TIMED_OUT), set())

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
        self.assertEqual(
            len(self._end_checks(CheckOutcome.TIMED_OUT)), ZONE_TARGETS - SAMPLE_TARGETS - 1
        )


class TransitionsTest(unittest.TestCase):
    def test_each_phase_is_left_when_the_zone_is_reachable(self) -> None:
        """Guards against a zone that stays under suspicion."""
        for phase in ZonePhase:
            self.assertIs(
                TRANSITIONS.get((phase, ZoneEvent.REACHABLE), phase), ZonePhase.CALM, phase
            )


if __name__ == "__main__":
    unittest.main()
