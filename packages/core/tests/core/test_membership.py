"""Tests of failure detection, refutation, gossip and the platform's member list."""

import unittest
from dataclasses import replace

from fuchsiaspread_core.configuration import Revision
from fuchsiaspread_core.control import PeerRevision, Probe, ProbeAnswer
from fuchsiaspread_core.events import ControlReceived, MembersPublished, StopRequested
from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_core.internal.roster import UNLISTED_RETENTION_MS
from fuchsiaspread_core.internal.update_queue import MAX_UPDATES, UpdateQueue
from fuchsiaspread_core.members import MemberState
from hypothesis import given
from hypothesis import strategies as st

from . import profile  # noqa: F401
from .virtual_fleet import fleet_of, member, name_of

NOTICE_LIMIT_MS = 2500
FAULTS = ("pause", "resume", "isolate", "heal", "restart", "stale list")


def names(*numbers: int) -> list[EntryName]:
    return [name_of(number) for number in numbers]


class DetectionTest(unittest.TestCase):
    @given(st.integers(0, 40))
    def test_killed_member_is_noticed_by_all(self, killed_at: int) -> None:
        """Guards against opens that go to a dead manager for longer than the design allows."""
        fleet = fleet_of(4)
        fleet.run(50 * killed_at)
        fleet.paused.add(name_of(2))
        fleet.run(NOTICE_LIMIT_MS)
        self.assertEqual(fleet.views(1, 3, 4), [names(1, 3, 4)] * 3)

    def test_member_behind_a_cut_link_stays_live_through_indirect_probes(self) -> None:
        """Guards against declaring a member dead because of one broken link."""
        fleet = fleet_of(4)
        fleet.is_cut = lambda sender, receiver: {sender, receiver} == set(names(1, 2))
        fleet.run(20_000)
        self.assertEqual(fleet.views(), [names(1, 2, 3, 4)] * 4)

    def test_silence_for_less_than_the_suspicion_is_refuted(self) -> None:
        """Guards against a member that loses its shards after a short pause."""
        fleet = fleet_of(4)
        for _ in range(10):
            fleet.paused.add(name_of(2))
            fleet.run(450)
            fleet.paused.clear()
            fleet.run(1500)
            self.assertEqual(fleet.views(), [names(1, 2, 3, 4)] * 4)
        # Checks that the pauses did cause suspicions, and that they were refuted.
        self.assertGreater(fleet.memberships[name_of(2)].local_member.incarnation, 0)

    def test_paused_member_does_not_declare_others_dead(self) -> None:
        """Guards against a member that counts healthy peers as dead after its own pause."""
        fleet = fleet_of(4)
        fleet.paused.add(name_of(2))
        fleet.run(10_000)
        fleet.paused.clear()
        fleet.notices[name_of(2)].clear()
        fleet.run(5000)
        self.assertEqual(fleet.views(), [names(1, 2, 3, 4)] * 4)
        self.assertEqual(fleet.notices[name_of(2)], [])

    def test_partition_splits_the_view_and_heals(self) -> None:
        """Guards against two sides that never rejoin after the partition has healed."""
        fleet = fleet_of(4)
        far = set(names(3, 4))
        fleet.is_cut = lambda sender, receiver: (sender in far) != (receiver in far)
        fleet.run(10_000)
        self.assertEqual(fleet.views(), [names(1, 2)] * 2 + [names(3, 4)] * 2)
        fleet.is_cut = lambda sender, receiver: False
        fleet.run(5000)
        self.assertEqual(fleet.views(), [names(1, 2, 3, 4)] * 4)

    def test_replacement_with_the_same_name_rejoins(self) -> None:
        """Guards against a new process that others consider dead at a higher incarnation."""
        fleet = fleet_of(4)
        fleet.paused.add(name_of(2))
        fleet.run(5000)
        fleet.paused.clear()
        fleet.add(2, listed_numbers=range(1, 5))
        fleet.run(5000)
        self.assertEqual(fleet.views(), [names(1, 2, 3, 4)] * 4)

    def test_outdated_death_is_corrected_each_time(self) -> None:
        """Guards against a restarted member that considers another one dead forever."""
        fleet = fleet_of(2)
        stale = member(2, MemberState.DEAD)
        for _ in range(2):
            probe = Probe(1, Revision(0, 0), (stale,))
            fleet.sent[name_of(2)].clear()
            fleet.deliver(name_of(2), ControlReceived(name_of(1), probe))
            answer = fleet.sent[name_of(2)][0].message
            self.assertIn(replace(member(2), incarnation=1), answer.updates)
            fleet.run(5000)

    @given(st.lists(st.tuples(st.sampled_from(FAULTS), st.integers(1, 4)), max_size=12))
    def test_views_agree_after_any_faults(self, steps: list[tuple[str, int]]) -> None:
        """Guards against views that stay different after pauses, cuts, restarts or stale lists."""
        fleet = fleet_of(4)
        for kind, number in steps:
            name = name_of(number)
            match kind:
                case "pause":
                    fleet.paused.add(name)
                case "resume":
                    fleet.paused.discard(name)
                case "isolate":
                    fleet.is_cut = lambda sender, receiver, cut=name: cut in (sender, receiver)
                case "heal":
                    fleet.is_cut = lambda sender, receiver: False
                case "restart":
                    fleet.paused.discard(name)
                    fleet.add(number, listed_numbers=range(1, 5))
                case "stale list":
                    fleet.publish([one for one in range(1, 5) if one != number])
            fleet.run(1500)
        fleet.paused.clear()
        fleet.is_cut = lambda sender, receiver: False
        fleet.publish(range(1, 5))
        fleet.run(15_000)
        self.assertEqual(fleet.views(), [names(1, 2, 3, 4)] * 4)


class LeavingTest(unittest.TestCase):
    def test_stopping_member_leaves_every_view_and_still_answers(self) -> None:
        """Guards against new work for a member that is stopping."""
        fleet = fleet_of(4)
        fleet.deliver(name_of(2), StopRequested())
        fleet.run(500)
        self.assertEqual(fleet.views(), [names(1, 3, 4)] * 4)
        self.assertEqual([one.name for one in fleet.memberships[name_of(1)].leaving], names(2))
        fleet.paused.add(name_of(2))
        fleet.run(5000)
        self.assertEqual(fleet.memberships[name_of(1)].leaving, ())

    def test_restarted_member_leaves_although_others_hold_a_later_incarnation(self) -> None:
        """Guards against new work for a leaving member whose record looks outdated."""
        fleet = fleet_of(4)
        fleet.paused.add(name_of(2))
        fleet.run(5000)
        fleet.paused.clear()
        fleet.run(5000)
        fleet.add(2, listed_numbers=range(1, 5))
        fleet.deliver(name_of(2), StopRequested())
        fleet.run(5000)
        self.assertEqual(fleet.views(), [names(1, 3, 4)] * 4)

    def test_restarted_member_learns_who_is_leaving(self) -> None:
        """Guards against a new process that sends work to a member that left earlier."""
        fleet = fleet_of(4)
        fleet.deliver(name_of(2), StopRequested())
        fleet.run(20_000)
        fleet.add(3, listed_numbers=range(1, 5))
        fleet.run(5000)
        self.assertEqual(fleet.views(), [names(1, 3, 4)] * 4)

    def test_member_listed_as_leaving_counts_as_leaving(self) -> None:
        """Guards against new work for a member that the platform is about to remove."""
        fleet = fleet_of(4)
        fleet.publish([1, 3, 4], leaving=[2])
        fleet.run(2000)
        self.assertEqual(fleet.views(), [names(1, 3, 4)] * 4)
        fleet.publish([1, 2, 3, 4])
        self.assertEqual(fleet.views(), [names(1, 2, 3, 4)] * 4)


class ListTest(unittest.TestCase):
    def test_lagging_list_does_not_revive_a_dead_member(self) -> None:
        """Guards against treating a dead member as live because an old list contains it."""
        fleet = fleet_of(4)
        fleet.paused.add(name_of(2))
        fleet.run(5000)
        fleet.publish([1, 2, 3, 4])
        fleet.run(2000)
        self.assertEqual(fleet.views(1, 3, 4), [names(1, 3, 4)] * 3)

    def test_member_off_the_list_stays_for_a_bounded_time(self) -> None:
        """Guards against dropping a live member by a stale list, and against keeping it forever."""
        fleet = fleet_of(4)
        fleet.publish([1, 3, 4])
        fleet.run(UNLISTED_RETENTION_MS - 5000)
        self.assertEqual(fleet.views(1, 3, 4), [names(1, 2, 3, 4)] * 3)
        fleet.run(10_000)
        self.assertEqual(fleet.views(1, 3, 4), [names(1, 3, 4)] * 3)
        fleet.publish([1, 2, 3, 4])
        fleet.run(5000)
        self.assertEqual(fleet.views(), [names(1, 2, 3, 4)] * 4)

    def test_empty_list_changes_nothing(self) -> None:
        """Guards against members that forget all others because of a faulty platform."""
        fleet = fleet_of(4)
        fleet.publish([])
        fleet.run(UNLISTED_RETENTION_MS + 5000)
        self.assertEqual(fleet.views(), [names(1, 2, 3, 4)] * 4)

    def test_members_find_each_other_by_seeds_without_a_list(self) -> None:
        """Guards against separate groups after a cold start while the platform is down."""
        fleet = fleet_of(0)
        for number, seeds in ((1, [2]), (2, [1]), (3, [4, 1]), (4, [3])):
            fleet.add(number, seeds=seeds)
        fleet.run(10_000)
        self.assertEqual(fleet.views(), [names(1, 2, 3, 4)] * 4)

    def test_new_member_finds_all_others_through_one_seed(self) -> None:
        """Guards against a new VM that only ever knows its seed while the platform is down."""
        fleet = fleet_of(20)
        fleet.add(21, seeds=[7])
        fleet.run(20_000)
        self.assertEqual({len(view) for view in fleet.views()}, {21})


class MessageTest(unittest.TestCase):
    def test_cost_of_a_member_does_not_depend_on_the_fleet(self) -> None:
        """Guards against control traffic that grows with the fleet."""
        counts = []
        for size in (4, 32):
            fleet = fleet_of(size)
            fleet.run(10_000)
            counts.append(sum(len(sent) for sent in fleet.sent.values()) / size)
        self.assertAlmostEqual(counts[0], counts[1], delta=counts[0] * 0.1)

    def test_updates_of_a_message_are_bounded_when_many_die(self) -> None:
        """Guards against datagrams that grow with the number of failures."""
        fleet = fleet_of(32)
        fleet.run(20_000)  # Until all have exchanged messages, since first answers carry more.
        fleet.paused.update(names(*range(17, 33)))
        for sent in fleet.sent.values():
            sent.clear()
        fleet.run(15_000)
        sizes = [len(one.message.updates) for sent in fleet.sent.values() for one in sent]
        self.assertLessEqual(max(sizes), MAX_UPDATES)
        self.assertEqual(fleet.views(1, 16), [sorted(names(*range(1, 17)))] * 2)

    def test_update_is_sent_a_logarithmic_number_of_times(self) -> None:
        """Guards against changes that are gossiped forever."""
        for count, sends in ((3, 4), (255, 16)):
            queue = UpdateQueue()
            queue.add(name_of(1))
            taken = [queue.take(count, MAX_UPDATES) for _ in range(100)]
            self.assertEqual(sum(len(names) for names in taken), sends)

    def test_each_message_reports_the_revision_of_its_sender(self) -> None:
        """Guards against peers that are not informed of a newer configuration."""
        fleet = fleet_of(4)
        changed = fleet.memberships[name_of(3)]
        changed.revision, changed.newest_revision = Revision(7, 2), Revision(8, 2)
        fleet.peer_revisions.clear()
        fleet.run(150)
        stated = PeerRevision(name_of(3), Revision(7, 2), Revision(8, 2))
        receivers = {receiver for receiver, one in fleet.peer_revisions if one == stated}
        self.assertEqual(receivers, set(names(1, 2, 4)))

    def test_message_of_an_unknown_sender_without_its_record_is_ignored(self) -> None:
        """Guards against adding members without an address."""
        fleet = fleet_of(2)
        probe = Probe(1, Revision(0, 0), ())
        effects = fleet.memberships[name_of(1)].handle(
            fleet.now_ms, ControlReceived(EntryName("stranger"), probe)
        )
        self.assertEqual(effects, [])

    def test_late_answer_of_an_earlier_probe_does_not_answer_the_current_one(self) -> None:
        """Guards against counting a dead member as live because of an old answer."""
        fleet = fleet_of(2)
        fleet.paused.add(name_of(2))
        old = ProbeAnswer(1, name_of(2), Revision(0, 0), ())
        for _ in range(60):
            fleet.deliver(name_of(1), ControlReceived(name_of(2), old))
            fleet.run(50)
        self.assertEqual(fleet.views(1), [names(1)])
        self.assertEqual(fleet.memberships[name_of(1)].dead[0].state, MemberState.DEAD)

    def test_dead_member_gets_the_address_of_its_listed_replacement(self) -> None:
        """Guards against probing a replaced VM at its former address forever."""
        fleet = fleet_of(2)
        fleet.paused.add(name_of(2))
        fleet.run(5000)
        moved = member(9)
        record = type(moved)(name_of(2), moved.zone, moved.peer, moved.control)
        fleet.deliver(name_of(1), MembersPublished((member(1), record)))
        found = fleet.memberships[name_of(1)].find(name_of(2))
        self.assertEqual((found.peer, found.state), (moved.peer, MemberState.DEAD))


if __name__ == "__main__":
    unittest.main()
