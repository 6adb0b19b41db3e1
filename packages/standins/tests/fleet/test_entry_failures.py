"""Flows survive the loss, the pause and the partition of entry VMs."""

import unittest

from fuchsiaspread_core.configuration import TargetState
from fuchsiaspread_standins.in_memory.site import (
    INSPECTION,
    ORDER_DESK,
    SCREENS,
    ZONES,
    callers,
    entry_member,
)

from .fleet_case import FleetCase


def entry_name(number: int) -> str:
    """Return the name of an entry VM."""
    return entry_member(number).name


class EntryFailuresTest(FleetCase):
    def test_killed_entry_vm_breaks_no_flow(self) -> None:
        """Guards against broken flows whose record was held by the killed manager only."""
        for number in (1, 2, 3, 4):
            with self.subTest(killed=number):
                self.site, self.fleet = self.start(seed=number)
                self.fleet.kill_entry(entry_name(number))
                self.fleet.run(15_000)
                self.assert_invariants_hold()

    def test_two_entry_vms_killed_at_once_break_no_flow(self) -> None:
        """Guards against recovery that needs the backup, which may be killed with the manager."""
        for pair in ((1, 2), (1, 4), (2, 3)):
            with self.subTest(killed=pair):
                self.site, self.fleet = self.start(flow_lifetime_limit_ms=0)
                for number in pair:
                    self.fleet.kill_entry(entry_name(number))
                self.fleet.run(30_000)
                self.assert_invariants_hold()

    def test_flows_are_recovered_from_the_targets_when_every_record_is_lost(self) -> None:
        """Guards against resetting an established flow because the entry VM has lost its record.

        All entry VMs are replaced, so that only the targets still know the flows.
        """
        self.site, self.fleet = self.start(flow_lifetime_limit_ms=0)
        for number in (1, 2, 3, 4):
            self.fleet.kill_entry(entry_name(number))
        for number in (5, 6, 7, 8):
            self.fleet.add_entry(entry_member(number))
        self.fleet.run(30_000)
        self.assertGreater(self.fleet.notices["FlowRecovered"], 0)
        self.assert_invariants_hold()

    def test_flows_of_an_address_with_unknown_history_are_not_recovered(self) -> None:
        """Guards against recovery that sends packets to the targets of another service.

        An address moves to another service while all records are lost, so its former service is
        unknown to the new entry VMs.
        """
        for number in (1, 2, 3, 4):
            self.fleet.kill_entry(entry_name(number))
        moved = self.site.desk_addresses[0]
        self.site.desk_addresses = self.site.desk_addresses[1:]
        self.site.inspection_addresses = (*self.site.inspection_addresses, moved)
        self.site.publish(self.fleet)
        for number in (5, 6, 7, 8):
            self.fleet.add_entry(entry_member(number))
        self.fleet.run(10_000)
        wrong = sum(target.wrong_service_packets for target in self.fleet.targets.values())
        self.assertEqual(wrong, 0)
        self.assertEqual(self.fleet.notices["FlowRecovered"], 0)

    def test_entry_vm_killed_while_a_target_drains(self) -> None:
        """Guards against new flows for a draining target after its manager was killed."""
        self.site.change_desk_target("desk-1", state=TargetState.DRAINING)
        self.site.publish(self.fleet)
        self.fleet.kill_entry(entry_name(1))
        self.fleet.run(3000)
        drained = self.fleet.targets["127.0.2.1"]
        opens = drained.opens
        self.fleet.run(12_000)
        self.assertEqual(drained.opens, opens)
        self.assert_invariants_hold()

    def test_paused_entry_vm_resumes_with_a_stale_view(self) -> None:
        """Guards against decisions on a stale view.

        The entry VM is paused while an address moves to another service.
        """
        self.fleet.freeze_entry(entry_name(1))
        self.fleet.run(2500)
        moved = self.site.desk_addresses[0]
        self.site.desk_addresses = self.site.desk_addresses[1:]
        self.site.inspection_addresses = (*self.site.inspection_addresses, moved)
        self.site.publish(self.fleet)
        self.fleet.run(500)
        for caller in callers(100, SCREENS, INSPECTION, True, seed=9):
            self.fleet.add_caller(caller)
        self.fleet.run(2000)
        self.fleet.thaw_entry(entry_name(1))
        self.fleet.run(10_000)
        self.assert_invariants_hold()

    def test_partition_of_a_zone_and_its_healing(self) -> None:
        """Guards against broken or duplicate flows when each side elects its own managers."""
        far = {m.name for m in map(entry_member, (1, 2, 3, 4)) if m.zone == ZONES[1]}
        near = set(self.fleet.entries) - far
        far_hosts = {t.tunnel.host for t in self.site.desk_targets if t.zone == ZONES[1]}
        near_hosts = {t.tunnel.host for t in self.site.desk_targets if t.zone != ZONES[1]}
        self.fleet.cut(far, near | near_hosts)
        self.fleet.cut(near, far_hosts)
        for caller in callers(60, SCREENS, ORDER_DESK, True, seed=9):
            self.fleet.add_caller(caller)
        self.fleet.run(2500)
        self.fleet.cuts.clear()
        self.fleet.run(15_000)
        self.assertEqual(self.fleet.outcomes["broken"], 0)
        self.assert_invariants_hold()

    def test_configuration_reaches_entry_vms_at_different_times(self) -> None:
        """Guards against packets that reach another service while configurations differ."""
        self.fleet.freeze_entry(entry_name(2))
        moved = self.site.desk_addresses[0]
        self.site.desk_addresses = self.site.desk_addresses[1:]
        self.site.inspection_addresses = (*self.site.inspection_addresses, moved)
        self.site.publish(self.fleet)
        self.fleet.run(100)
        self.fleet.thaw_entry(entry_name(2))
        for caller in callers(100, SCREENS, INSPECTION, True, seed=9):
            self.fleet.add_caller(caller)
        self.fleet.run(10_000)
        self.assert_invariants_hold()


if __name__ == "__main__":
    unittest.main()
