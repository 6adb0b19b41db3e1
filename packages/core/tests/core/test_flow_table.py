"""Tests of the flow table's columns and its transition table."""

import unittest

from fuchsiaspread_core.flow_table import (
    TRANSITIONS,
    FlowRecord,
    FlowTable,
    Phase,
    Signal,
)
from fuchsiaspread_core.identifiers import Endpoint, TargetName, address_key, address_of, flow_key

CALLER = Endpoint("10.1.0.1", 40000)
SERVICE = Endpoint("10.20.0.1", 7001)
FLOW = flow_key(CALLER, SERVICE)


class FlowTableTest(unittest.TestCase):
    def test_record_comes_back_as_it_was_put(self) -> None:
        """Guards against values of a removed record in a row that is reused."""
        table = FlowTable()
        other = flow_key(Endpoint("10.1.0.2", 1), SERVICE)
        table.put(FlowRecord(other, TargetName("desk-1"), Phase.OPENING, 1, 2), now_ms=0)
        table.remove(other)
        record = FlowRecord(FLOW, TargetName("desk-2"), Phase.ACCEPTED, 3, 4)
        table.put(record, now_ms=0)
        self.assertEqual(table.record(FLOW), record)
        self.assertIsNone(table.record(other))

    def test_no_transition_leads_back_before_the_accept(self) -> None:
        """Guards against retrying or refusing work that a target may have run."""
        before = {Phase.QUEUED, Phase.SPILLED, Phase.OPENING, Phase.REFUSED}
        for (phase, signal), moved in TRANSITIONS.items():
            with self.subTest(phase=phase, signal=signal):
                self.assertFalse(phase not in before and moved in before)

    def test_address_of_a_flow_is_its_service_address(self) -> None:
        """Guards against routing by the wrong bytes of the flow key."""
        self.assertEqual(address_of(FLOW), address_key(SERVICE))
        self.assertEqual(TRANSITIONS[Phase.OPENING, Signal.ACCEPT], Phase.ACCEPTED)


if __name__ == "__main__":
    unittest.main()
