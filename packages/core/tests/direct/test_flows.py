"""Packets of open flows."""

import unittest

from fuchsiaspread_core.direct import (
    ForwardPacket,
    RoutesPublished,
    TargetPublished,
    TargetRemoved,
    Tick,
)

from .site import Site, flow_packet, is_reset_of, routes, target


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
