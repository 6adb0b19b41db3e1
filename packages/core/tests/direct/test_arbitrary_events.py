"""Arbitrary sequences of events: the direct core must not fail, and its counts must hold."""

import unittest
from collections.abc import Sequence

from fuchsiaspread_core.direct import (
    CheckOutcome,
    DirectEvent,
    FlowPacket,
    ForwardOpen,
    ForwardPacket,
    OpenPacket,
    ResetCaller,
    RoutesPublished,
    StopRequested,
    StoreReached,
    TargetChecked,
    TargetPhase,
    TargetPublished,
    TargetRemoved,
    TargetsListed,
    TargetWithdrawn,
    Tick,
)
from fuchsiaspread_core.direct.known_target import cookie_of
from fuchsiaspread_core.identifiers import (
    Endpoint,
    ServiceName,
    TargetName,
    address_key,
    address_of,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from .site import CARD_ADDRESS, DESK, FEED_ADDRESS, INSPECTION, Site, flow_of, routes, target

UNROUTED = ServiceName("unrouted")
UNKNOWN_ADDRESS = Endpoint("198.18.0.9", 9)
# Few targets and flows, so that the events meet.
NUMBERS = st.integers(1, 3)
NAMES = NUMBERS.map(lambda number: TargetName(f"i-{number:010x}"))
FLOWS = st.builds(
    flow_of, st.integers(1, 2), st.sampled_from((FEED_ADDRESS, CARD_ADDRESS, UNKNOWN_ADDRESS))
)
POSITIONS = st.sampled_from((0, 1, 2**31))
TARGETS = st.builds(
    target,
    NUMBERS,
    st.sampled_from((DESK, INSPECTION, UNROUTED)),
    phase=st.sampled_from((TargetPhase.READY, TargetPhase.DRAINING)),
    started_ms=st.integers(1, 3),
    endpoint=st.builds(Endpoint, st.just("10.128.0.1"), st.integers(1, 6)),
)
COOKIES = st.one_of(NAMES.map(cookie_of), st.sampled_from((0, 12_345)))
EVENTS = st.one_of(
    st.builds(OpenPacket, FLOWS, POSITIONS, st.integers(0, 3), st.sampled_from((b"a", b"b"))),
    st.builds(
        FlowPacket,
        FLOWS,
        COOKIES,
        POSITIONS,
        POSITIONS,
        st.sampled_from((0, 100)),
        st.booleans(),
        st.booleans(),
        st.just(b"packet"),
    ),
    st.builds(TargetPublished, TARGETS),
    st.builds(TargetRemoved, NAMES),
    st.builds(TargetWithdrawn, NAMES),
    st.builds(TargetsListed, st.lists(TARGETS, max_size=5).map(tuple), st.lists(NAMES, max_size=1)),
    st.builds(TargetChecked, NAMES, st.sampled_from(list(CheckOutcome))),
    st.builds(RoutesPublished, st.sampled_from((1, 2, 3)).map(routes)),
    st.builds(RoutesPublished, st.just(routes(4, without=["feed"]))),
    st.just(StoreReached(False)),
    st.just(StopRequested()),
    st.just(Tick()),
)
STEPS = st.lists(st.tuples(st.sampled_from((0, 60, 250, 2_500)), EVENTS), min_size=40, max_size=80)


class ArbitraryEventsTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(STEPS)
    def test_counts_and_destinations_hold(self, steps: Sequence[tuple[int, DirectEvent]]) -> None:
        """Guards against an event that ends the process, and against counts that drift."""
        site = Site(tuple(target(number) for number in range(1, 4)))
        for after_ms, event in steps:
            for effect in site.handle(event, after_ms):
                self._check(site, event, effect)
            for known in site.core.targets:
                busy = sum(flow.busy_since_ms is not None for flow in known.flows)
                self.assertEqual(known.busy_requests, busy)
                self.assertTrue(all(flow.target is known for flow in known.flows))
            records = sum(known.open_flows for known in site.core.targets)
            self.assertLessEqual(records, site.core.flow_count)

    def _check(self, site: Site, event: DirectEvent, effect: object) -> None:
        match effect:
            case ForwardOpen(target=name, endpoint=endpoint, cookie=cookie):
                known = site.core.targets.by_name(name)
                assert known is not None
                self.assertEqual(known.published.endpoint, endpoint)
                self.assertIs(site.core.targets.by_cookie(cookie), known)
                self.assertTrue(known.accepts_new_flows(site.now_ms))
                self.assertEqual(known.published.service, DESK)
            case ForwardPacket(target=name, endpoint=endpoint):
                known = site.core.targets.by_name(name)
                assert known is not None
                self.assertEqual(known.published.endpoint, endpoint)
            case ResetCaller(flow=flow) if not isinstance(event, OpenPacket):
                # Work that may not be repeated is never reset while its route exists.
                self.assertNotEqual(address_of(flow), address_key(CARD_ADDRESS))


if __name__ == "__main__":
    unittest.main()
