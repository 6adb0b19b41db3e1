"""Tests of the guard against acting on stale state after a pause of the process."""

import unittest

from fuchsiaspread_core.configuration import Revision
from fuchsiaspread_core.control import Probe, ProbeAnswer
from fuchsiaspread_core.effects import Notify
from fuchsiaspread_core.events import ControlReceived, Tick
from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_core.notices import ViewBecameFresh, ViewBecameStale
from fuchsiaspread_core.wakeup import GAP_LIMIT_MS, STALE_LIMIT_MS, WakeupGuard

from .virtual_fleet import fleet_of, name_of

PEER = EntryName("entry-2")
ANSWER = ControlReceived(PEER, ProbeAnswer(1, PEER, Revision(1, 1), ()))
PROBE = ControlReceived(PEER, Probe(1, Revision(1, 1), ()))


class WakeupGuardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.guard = WakeupGuard()
        self.guard.handle(0, Tick())

    def test_ticks_in_time_keep_the_view_fresh(self) -> None:
        """Guards against withholding opens when ticks are late on a busy machine."""
        self.assertEqual(self.guard.handle(GAP_LIMIT_MS, Tick()), [])
        self.assertFalse(self.guard.is_stale)

    def test_pause_makes_the_view_stale_until_a_peer_answers(self) -> None:
        """Guards against admitting opens for shards that another manager took over meanwhile."""
        self.assertEqual(self.guard.handle(10_000, Tick()), [Notify(ViewBecameStale(10_000))])
        self.assertTrue(self.guard.is_stale)
        self.assertEqual(self.guard.handle(10_200, ANSWER), [Notify(ViewBecameFresh(200))])
        self.assertFalse(self.guard.is_stale)

    def test_messages_from_before_the_pause_do_not_make_the_view_fresh(self) -> None:
        """Guards against messages that waited in socket buffers during the pause."""
        self.guard.handle(10_000, ANSWER)
        self.assertTrue(self.guard.is_stale)
        self.guard.handle(10_001, ANSWER)
        self.assertTrue(self.guard.is_stale)

    def test_probe_of_a_peer_is_no_answer(self) -> None:
        """Guards against a fresh view through a link that works in one direction only."""
        self.guard.handle(10_000, Tick())
        self.guard.handle(10_300, PROBE)
        self.assertTrue(self.guard.is_stale)

    def test_stale_view_ends_without_peer_and_platform(self) -> None:
        """Guards against an isolated entry VM that never serves its own zone again."""
        now_ms = 10_000
        self.guard.handle(now_ms, Tick())
        while now_ms < 10_000 + STALE_LIMIT_MS - 100:
            now_ms += 100
            self.guard.handle(now_ms, Tick())
            self.assertTrue(self.guard.is_stale)
        self.guard.handle(10_000 + STALE_LIMIT_MS, Tick())
        self.assertFalse(self.guard.is_stale)

    def test_answers_to_the_probes_after_a_pause_make_the_view_fresh(self) -> None:
        """Guards against probes sent so soon after a pause that their answers are ignored."""
        fleet = fleet_of(4)
        name = name_of(2)
        fleet.observers[name] = lambda event: self.guard.handle(fleet.now_ms, event)
        fleet.run(100)
        fleet.paused.add(name)
        fleet.run(10_000)
        fleet.paused.clear()
        fleet.run(50)
        self.assertTrue(self.guard.is_stale)
        fleet.run(300)
        self.assertFalse(self.guard.is_stale)


if __name__ == "__main__":
    unittest.main()
