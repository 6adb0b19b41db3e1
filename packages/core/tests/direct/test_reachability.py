"""Targets that cannot be reached, and the flows that wait for them."""

import unittest

from fuchsiaspread_core.direct import (
    CheckOutcome,
    ForwardOpen,
    ForwardPacket,
    TargetChecked,
    TargetPublished,
    TargetRemoved,
    Tick,
)
from fuchsiaspread_core.direct.reachability import (
    CHECKING_STATES,
    TRANSITIONS,
    Reachability,
    ReachabilityEvent,
    ReachabilityState,
)
from fuchsiaspread_core.identifiers import Endpoint

from .site import CARD_ADDRESS, INSPECTION, Site, flow_packet, is_reset_of, target


class ReachTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        self.zones = {one.name: one.zone for one in self.site.targets}

    def _request(self, number: int, address: Endpoint | None = None) -> ForwardOpen:
        place = {} if address is None else {"address": address}
        placed = self.site.open(number, **place)
        self.site.answer(number, placed.cookie, **place)
        self.site.take(flow_packet(number, placed.cookie, 1, 500, 100, **place))
        return placed

    def _fail(self, placed: ForwardOpen) -> None:
        self.site.take(TargetChecked(placed.target, CheckOutcome.TIMED_OUT))

    def test_silent_open_starts_one_check(self) -> None:
        """Guards against a check for each of many opens that one target does not answer."""
        placed = self.site.open(1)
        self.site.take(Tick(), 60)
        self.assertEqual(self.site.checked, [placed.target])
        self.site.take(flow_packet(2, placed.cookie, 1, 500, 100), 10)
        self.site.take(flow_packet(2, placed.cookie, 1, 500, 100), 200)
        self.assertEqual(self.site.checked.count(placed.target), 1)

    def test_repeated_request_without_any_answer_starts_a_check(self) -> None:
        """Guards against long flows that wait for a dead target until their deadline."""
        placed = self._request(1)
        self.site.take(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self.assertEqual(self.site.checked, [placed.target])

    def test_slow_request_at_an_answering_target_starts_no_check(self) -> None:
        """Guards against checks for work that takes long."""
        placed = self._request(1)
        self.site.take(flow_packet(2, placed.cookie, 1, 500, 100), 10)
        self.site.take(flow_packet(2, placed.cookie, 101, 900), 50)
        self.site.take(flow_packet(1, placed.cookie, 1, 500, 100), 140)
        self.assertEqual(self.site.checked, [])

    def test_waiting_request_is_reset_when_the_target_cannot_be_reached(self) -> None:
        """Guards against callers that wait behind a partition although others could serve."""
        placed = self._request(1)
        self.site.take(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        effects = self.site.take(TargetChecked(placed.target, CheckOutcome.TIMED_OUT), 250)
        self.assertTrue(is_reset_of(effects, 1))

    def test_next_request_on_a_flow_to_an_unreachable_target_is_reset_at_once(self) -> None:
        """Guards against losing further requests to a target that is known to be away."""
        placed = self._request(1)
        self.site.take(flow_packet(1, placed.cookie, 101, 900), 50)
        self.site.take(Tick())
        self.site.take(flow_packet(2, placed.cookie, 1, 500, 100))
        self.site.take(flow_packet(2, placed.cookie, 1, 500, 100), 200)
        self._fail(placed)
        effects = self.site.take(flow_packet(1, placed.cookie, 101, 900, 100), 50)
        self.assertTrue(is_reset_of(effects, 1))

    def test_work_that_may_not_be_repeated_is_never_reset(self) -> None:
        """Guards against breaking off a job card that the target may still answer."""
        placed = self._request(1, CARD_ADDRESS)
        repeated = flow_packet(1, placed.cookie, 1, 500, 100, address=CARD_ADDRESS)
        self.site.take(repeated, 200)
        effects = self.site.take(TargetChecked(placed.target, CheckOutcome.TIMED_OUT), 250)
        self.assertEqual(effects, [])
        (forward,) = self.site.take(repeated, 100)
        self.assertIsInstance(forward, ForwardPacket)

    def test_connected_check_resets_nothing(self) -> None:
        """Guards against a reset of a flow whose target lives."""
        placed = self._request(1)
        self.site.take(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self.assertEqual(self.site.take(TargetChecked(placed.target, CheckOutcome.CONNECTED)), [])
        (forward,) = self.site.take(flow_packet(1, placed.cookie, 1, 500, 100), 400)
        self.assertIsInstance(forward, ForwardPacket)

    def test_outcome_after_a_pause_of_this_process_proves_nothing(self) -> None:
        """Guards against resets because this VM stood still."""
        placed = self._request(1)
        self.site.take(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        effects = self.site.take(TargetChecked(placed.target, CheckOutcome.INCONCLUSIVE))
        self.assertEqual(effects, [])

    def test_other_targets_of_the_zone_are_checked_too(self) -> None:
        """Guards against finding out about a partition one target after another."""
        placed = self.site.open(1)
        self.site.take(Tick(), 60)
        self._fail(placed)
        checked = {self.zones[name] for name in self.site.checked}
        self.assertEqual(checked, {self.zones[placed.target]})
        same_zone = [name for name, zone in self.zones.items() if zone in checked]
        self.assertCountEqual(set(self.site.checked), same_zone)

    def test_one_target_of_a_zone_is_checked_for_all(self) -> None:
        """Guards against many connections during a partition, and against a late end of it."""
        first = self.site.open(1)
        zone = self.zones[first.target]
        names = [name for name, other in self.zones.items() if other == zone]
        (retried,) = self.site.take(Tick(), 60)
        assert isinstance(retried, ForwardOpen)
        self.site.answer(1, retried.cookie)
        for name in (first.target, *names):
            self.site.take(TargetChecked(name, CheckOutcome.TIMED_OUT))
        self.site.checked.clear()
        for _ in range(3):
            self.site.take(Tick(), 200)
        (probed,) = self.site.checked
        self.site.take(TargetChecked(probed, CheckOutcome.CONNECTED))
        self.assertCountEqual(self.site.checked, names)

    def test_unreachable_targets_get_no_opens_and_are_checked_again(self) -> None:
        """Guards against opens that find out about the end of a partition."""
        placed = self.site.open(1)
        self.site.take(Tick(), 60)
        self._fail(placed)
        used = {self.site.open(number).target for number in range(2, 30)}
        self.assertNotIn(placed.target, used)
        self.site.checked.clear()
        self.site.take(Tick(), 400)
        self.site.take(Tick(), 200)
        self.assertIn(placed.target, self.site.checked)
        self.site.take(TargetChecked(placed.target, CheckOutcome.CONNECTED))
        self.site.take(Tick(), 450)
        used = {self.site.open(number).target for number in range(30, 60)}
        self.assertIn(placed.target, used)

    def test_target_that_comes_back_after_its_entry_lapsed_is_checked_again(self) -> None:
        """Guards against resets for ever after a partition that outlasted the target's entry.

        Found by deploy/days/partition-with-reused-addresses on glenfixer-lb (rule FLOW).
        """
        placed = self._request(1)
        self.site.take(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self._fail(placed)
        self.site.take(TargetRemoved(placed.target))
        for _ in range(20):
            self.site.checked.clear()
            self.site.take(Tick(), 200)
            for name in self.site.checked:
                self.site.take(TargetChecked(name, CheckOutcome.TIMED_OUT))
        self.site.checked.clear()
        number = int(placed.target.removeprefix("i-"), 16)
        self.site.take(TargetPublished(target(number)))
        for _ in range(10):
            self.site.take(Tick(), 200)
        self.assertIn(placed.target, self.site.checked)
        self.site.take(TargetChecked(placed.target, CheckOutcome.CONNECTED))
        (forward,) = self.site.take(flow_packet(2, placed.cookie, 1, 500, 100))
        self.assertIsInstance(forward, ForwardPacket)

    def test_first_packet_of_a_foreign_flow_clears_no_suspicion(self) -> None:
        """Guards against taking a packet that another entry VM's flow brought for an answer."""
        placed = self.site.open(1)
        self.site.take(Tick(), 60)
        self.site.take(flow_packet(2, placed.cookie, 1, 500, 100))
        known = self.site.core.targets.by_name(placed.target)
        assert known is not None
        self.assertFalse(known.health.is_preferred(self.site.now_ms))

    def test_target_whose_address_has_a_new_owner_is_gone(self) -> None:
        """Guards against trusting a connection that another host at the address accepts."""
        placed = self._request(1)
        number = int(placed.target.removeprefix("i-"), 16)
        endpoint = target(number).endpoint
        self.site.take(TargetPublished(target(77, INSPECTION, endpoint=endpoint, started_ms=5_000)))
        effects = self.site.take(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self.assertTrue(is_reset_of(effects, 1))

    def test_targets_of_unknown_start_do_not_replace_each_other(self) -> None:
        """Guards against taking a living target for gone by the order of a list."""
        site = Site((target(1, started_ms=0), target(2, started_ms=0, endpoint=target(1).endpoint)))
        for known in site.core.targets:
            self.assertFalse(known.is_gone(site.now_ms), known.name)

    def test_lost_outcome_of_a_check_is_not_waited_for(self) -> None:
        """Guards against a target that stays out of reach since one outcome was dropped."""
        placed = self.site.open(1)
        self.site.take(Tick(), 60)
        self._fail(placed)
        for _ in range(5):
            self.site.take(Tick(), 200)
        self.site.checked.clear()
        for _ in range(25):
            self.site.take(Tick(), 200)
        self.assertIn(placed.target, self.site.checked)


class TransitionsTest(unittest.TestCase):
    def test_each_state_is_left_again(self) -> None:
        """Guards against a target that stays away for ever."""
        for state in ReachabilityState:
            ends = {end for (start, _), end in TRANSITIONS.items() if start is state}
            self.assertTrue(ends - {state}, state)

    def test_checks_start_only_on_entering_a_checking_state(self) -> None:
        """Guards against two checks of one target at a time."""
        for sign in ReachabilityEvent:
            for state in CHECKING_STATES:
                reach = Reachability()
                reach.state = state
                self.assertFalse(reach.apply(10_000, sign))
