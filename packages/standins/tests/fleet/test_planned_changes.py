"""Established flows survive planned changes."""

import unittest
from dataclasses import replace

from fuchsiaspread_core.configuration import ServiceAddress, StreamKind, TargetState
from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_standins.in_memory.site import (
    INSPECTION,
    JOB_CARDS,
    ORDER_DESK,
    SCREENS,
    callers,
    entry_member,
)
from fuchsiaspread_standins.in_memory.target import FleetTarget

from .fleet_case import FleetCase


class PlannedChangesTest(FleetCase):
    def test_drained_target_keeps_its_flows_and_gets_no_new_ones(self) -> None:
        """Guards against broken streams and against new work for a draining target."""
        drained = self.fleet.targets["127.0.2.1"]
        before = len(drained.connections)
        self.site.change_desk_target("desk-1", state=TargetState.DRAINING)
        self.site.publish(self.fleet)
        self.fleet.run(200)
        opens = drained.opens
        self.fleet.run(8000)
        self.assertEqual(drained.opens, opens)
        self.assertGreater(before, 0)
        self.assert_invariants_hold()

    def test_removed_target_keeps_its_flows(self) -> None:
        """Guards against breaking flows whose target was removed before they ended."""
        self.site.desk_targets = self.site.desk_targets[1:]
        self.site.publish(self.fleet)
        self.fleet.run(10_000)
        self.assert_invariants_hold()

    def test_flows_of_a_removed_target_outlive_every_entry_vm(self) -> None:
        """Guards against breaking flows at new entry VMs.

        The target was removed before they started, so they never had it in a configuration.
        """
        self.site.desk_targets = self.site.desk_targets[1:]
        self.site.publish(self.fleet)
        self.fleet.run(1000)
        for number in (1, 2, 3, 4):
            self.fleet.add_entry(entry_member(number + 4))
            self.fleet.run(2500)
            self.fleet.stop_entry(entry_member(number).name)
            self.fleet.run(4000)
        self.assertGreater(len(self.fleet.targets["127.0.2.1"].connections), 0)
        self.fleet.run(30_000)
        self.assert_invariants_hold()

    def test_added_target_and_changed_weights_move_no_flow(self) -> None:
        """Guards against losing the records of open flows when their home shards change."""
        added = replace(
            self.site.desk_targets[0], name="desk-8", tunnel=Endpoint("127.0.2.8", 6080)
        )
        self.fleet.targets["127.0.2.8"] = FleetTarget("desk-8", ORDER_DESK)
        self.site.desk_targets = (*self.site.desk_targets, added)
        self.site.publish(self.fleet)
        self.fleet.run(2000)
        self.site.change_desk_target("desk-2", weight=5)
        self.site.publish(self.fleet)
        self.fleet.run(8000)
        self.assert_invariants_hold()

    def test_every_entry_vm_is_replaced_one_after_another(self) -> None:
        """Guards against lost records in a handover and against breaking requests in flight."""
        for number in (1, 2, 3, 4):
            self.fleet.add_entry(entry_member(number + 4))
            self.fleet.run(2500)
            self.fleet.stop_entry(entry_member(number).name)
            self.fleet.run(4000)
        names = {entry_member(number).name for number in (5, 6, 7, 8)}
        self.assertEqual(set(self.fleet.entries), names)
        self.assert_invariants_hold()

    def test_new_manager_waits_for_records_before_it_assigns_slots(self) -> None:
        """Guards against overloaded targets.

        A new manager without records would count every slot as free.
        """
        for caller in callers(40, JOB_CARDS, ORDER_DESK, False, seed=8):
            self.fleet.add_caller(caller)
        for target in self.fleet.targets.values():
            target.request_ms = 4000
        self.fleet.run(300)
        for number in (5, 6, 7):
            self.fleet.add_entry(entry_member(number))
        for caller in callers(40, JOB_CARDS, ORDER_DESK, False, seed=11):
            self.fleet.add_caller(caller)
        self.fleet.run(2000)
        most = max(t.max_running for t in self.fleet.targets.values())
        self.assertLessEqual(most, 3)

    def test_moved_address_never_gets_the_old_service(self) -> None:
        """Guards against packets of old streams that reach the new service of their address."""
        moved = ServiceAddress(SCREENS, StreamKind(open_deadline_ms=5000))
        self.site.desk_addresses = self.site.desk_addresses[1:]
        self.site.inspection_addresses = (*self.site.inspection_addresses, moved)
        self.site.publish(self.fleet)
        self.fleet.run(100)
        for caller in callers(50, SCREENS, INSPECTION, True, seed=9):
            self.fleet.add_caller(caller)
        self.fleet.run(3000)
        self.fleet.kill_entry(entry_member(1).name)
        self.fleet.run(8000)
        self.assert_invariants_hold()

    def test_requests_are_answered_and_run_once(self) -> None:
        """Guards against lost or duplicate requests without any fault."""
        self.fleet.run(15_000)
        cards = [c for c in self.fleet.callers if not c.is_stream]
        self.assertEqual({c.outcome for c in cards}, {"answered"})
        self.assertEqual(JOB_CARDS.port, 7002)
        self.assert_invariants_hold()


if __name__ == "__main__":
    unittest.main()
