"""Tests that a configuration is never reverted, for any order of parts and peers."""

import unittest

from fuchsiaspread_core.configuration import Configuration, Revision
from fuchsiaspread_core.control import PeerRevision
from fuchsiaspread_core.effects import FetchParts, Notify
from fuchsiaspread_core.events import PartPublished, PartsReceived, Tick
from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_core.notices import ConfigurationRefused, PartConflict
from fuchsiaspread_core.parts import Fault, InvalidConfiguration, Part, PartName
from fuchsiaspread_core.revisions import ApplyConfiguration, RevisionStore
from hypothesis import given
from hypothesis import strategies as st

from . import profile  # noqa: F401

PEERS = [EntryName(f"entry-{number}") for number in range(2, 6)]
FAULT = Fault("base", "services", "bad", "correct it")


def base(index: int, content: bytes = b"") -> Part:
    return Part(PartName.BASE, index, content or b"base %d" % index)


def overlay(index: int, content: bytes = b"") -> Part:
    return Part(PartName.OVERLAY, index, content or b"overlay %d" % index)


def compile_unless_bad(base: Part, overlay: Part) -> Configuration | InvalidConfiguration:
    revision = Revision(base.index, overlay.index)
    if b"bad" in base.content + overlay.content:
        return InvalidConfiguration(revision, (FAULT,))
    return Configuration("occidente", revision, ())


def compile_unless_sum_divides_by_three(base: Part, overlay: Part):
    """Refuse a third of the pairs, so that validity depends on both parts."""
    is_bad = (base.index + overlay.index) % 3 == 0
    return compile_unless_bad(Part(base.name, base.index, b"bad" if is_bad else b"good"), overlay)


def of_type(effects: list, kind: type) -> list:
    found = [one.notice if isinstance(one, Notify) else one for one in effects]
    return [one for one in found if isinstance(one, kind)]


class RevisionStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = RevisionStore(compile_unless_bad)
        self.store.handle(0, PartPublished(base(5)))
        self.store.handle(0, PartPublished(overlay(3)))

    def test_older_part_of_a_stale_platform_is_ignored(self) -> None:
        """Guards against reverting the configuration when the platform's answer is stale."""
        self.assertEqual(self.store.handle(1, PartPublished(base(4))), [])
        self.assertEqual(self.store.revision, Revision(5, 3))

    def test_invalid_pair_is_reported_once_and_the_last_good_one_stays(self) -> None:
        """Guards against an invalid file that takes a site down or floods the log."""
        first = self.store.handle(1, PartPublished(base(6, b"bad")))
        second = self.store.handle(2, PartPublished(base(6, b"bad")))
        peers = self.store.handle(3, PartsReceived(PEERS[0], (), (base(6, b"bad"), overlay(3))))
        refused = ConfigurationRefused(Revision(6, 3), (FAULT,))
        self.assertEqual(of_type(first + second + peers, ConfigurationRefused), [refused])
        self.assertEqual(self.store.revision, Revision(5, 3))
        self.assertEqual([part.index for part in self.store.newest_parts], [6, 3])
        self.assertIsNotNone(self.store.refused)
        self.store.handle(4, PartPublished(base(7)))
        self.assertEqual((self.store.revision, self.store.refused), (Revision(7, 3), None))

    def test_pair_in_force_at_a_peer_is_taken_while_the_newest_is_refused(self) -> None:
        """Guards against entry VMs that keep different last valid pairs in force."""
        self.store.handle(1, PartPublished(base(6, b"bad")))
        parts = PartsReceived(PEERS[0], (base(5), overlay(4)), (base(6, b"bad"), overlay(4)))
        effects = self.store.handle(2, parts)
        self.assertEqual(len(of_type(effects, ApplyConfiguration)), 1)
        self.assertEqual(self.store.revision, Revision(5, 4))
        self.assertEqual(self.store.newest_revision, Revision(6, 4))

    def test_same_index_with_other_content_is_kept_and_reported(self) -> None:
        """Guards against a faulty peer that replaces content without a new index."""
        parts = PartsReceived(PEERS[0], (base(5, b"other"), overlay(3)), ())
        effects = self.store.handle(1, parts) + self.store.handle(2, parts)
        expected = [PartConflict("base", 5, PEERS[0])]
        self.assertEqual(of_type(effects, PartConflict), expected)
        self.assertEqual(self.store.in_force_parts, (base(5), overlay(3)))

    def test_one_peer_is_fetched_from_at_a_time_with_bounded_retry(self) -> None:
        """Guards against fetching from every peer at once, and against unbounded retries."""
        asked = []
        for now_ms in range(0, 60_000, 50):
            for peer in PEERS:
                asked += self.store.handle(now_ms, PeerRevision(peer, Revision(6, 3)))
        fetches = of_type(asked, FetchParts)
        self.assertEqual({one.peer for one in fetches}, set(PEERS))
        self.assertEqual({one.peer for one in fetches[:4]}, set(PEERS))
        # Per peer, 60 s allow for 4 attempts with doubling pauses and then one every 8 s.
        self.assertLessEqual(len(fetches), len(PEERS) * 12)

    def test_peer_that_is_not_ahead_is_not_asked(self) -> None:
        """Guards against needless fetches when all have the same pair, or the same refused pair."""
        self.assertEqual(self.store.handle(1, PeerRevision(PEERS[0], Revision(5, 3))), [])
        self.store.handle(2, PartPublished(base(6, b"bad")))
        stated = PeerRevision(PEERS[0], Revision(5, 3), Revision(6, 3))
        self.assertEqual(self.store.handle(3, stated) + self.store.handle(4, Tick()), [])

    def test_lone_part_is_fetched_from_a_peer(self) -> None:
        """Guards against a cold start that hangs because each VM has read only one of the parts."""
        store = RevisionStore(compile_unless_bad)
        store.handle(0, PartPublished(base(5)))
        stated = PeerRevision(PEERS[0], Revision(0, 0), Revision(0, 3))
        self.assertEqual(store.handle(1, stated), [FetchParts(PEERS[0])])
        store.handle(2, PartsReceived(PEERS[0], (), (overlay(3),)))
        self.assertEqual(store.revision, Revision(5, 3))

    @given(st.lists(st.tuples(st.booleans(), st.integers(1, 9), st.integers(1, 9)), max_size=40))
    def test_no_order_of_parts_and_peers_reverts(self, steps: list[tuple[bool, int, int]]) -> None:
        """Guards against a revert by late, duplicated or reordered answers."""
        store = RevisionStore(compile_unless_sum_divides_by_three)
        before = store.revision
        for now_ms, (is_peer, first, second) in enumerate(steps):
            pair = (base(first), overlay(second))
            received = PartsReceived(PEERS[0], pair, ())
            event = received if is_peer else PartPublished(pair[first % 2])
            store.handle(now_ms, event)
            self.assertGreaterEqual(store.revision.base, before.base)
            self.assertGreaterEqual(store.revision.overlay, before.overlay)
            before = store.revision

    @given(st.permutations([base(1), base(2), base(3), overlay(1), overlay(2), overlay(4)]))
    def test_any_order_of_valid_parts_ends_with_the_newest_pair(self, parts: list[Part]) -> None:
        """Guards against entry VMs that stay different because parts arrived in another order."""
        store = RevisionStore(compile_unless_bad)
        for part in parts * 2:
            store.handle(0, PartPublished(part))
        self.assertEqual(store.revision, Revision(3, 4))

    @given(st.permutations([base(2), base(3), overlay(1), overlay(2, b"bad")]))
    def test_any_order_ends_with_the_good_part_beside_the_last_good_one(
        self, parts: list[Part]
    ) -> None:
        """Guards against a bad overlay that holds back a base that other sites already use."""
        store = RevisionStore(compile_unless_bad)
        for part in parts:
            store.handle(0, PartPublished(part))
        # A store that read the bad overlay first gets the last valid one from a peer.
        store.handle(1, PartsReceived(PEERS[0], (base(2), overlay(1)), ()))
        self.assertEqual(store.revision, Revision(3, 1))
        self.assertEqual(store.refused.revision, Revision(3, 2))


if __name__ == "__main__":
    unittest.main()
