"""Tests of the count of broken flows."""

import unittest

from fuchsiaspread_bench.flows_kept import broken_flows
from fuchsiaspread_standins.in_memory.caller import FlowOutcome
from fuchsiaspread_standins.in_memory.site import ORDER_DESK, SCREENS, callers


class FlowsKeptTest(unittest.TestCase):
    def test_reset_and_unanswered_flows_count_as_broken(self) -> None:
        """Guards against a count of 0 only because the callers have not given up yet."""
        reset, unanswered, refused, whole = callers(4, SCREENS, ORDER_DESK, True, seed=1)
        reset.outcome = FlowOutcome.BROKEN
        unanswered.retries = 1
        refused.outcome = FlowOutcome.NOT_RUN
        found = broken_flows([reset, unanswered, refused, whole])
        self.assertEqual(found, {reset.flow, unanswered.flow, refused.flow})


if __name__ == "__main__":
    unittest.main()
