"""Tests of the TCP state machine over a network that loses, duplicates and reorders segments."""

import heapq
import itertools
import random
import unittest

from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_standins.internal.segments import ACK, RST, SYN, Segment, decode, encode
from fuchsiaspread_standins.transport import (
    Abort,
    Close,
    Connect,
    Connection,
    Delivered,
    Finished,
    Opened,
    PeerClosed,
    Refused,
    SegmentReceived,
    State,
    TimerExpired,
    Transmit,
    WasReset,
    Write,
)
from hypothesis import given, settings
from hypothesis import strategies as st

CALLER, SERVICE = Endpoint("10.30.0.1", 4000), Endpoint("10.20.0.1", 7001)
CALLER_ISN, TARGET_ISN = 0xFFFFFFF0, 500
STEP_LIMIT = 20_000


class Pair:
    """Connect a caller and a target over a simulated network with seeded faults."""

    def __init__(self, seed, loss_probability, duplicate_probability, max_delay_ms):
        self.random = random.Random(seed)
        self.loss_probability, self.duplicate_probability, self.max_delay_ms = (
            loss_probability,
            duplicate_probability,
            max_delay_ms,
        )
        self.caller = Connection(CALLER, SERVICE, CALLER_ISN)
        self.target = Connection(SERVICE, CALLER, TARGET_ISN)
        self.received = {CALLER: bytearray(), SERVICE: bytearray()}
        self.seen = {CALLER: [], SERVICE: []}
        self.events, self.order, self.now_ms = [], itertools.count(), 0

    def handle_event(self, end, event):
        for output in end.handle(self.now_ms, event):
            match output:
                case Transmit(segment):
                    self.transmit(segment)
                case Delivered(data):
                    self.received[end.local] += data
                case _:
                    self.seen[end.local].append(output)

    def transmit(self, segment):
        copies = 1 + (self.random.random() < self.duplicate_probability)
        for _ in range(copies):
            if self.random.random() >= self.loss_probability:
                at_ms = self.now_ms + self.random.randint(0, self.max_delay_ms)
                heapq.heappush(self.events, (at_ms, next(self.order), encode(segment)))

    def run(self):
        for _ in range(STEP_LIMIT):
            ends = [end for end in (self.caller, self.target) if end.timer_ms is not None]
            timer_ms = min((end.timer_ms for end in ends), default=None)
            if self.events and (timer_ms is None or self.events[0][0] <= timer_ms):
                self.now_ms, _, packet = heapq.heappop(self.events)
                segment = decode(packet)
                end = self.target if segment.destination == SERVICE else self.caller
                self.handle_event(end, SegmentReceived(segment))
            elif timer_ms is not None:
                self.now_ms = timer_ms
                for end in ends:
                    self.handle_event(end, TimerExpired())
            else:
                return
            if PeerClosed() in self.seen[SERVICE] and self.target.state is State.CLOSE_WAIT:
                self.handle_event(self.target, Close())


class Delivery(unittest.TestCase):
    """Guards against a transport that loses, duplicates or reorders the data of a flow."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.integers(0, 2**16),
        st.floats(0, 0.2),
        st.floats(0, 0.4),
        st.integers(0, 120),
        st.binary(max_size=30_000),
    )
    def test_data_arrives_completely_and_in_order(
        self, seed, loss_probability, duplicate_probability, delay_ms, data
    ):
        pair = Pair(seed, loss_probability, duplicate_probability, delay_ms)
        pair.handle_event(pair.caller, Connect())
        pair.handle_event(pair.caller, Write(data))
        pair.handle_event(pair.target, Write(data[::-1]))
        pair.handle_event(pair.caller, Close())
        pair.run()
        self.assertEqual(data, bytes(pair.received[SERVICE]))
        self.assertEqual(data[::-1], bytes(pair.received[CALLER]))
        self.assertIn(Opened(), pair.seen[CALLER])
        self.assertEqual(State.CLOSED, pair.target.state)

    def test_both_ends_finish(self):
        pair = Pair(1, 0, 0, 5)
        pair.handle_event(pair.caller, Connect())
        pair.handle_event(pair.caller, Close())
        pair.run()
        self.assertEqual([Opened(), PeerClosed(), Finished()], pair.seen[CALLER])
        self.assertEqual([Opened(), PeerClosed(), Finished()], pair.seen[SERVICE])


class Resets(unittest.TestCase):
    """Guards against a caller that accepts a reset which does not belong to its connection."""

    def setUp(self):
        self.pair = Pair(1, 0, 0, 0)

    def open(self):
        self.pair.handle_event(self.pair.caller, Connect())
        self.pair.run()
        self.assertEqual(State.ESTABLISHED, self.pair.caller.state)

    def reset(self, sequence, ack_number=0, flags=RST):
        return SegmentReceived(Segment(SERVICE, CALLER, flags, sequence, ack_number))

    def test_a_reset_of_an_opening_flow_must_acknowledge_the_syn(self):
        caller = self.pair.caller
        caller.handle(0, Connect())
        self.assertEqual([], caller.handle(0, self.reset(0, CALLER_ISN + 2, RST | ACK)))
        self.assertEqual([], caller.handle(0, self.reset(0)))
        self.assertEqual(State.SYN_SENT, caller.state)
        answer = caller.handle(0, self.reset(0, CALLER_ISN + 1, RST | ACK))
        self.assertEqual([Refused()], answer)

    def test_a_refusal_after_the_handshake_is_ignored(self):
        self.open()
        late = self.reset(0, CALLER_ISN + 1, RST | ACK)
        self.assertEqual([], self.pair.caller.handle(0, late))
        self.assertEqual(State.ESTABLISHED, self.pair.caller.state)

    def test_a_reset_inside_the_window_is_challenged_and_an_exact_one_is_accepted(self):
        self.open()
        (challenge,) = self.pair.caller.handle(0, self.reset(TARGET_ISN + 9))
        self.assertEqual(ACK, challenge.segment.flags)
        answer = self.pair.caller.handle(0, self.reset(TARGET_ISN + 1))
        self.assertEqual([WasReset()], answer)

    def test_a_wrong_acknowledgement_in_syn_received_is_answered_with_a_reset(self):
        target = self.pair.target
        target.handle(0, SegmentReceived(Segment(CALLER, SERVICE, SYN, 10)))
        (answer,) = target.handle(0, SegmentReceived(Segment(CALLER, SERVICE, ACK, 11, 77)))
        self.assertEqual((RST, 77), (answer.segment.flags, answer.segment.sequence))
        self.assertEqual(State.SYN_RECEIVED, target.state)

    def test_an_aborted_flow_resets_its_peer(self):
        self.open()
        self.pair.handle_event(self.pair.caller, Abort())
        self.pair.run()
        self.assertEqual(WasReset(), self.pair.seen[SERVICE][-1])
