"""Tests of the connections of a host."""

import unittest

from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_standins.internal.connections import Connections
from fuchsiaspread_standins.internal.segments import ACK, RST, SYN, Segment
from fuchsiaspread_standins.transport import Transmit

CALLER, SERVICE = Endpoint("10.30.0.1", 4000), Endpoint("10.20.0.1", 7001)


class UnknownConnections(unittest.TestCase):
    """Guards against wrong resets for unknown connections; flow recovery relies on resets."""

    def setUp(self):
        self.connections = Connections(1, lambda endpoint: endpoint == SERVICE)

    def test_a_segment_is_reset_with_its_ack_number_as_sequence(self):
        segment = Segment(CALLER, SERVICE, ACK, 10, 77, b"data")
        ((_, output),) = self.connections.receive(0, segment)
        self.assertEqual(Transmit(Segment(SERVICE, CALLER, RST, 77)), output)
        self.assertEqual(0, len(self.connections))

    def test_a_reset_is_not_answered(self):
        self.assertEqual([], self.connections.receive(0, Segment(CALLER, SERVICE, RST, 10)))

    def test_syn_to_an_address_of_another_host_is_reset(self):
        other = Endpoint("10.20.0.9", 7001)
        ((_, output),) = self.connections.receive(0, Segment(CALLER, other, SYN, 10))
        self.assertEqual(
            (RST | ACK, 0, 11),
            (
                output.segment.flags,
                output.segment.sequence,
                output.segment.ack_number,
            ),
        )
