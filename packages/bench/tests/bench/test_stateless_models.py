"""Tests of the baselines for kept flows."""

import unittest
from dataclasses import replace

from fuchsiaspread_bench.stateless_models import (
    lost_with_local_tables,
    moved_by_consistent_hash,
    moved_by_modulo,
)
from fuchsiaspread_core.configuration import TargetState
from fuchsiaspread_standins.in_memory.site import ORDER_DESK, SCREENS, Site, callers

TARGETS = Site().desk_targets
FLOWS = [caller.flow for caller in callers(700, SCREENS, ORDER_DESK, True, 1)]


class StatelessModelsTest(unittest.TestCase):
    def test_unchanged_targets_move_no_flow(self) -> None:
        """Guards against counting flows as moved although the targets are unchanged."""
        stages = [TARGETS, TARGETS]
        self.assertEqual(moved_by_modulo(FLOWS, stages), 0)
        self.assertEqual(moved_by_consistent_hash(FLOWS, stages), 0)

    def test_drained_target_moves_only_its_flows_under_consistent_hash(self) -> None:
        """Guards against a consistent hash baseline that moves more flows than necessary."""
        drained = (replace(TARGETS[0], state=TargetState.DRAINING), *TARGETS[1:])
        moved = moved_by_consistent_hash(FLOWS, [TARGETS, drained])
        self.assertAlmostEqual(moved / len(FLOWS), 1 / 7, delta=0.05)
        self.assertGreater(moved_by_modulo(FLOWS, [TARGETS, drained]), 4 * moved)

    def test_killed_entry_vm_loses_only_its_own_flows(self) -> None:
        """Guards against counting flows of entry VMs that are still alive."""
        entries = ["entry-1", "entry-2", "entry-3", "entry-4"]
        lost = lost_with_local_tables(FLOWS, entries, "entry-2", TARGETS)
        self.assertAlmostEqual(lost / len(FLOWS), 6 / 28, delta=0.06)


if __name__ == "__main__":
    unittest.main()
