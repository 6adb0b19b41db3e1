"""Tests of the request server of a target host."""

import unittest

from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_standins.internal.messages import Request, encode_message
from fuchsiaspread_standins.internal.segments import ACK, SYN, Segment
from fuchsiaspread_standins.internal.serving import Drain, Restart, TargetServer

CALLER, SERVICE = Endpoint("10.30.0.1", 4000), Endpoint("10.20.0.1", 7001)


class Counts(unittest.TestCase):
    """Guards against a target whose report differs from the work that it received."""

    def setUp(self):
        self.server = TargetServer("desk-1", frozenset({SERVICE}), 1, seed=1)

    def open(self, now_ms, caller=CALLER):
        self.server.receive(now_ms, Segment(caller, SERVICE, SYN, 10))
        target_sequence = self.server.sent[-1].sequence
        return Segment(caller, SERVICE, ACK, 11, target_sequence + 1)

    def test_time_of_new_work_is_that_of_the_syn_and_not_of_the_handshake_end(self):
        acknowledgement = self.open(100)
        self.server.receive(900, acknowledgement)
        self.server.receive(950, Segment(CALLER, SERVICE, SYN, 10))
        report = self.server.report()
        self.assertEqual((100, 1), (report.last_open_ms, report.open_count))

    def test_requests_beyond_the_slots_wait(self):
        for port in (1, 2):
            caller = Endpoint(CALLER.host, port)
            established = self.open(0, caller)
            body = encode_message(Request(f"r{port}", 50, 8, False, ""))
            flags, sequence = established.flags, established.sequence
            ack_number = established.ack_number
            self.server.receive(0, Segment(caller, SERVICE, flags, sequence, ack_number, body))
        self.assertEqual({"r1": 1}, dict(self.server.report().executed))
        self.server.handle_timers(50)
        self.assertEqual({"r1": 1, "r2": 1}, dict(self.server.report().executed))

    def test_a_packet_for_another_service_is_counted(self):
        other = Endpoint("10.20.0.2", 7003)
        self.server.receive(0, Segment(CALLER, other, ACK, 1, 1))
        self.assertEqual(1, self.server.report().wrong_service_count)

    def test_a_draining_or_restarted_target_resets_unknown_flows(self):
        acknowledgement = self.open(0)
        self.server.set_behaviour(Restart())
        self.server.receive(1, acknowledgement)
        self.assertEqual(acknowledgement.ack_number, self.server.sent[-1].sequence)
        self.server.set_behaviour(Drain())
        self.server.receive(2, Segment(CALLER, SERVICE, SYN, 10))
        self.assertEqual(0, self.server.report().open_count)
