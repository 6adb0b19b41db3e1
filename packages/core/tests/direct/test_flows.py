"""Packets of open flows."""

import unittest

from fuchsiaspread_core.direct import (
    CheckOutcome,
    DirectCore,
    ForwardOpen,
    ForwardPacket,
    RoutesPublished,
    TargetChecked,
    TargetPublished,
    TargetRemoved,
    TargetsListed,
    Tick,
)
from fuchsiaspread_core.direct.dropped_routes import DroppedRoutes
from fuchsiaspread_core.direct.known_target import KnownTarget
from fuchsiaspread_core.direct.notices import PacketUnrouted, RequestUnanswered
from fuchsiaspread_core.identifiers import TargetName, address_key

from .site import (
    FEED_ADDRESS,
    FLOW_LIFETIME_MS,
    STOP_GRACE_MS,
    Site,
    flow_packet,
    is_reset_of,
    routes,
    target,
)

TIMED_OUT = CheckOutcome.TIMED_OUT
FORMER_SEQUENCE = 3_000_000_000


class FlowsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()

    def test_unknown_flow_is_routed_by_its_cookie(self) -> None:
        """Guards against broken flows when the fabric moves them to another entry VM."""
        other = Site()
        placed = self.site.open(1)
        (forward,) = other.handle(flow_packet(1, placed.cookie, data_bytes=10))
        assert isinstance(forward, ForwardPacket)
        self.assertEqual(forward.target, placed.target)

    def test_flow_of_a_removed_target_is_still_forwarded(self) -> None:
        """Guards against breaking the flows of a target whose store entry expired."""
        placed = self.site.open(1)
        self.site.answer(1, placed.cookie)
        self.site.handle(TargetRemoved(placed.target))
        (forward,) = self.site.handle(flow_packet(1, placed.cookie, data_bytes=10), 5_000)
        self.assertIsInstance(forward, ForwardPacket)

    def test_flow_of_a_removed_route_is_reset(self) -> None:
        """Guards against requests that reach a target after the operator removed the route."""
        placed = self.site.open(1)
        self.site.answer(1, placed.cookie)
        self.site.handle(RoutesPublished(routes(2, without=["feed"])))
        self.assertTrue(is_reset_of(self.site.handle(flow_packet(1, placed.cookie)), 1))

    def test_flow_on_a_route_that_is_not_known_yet_is_forwarded(self) -> None:
        """Guards against a reset by an entry VM whose configuration is older than the flow.

        Pattern: a rolling restart moves open flows to VMs that have not read the newest routes.
        """
        placed = self.site.open(1)
        behind = Site()
        behind.core = DirectCore(7, FLOW_LIFETIME_MS, STOP_GRACE_MS)
        behind.handle(RoutesPublished(routes(without=["feed"])))
        behind.handle(TargetsListed(behind.targets))
        request = flow_packet(1, placed.cookie, data_bytes=10)
        (forward,) = behind.handle(request)
        assert isinstance(forward, ForwardPacket)
        self.assertEqual(forward.target, placed.target)
        (unrouted,) = behind.notices(request)
        self.assertEqual(unrouted, PacketUnrouted(request.flow, placed.target, 1))
        behind.handle(RoutesPublished(routes(2)))
        behind.handle(request)
        self.assertEqual(behind.core.flow_count, 1)

    def test_route_is_dropped_until_a_version_has_it_again(self) -> None:
        """Guards against resets of flows that were opened after the route had come back."""
        placed = self.site.open(1)
        self.site.answer(1, placed.cookie)
        self.site.handle(RoutesPublished(routes(2, without=["feed"])))
        self.site.handle(RoutesPublished(routes(3, without=["card", "feed"])))
        packet = flow_packet(1, placed.cookie, data_bytes=10)
        self.assertTrue(is_reset_of(self.site.handle(packet), 1))
        self.site.handle(RoutesPublished(routes(4)))
        (forward,) = self.site.handle(packet)
        self.assertIsInstance(forward, ForwardPacket)

    def test_dropped_routes_are_forgotten_after_the_lifetime_of_a_flow(self) -> None:
        """Guards against memory that grows with each route that was ever dropped."""
        dropped = DroppedRoutes(FLOW_LIFETIME_MS)
        dropped.record_change(0, routes(), routes(2, without=["feed"]))
        feed = address_key(FEED_ADDRESS)
        for now_ms, is_kept in ((0, True), (FLOW_LIFETIME_MS, True), (FLOW_LIFETIME_MS + 1, False)):
            dropped.remove_expired(now_ms)
            self.assertEqual(feed in dropped, is_kept, now_ms)

    def test_packet_with_an_unknown_cookie_is_dropped(self) -> None:
        """Guards against forwarding a packet with a stale cookie to a host of another service."""
        self.assertEqual(self.site.handle(flow_packet(1, 12345, data_bytes=10)), [])

    def test_request_counts_until_its_answer_is_acknowledged(self) -> None:
        """Guards against request counts that drift up or below zero after retransmissions."""
        placed = self.site.open(1)
        self.site.answer(1, placed.cookie)
        known = self.site.core.targets.by_name(placed.target)
        assert known is not None
        self.assertEqual((known.busy_requests, known.open_flows), (0, 1))
        self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100))
        self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100))
        self.assertEqual(known.busy_requests, 1)
        self.site.handle(flow_packet(1, placed.cookie, 101, 900))
        self.assertEqual(known.busy_requests, 0)
        self.site.handle(flow_packet(1, placed.cookie, 101, 900, is_last=True))
        self.assertEqual((known.busy_requests, known.open_flows), (0, 0))

    def test_caller_that_closes_its_side_with_its_request_still_waits(self) -> None:
        """Guards against a busy target that counts as idle, and a false report of no answer."""
        placed = self.site.open(1)
        self.site.answer(1, placed.cookie)
        known = self.site.core.targets.by_name(placed.target)
        assert known is not None
        request = flow_packet(1, placed.cookie, 1, 500, 100, is_last=True)
        notices = self.site.notices(request)
        self.assertEqual([one for one in notices if isinstance(one, RequestUnanswered)], [])
        self.assertEqual(known.busy_requests, 1)
        self.site.handle(flow_packet(1, placed.cookie, 102, 900), 40)
        self.assertEqual(known.busy_requests, 0)

    def _reopen_elsewhere(self) -> tuple[ForwardOpen, ForwardOpen]:
        """End a flow and open one with the same key; return the opens at two targets."""
        former = self.site.open(1)
        self.site.answer(1, former.cookie)
        self.site.handle(flow_packet(1, former.cookie, FORMER_SEQUENCE, 600, is_reset=True))
        self._known(former.target).busy_requests = 1
        placed = self.site.open(1)
        self.assertNotEqual(placed.target, former.target)
        return former, placed

    def _known(self, name: TargetName) -> KnownTarget:
        known = self.site.core.targets.by_name(name)
        assert known is not None
        return known

    def test_late_packet_of_a_former_flow_does_not_touch_the_new_one(self) -> None:
        """Guards against a new flow that is judged by the target of a flow with the same key.

        Pattern: a caller uses a port again while a packet of its former flow is still on its way.
        """
        former, placed = self._reopen_elsewhere()
        (forward,) = self.site.handle(flow_packet(1, former.cookie, FORMER_SEQUENCE, 600, 100))
        assert isinstance(forward, ForwardPacket)
        self.assertEqual(forward.target, former.target)
        self.assertEqual(self._known(placed.target).open_flows, 1)
        self.assertEqual(self.site.handle(TargetChecked(former.target, TIMED_OUT)), [])
        self.site.answer(1, placed.cookie)
        self.assertEqual(self._known(placed.target).open_flows, 1)

    def test_open_that_another_entry_vm_placed_as_well_is_taken_as_answered(self) -> None:
        """Guards against a second connection for an open that one of its targets has answered.

        Pattern: the fabric sends a copy of an open to another entry VM than the first one.
        """
        other = Site()
        elsewhere = other.open(1)
        self._known(elsewhere.target).busy_requests = 1
        placed = self.site.open(1)
        self.assertNotEqual(placed.target, elsewhere.target)
        self.site.answer(1, elsewhere.cookie)
        self.assertEqual(self.site.handle(Tick(), 60), [])

    def test_late_reset_of_a_former_flow_does_not_end_the_new_one(self) -> None:
        """Guards against an open whose retries stop because its record was removed."""
        former, _ = self._reopen_elsewhere()
        self.site.handle(flow_packet(1, former.cookie, FORMER_SEQUENCE, 600, is_reset=True))
        retried = self.site.handle(Tick(), 60)
        self.assertEqual(len(retried), 1, "the unanswered open goes to another target")

    def test_target_that_answers_others_is_not_given_up(self) -> None:
        """Guards against work that runs twice because its target was only slow to report.

        Pattern: the entry of a living target expires, and one of its requests takes long.
        """
        placed = self.site.open(1)
        self.site.answer(1, placed.cookie)
        self.site.handle(TargetRemoved(placed.target))
        self.site.handle(flow_packet(2, placed.cookie, 1, 500, 100), 2_500)
        self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100))
        self.site.handle(flow_packet(2, placed.cookie, 101, 900), 50)
        (repeated,) = self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self.assertIsInstance(repeated, ForwardPacket)

    def test_sequence_numbers_wrap_around(self) -> None:
        """Guards against taking a new request for a retransmission when sequence numbers wrap."""
        placed = self.site.open(1)
        self.site.answer(1, placed.cookie)
        known = self.site.core.targets.by_name(placed.target)
        assert known is not None
        self.site.handle(flow_packet(1, placed.cookie, 2**32 - 50, 500))
        self.site.handle(flow_packet(1, placed.cookie, 2**32 - 50, 500, 100))
        self.assertEqual(known.busy_requests, 1)

    def test_idle_flows_are_removed(self) -> None:
        """Guards against flow records that accumulate for callers that disappeared."""
        self.site.answer(1, self.site.open(1).cookie)
        for _ in range(80):
            self.site.handle(Tick(), 200)
        self.assertEqual(self.site.core.flow_count, 0)
        self.assertEqual(sum(known.open_flows for known in self.site.core.targets), 0)

    def test_retransmitted_request_to_a_gone_target_is_reset(self) -> None:
        """Guards against callers of idempotent requests that wait for a removed target."""
        placed = self.site.open(1)
        self.site.answer(1, placed.cookie)
        self.site.handle(TargetRemoved(placed.target))
        self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 2_500)
        effects = self.site.handle(flow_packet(1, placed.cookie, 1, 500, 100), 200)
        self.assertTrue(is_reset_of(effects, 1))

    def test_restarted_target_is_no_longer_suspect(self) -> None:
        """Guards against avoiding a restarted target because its predecessor did not answer."""
        first = self.site.open(1)
        self.site.handle(Tick(), 60)
        number = int(first.target.removeprefix("i-"), 16)
        self.site.handle(TargetPublished(target(number, started_ms=99_000)))
        known = self.site.core.targets.by_name(first.target)
        assert known is not None
        self.assertTrue(known.health.is_preferred(self.site.now_ms))
