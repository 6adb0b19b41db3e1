"""Connection checks of targets, and resets of flows to unreachable ones."""

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
from fuchsiaspread_core.identifiers import Endpoint, TargetName

from .site import (
    CARD_ADDRESS,
    INSPECTION,
    SCAN_ADDRESS,
    Site,
    flow_packet,
    is_reset_of,
    open_packet,
    target,
)


class ReachabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        self.zones = {one.name: one.zone for one in self.site.targets}

    def _request(self, number: int, address: Endpoint | None = None) -> ForwardOpen:
        place = {} if address is None else {"address": address}
        placed = self.site.open(number, **place)
        self.site.answer(number, placed.cookie, **place)
        self.site.handle(flow_packet(number, placed.cookie, 1, 500, 100, **place))
        return placed

    def _fail(self, placed: ForwardOpen) -> None:
        self.site.handle(TargetChecked(placed.target, CheckOutcome.TIMED_OUT))

    def test_unanswered_opens_start_one_check(self) -> None:
        """Guards against one check for each of many opens that a target does not answer."""
        placed = self.site.open(1)
        self.site.handle(Tick(), 60)
        self.assertEqual(self.site.checked, [placed.target])
        self.site.handle(flow_packet(2, placed.cookie, 1, 500, 100), 10)
        self.site.handle(flow_packet(2, placed.cookie, 1, 500, 100), 200)
        self.assertEqual(self.site.checked.count(placed.target), 1)

    def test_retransmitted_request_to_a_silent_target_starts_a_check(self) -> None:
        """Guards against long-lived flows that wait for a dead target until they time out."""
        placed = self._request(1)
        self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self.assertEqual(self.site.checked, [placed.target])

    def test_slow_request_at_an_answering_target_starts_no_check(self) -> None:
        """Guards against checking a target because one request takes long."""
        placed = self._request(1)
        self.site.handle(flow_packet(2, placed.cookie, 1, 500, 100), 10)
        self.site.handle(flow_packet(2, placed.cookie, 101, 900), 50)
        self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 140)
        self.assertEqual(self.site.checked, [])

    def test_waiting_request_is_reset_when_the_target_cannot_be_reached(self) -> None:
        """Guards against waiting for a target behind a partition while others can serve."""
        placed = self._request(1)
        self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        effects = self.site.handle(TargetChecked(placed.target, CheckOutcome.TIMED_OUT), 250)
        self.assertTrue(is_reset_of(effects, 1))

    def test_next_request_on_a_flow_to_an_unreachable_target_is_reset_at_once(self) -> None:
        """Guards against forwarding further requests to a target known to be unreachable."""
        placed = self._request(1)
        self.site.handle(flow_packet(1, placed.cookie, 101, 900), 50)
        self.site.handle(Tick())
        self.site.handle(flow_packet(2, placed.cookie, 1, 500, 100))
        self.site.handle(flow_packet(2, placed.cookie, 1, 500, 100), 200)
        self._fail(placed)
        effects = self.site.handle(flow_packet(1, placed.cookie, 101, 900, 100), 50)
        self.assertTrue(is_reset_of(effects, 1))

    def test_flow_with_a_non_idempotent_request_is_not_reset(self) -> None:
        """Guards against aborting a job card that the target may still answer."""
        placed = self._request(1, CARD_ADDRESS)
        repeated = flow_packet(1, placed.cookie, 1, 500, 100, address=CARD_ADDRESS)
        self.site.handle(repeated, 200)
        effects = self.site.handle(TargetChecked(placed.target, CheckOutcome.TIMED_OUT), 250)
        self.assertEqual(effects, [])
        (forward,) = self.site.handle(repeated, 100)
        self.assertIsInstance(forward, ForwardPacket)

    def test_successful_check_resets_nothing(self) -> None:
        """Guards against resetting a flow whose target is alive."""
        placed = self._request(1)
        self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self.assertEqual(self.site.handle(TargetChecked(placed.target, CheckOutcome.CONNECTED)), [])
        (forward,) = self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 400)
        self.assertIsInstance(forward, ForwardPacket)

    def test_inconclusive_check_resets_nothing(self) -> None:
        """Guards against resets when a check timed out because this process was stalled."""
        placed = self._request(1)
        self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        effects = self.site.handle(TargetChecked(placed.target, CheckOutcome.INCONCLUSIVE))
        self.assertEqual(effects, [])

    def test_other_targets_of_the_zone_are_checked_too(self) -> None:
        """Guards against detecting a partition separately for each target."""
        placed = self.site.open(1)
        self.site.handle(Tick(), 60)
        self._fail(placed)
        checked = {self.zones[name] for name in self.site.checked}
        self.assertEqual(checked, {self.zones[placed.target]})
        same_zone = [name for name, zone in self.zones.items() if zone in checked]
        self.assertCountEqual(set(self.site.checked), same_zone)

    def test_one_target_of_a_zone_is_rechecked_for_all(self) -> None:
        """Guards against many connections during a partition, and against noticing its end late."""
        first = self.site.open(1)
        zone = self.zones[first.target]
        names = [name for name, other in self.zones.items() if other == zone]
        (retried,) = self.site.handle(Tick(), 60)
        assert isinstance(retried, ForwardOpen)
        self.site.answer(1, retried.cookie)
        for name in (first.target, *names):
            self.site.handle(TargetChecked(name, CheckOutcome.TIMED_OUT))
        self.site.checked.clear()
        for _ in range(3):
            self.site.handle(Tick(), 200)
        (probed,) = self.site.checked
        self.site.handle(TargetChecked(probed, CheckOutcome.CONNECTED))
        self.assertCountEqual(self.site.checked, names)

    def test_unreachable_targets_get_no_opens_and_are_rechecked(self) -> None:
        """Guards against sending opens to unreachable targets to detect the end of a partition."""
        placed = self.site.open(1)
        self.site.handle(Tick(), 60)
        self._fail(placed)
        used = {self.site.open(number).target for number in range(2, 30)}
        self.assertNotIn(placed.target, used)
        self.site.checked.clear()
        self.site.handle(Tick(), 400)
        self.site.handle(Tick(), 200)
        self.assertIn(placed.target, self.site.checked)
        self.site.handle(TargetChecked(placed.target, CheckOutcome.CONNECTED))
        self.site.handle(Tick(), 450)
        used = {self.site.open(number).target for number in range(30, 60)}
        self.assertIn(placed.target, used)

    def test_target_that_returns_after_its_entry_expired_is_rechecked(self) -> None:
        """Guards against endless resets after a partition that outlasted the target's store entry.

        Found by deploy/days/partition-with-reused-addresses on glenfixer-lb (rule FLOW).
        """
        placed = self._request(1)
        self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self._fail(placed)
        self.site.handle(TargetRemoved(placed.target))
        for _ in range(20):
            self.site.checked.clear()
            self.site.handle(Tick(), 200)
            for name in self.site.checked:
                self.site.handle(TargetChecked(name, CheckOutcome.TIMED_OUT))
        self.site.checked.clear()
        number = int(placed.target.removeprefix("i-"), 16)
        self.site.handle(TargetPublished(target(number)))
        for _ in range(10):
            self.site.handle(Tick(), 200)
        self.assertIn(placed.target, self.site.checked)
        self.site.handle(TargetChecked(placed.target, CheckOutcome.CONNECTED))
        (forward,) = self.site.handle(flow_packet(2, placed.cookie, 1, 500, 100))
        self.assertIsInstance(forward, ForwardPacket)

    def test_first_packet_of_an_unknown_flow_clears_no_suspect(self) -> None:
        """Guards against taking a packet of another entry VM's flow as the answer to an open."""
        placed = self.site.open(1)
        self.site.handle(Tick(), 60)
        self.site.handle(flow_packet(2, placed.cookie, 1, 500, 100))
        known = self.site.core.targets.by_name(placed.target)
        assert known is not None
        self.assertFalse(known.health.is_preferred(self.site.now_ms))

    def test_target_whose_address_was_reused_is_gone(self) -> None:
        """Guards against trusting a connection that a new host at the same address accepts."""
        placed = self._request(1)
        number = int(placed.target.removeprefix("i-"), 16)
        endpoint = target(number).endpoint
        reused = target(77, INSPECTION, endpoint=endpoint, started_ms=5_000)
        self.site.handle(TargetPublished(reused))
        self.site.answer(2, self._open_at(reused.name, SCAN_ADDRESS).cookie, SCAN_ADDRESS)
        effects = self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self.assertTrue(is_reset_of(effects, 1))
        opened = [self.site.open(number) for number in range(10, 40)]
        self.assertNotIn(placed.target, [one.target for one in opened])

    def test_entry_under_the_address_of_a_live_target_resets_nothing(self) -> None:
        """Guards against resets, and refused opens, because of an entry of another writer.

        Pattern: an inventory tool writes an entry of its own for each host of a service, with the
        service and the address of the host, a new id and the time of writing. Nothing answers to
        these ids; the hosts live, and one of them takes 500 ms for a request.
        """
        placed = self._request(1)
        for number, one in enumerate(self.site.targets):
            foreign = target(
                100 + number, one.service, endpoint=one.endpoint, zone=one.zone, started_ms=9_000
            )
            self.site.handle(TargetPublished(foreign))
        (forward,) = self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self.assertIsInstance(forward, ForwardPacket)
        live = {one.name for one in self.site.targets}
        # Each open is answered if it reaches a live target; the others get no answer.
        served = sum(self._is_served(10 + number, live) for number in range(40))
        self.assertGreaterEqual(served, 38)
        known = [self.site.core.targets.by_name(name) for name in live]
        self.assertTrue(all(not one.is_gone(self.site.now_ms) for one in known if one))

    def _is_served(self, number: int, live: set[TargetName]) -> bool:
        effects = self.site.handle(open_packet(number), 10)
        for _ in range(4):
            for effect in effects:
                if isinstance(effect, ForwardOpen) and effect.target in live:
                    self.site.answer(number, effect.cookie)
                    return True
            effects = self.site.handle(Tick(), 50)
        return False

    def _open_at(self, name: TargetName, address: Endpoint) -> ForwardOpen:
        """Open flows until one is placed at the given target."""
        return next(
            placed
            for number in range(2, 30)
            if (placed := self.site.open(number, address)).target == name
        )

    def test_targets_of_unknown_start_do_not_replace_each_other(self) -> None:
        """Guards against taking a live target as gone because of its place in a list."""
        site = Site((target(1, started_ms=0), target(2, started_ms=0, endpoint=target(1).endpoint)))
        for known in site.core.targets:
            self.assertFalse(known.is_gone(site.now_ms), known.name)

    def test_lost_check_outcome_leads_to_a_recheck(self) -> None:
        """Guards against a target that stays unreachable because one check outcome was dropped."""
        placed = self.site.open(1)
        self.site.handle(Tick(), 60)
        self._fail(placed)
        for _ in range(5):
            self.site.handle(Tick(), 200)
        self.site.checked.clear()
        for _ in range(25):
            self.site.handle(Tick(), 200)
        self.assertIn(placed.target, self.site.checked)


class TransitionsTest(unittest.TestCase):
    def test_each_state_can_be_left(self) -> None:
        """Guards against a target that stays unreachable for ever."""
        for state in ReachabilityState:
            ends = {end for (start, _), end in TRANSITIONS.items() if start is state}
            self.assertTrue(ends - {state}, state)

    def test_checks_start_only_on_entering_a_checking_state(self) -> None:
        """Guards against two concurrent checks of one target."""
        for event in ReachabilityEvent:
            for state in CHECKING_STATES:
                reachability = Reachability()
                reachability.state = state
                self.assertFalse(reachability.apply(10_000, event))
