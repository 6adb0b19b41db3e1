"""Tests of the ranks of entry VMs."""

import unittest

from fuchsiaspread_core.identifiers import Endpoint, EntryName, ServiceName, ZoneName
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.relay import ShardKey
from fuchsiaspread_core.routing import ManagerRanks
from hypothesis import given, settings
from hypothesis import strategies as st

ZONES = [ZoneName(f"zone-{letter}") for letter in "abc"]
SHARDS = [ShardKey(ServiceName(f"service-{n}"), zone) for n in range(8) for zone in ZONES]
NOWHERE = Endpoint("127.0.0.1", 1)
MEMBERS = st.dictionaries(st.integers(0, 9), st.sampled_from(ZONES), max_size=9)


def members(zones: dict[int, ZoneName]) -> tuple[Member, ...]:
    """Return members from a mapping of number to zone."""
    return tuple(
        Member(EntryName(f"entry-{number}"), zone, NOWHERE, NOWHERE)
        for number, zone in sorted(zones.items())
    )


class ManagerRanksTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.lists(MEMBERS, min_size=1, max_size=5))
    def test_kept_ranks_equal_new_ones(self, views: list[dict[int, ZoneName]]) -> None:
        """Guards against reused ranks by which entry VMs would choose different managers."""
        kept = ManagerRanks(())
        for view in views:
            kept = kept.with_members(members(view))
            fresh = ManagerRanks(members(view))
            self.assertEqual([kept.ranks(s) for s in SHARDS], [fresh.ranks(s) for s in SHARDS])

    def test_zone_without_entry_vm_is_managed_from_another_zone(self) -> None:
        """Guards against targets without a manager after all entry VMs of their zone are lost."""
        ranks = ManagerRanks(members({1: ZONES[0], 2: ZONES[0]}))
        self.assertEqual(len(ranks.ranks(ShardKey(ServiceName("s"), ZONES[2]))), 2)


if __name__ == "__main__":
    unittest.main()
