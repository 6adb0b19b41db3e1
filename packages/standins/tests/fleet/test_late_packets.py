"""Guard light load on a machine whose processes get their turn late."""

import random
import unittest

from fuchsiaspread_standins.in_memory.fleet import Fleet
from fuchsiaspread_standins.in_memory.invariants import find_violations
from fuchsiaspread_standins.in_memory.site import (
    JOB_CARDS,
    ORDER_DESK,
    SCREENS,
    callers,
    start_site,
)

# Each hop between two processes is up to so late; an open and its answer take about six hops.
LATENESS_LIMIT_MS = 160
SEEDS = range(1, 6)
PAUSE_MS = (50, 500)
PAUSE_INTERVAL_MS = (600, 3_000)
PAUSED_SEEDS = range(1, 21)
KILL_AT_MS = 1_500


def load(fleet: Fleet, seed: int) -> None:
    """Open 60 requests and 60 streams within 3 s: a tenth of the site's slots."""
    requests = callers(60, JOB_CARDS, ORDER_DESK, False, seed=seed)
    streams = callers(60, SCREENS, ORDER_DESK, True, seed=seed + 100)
    for number, caller in enumerate([*requests, *streams]):
        fleet.call_later(50 * (number % 60), lambda caller=caller: fleet.add_caller(caller))


def pause_at_random(fleet: Fleet, name: str, rng: random.Random) -> None:
    """Let an entry VM stand still for up to half a second, again and again."""
    if name not in fleet.entries:
        return
    fleet.freeze_entry(name)
    fleet.call_later(rng.randint(*PAUSE_MS), lambda: resume(fleet, name))
    fleet.call_later(rng.randint(*PAUSE_INTERVAL_MS), lambda: pause_at_random(fleet, name, rng))


def disturb(fleet: Fleet, rng: random.Random) -> None:
    """Let each entry VM pause now and then, and kill one of them."""
    for name in sorted(fleet.entries):
        at_ms = rng.randint(1, PAUSE_INTERVAL_MS[1])
        fleet.call_later(at_ms, lambda name=name: pause_at_random(fleet, name, rng))
    killed = rng.choice(sorted(fleet.entries))
    fleet.call_later(KILL_AT_MS, lambda: fleet.kill_entry(killed))


def resume(fleet: Fleet, name: str) -> None:
    """Let a paused entry VM go on, unless it was killed meanwhile."""
    if name in fleet.entries:
        fleet.thaw_entry(name)


class LatePacketsTest(unittest.TestCase):
    def test_late_answers_are_no_silence(self) -> None:
        """Guards against targets that all count as silent since every answer takes long.

        Each then got one open at a time, and callers were refused for seconds.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                _, fleet = start_site(seed)
                fleet.max_jitter_ms = LATENESS_LIMIT_MS
                load(fleet, seed)
                fleet.run(9_000)
                self.assertEqual(fleet.notices["TargetEjected"], 0)
                self.assertEqual(fleet.notices["OpenRefused"], 0)
                self.assertEqual(find_violations(fleet).broken, 0)

    def test_pauses_of_entry_vms_refuse_nobody(self) -> None:
        """Guards against a late core task that takes unread answers for silence."""
        for seed in PAUSED_SEEDS:
            with self.subTest(seed=seed):
                _, fleet = start_site(seed)
                disturb(fleet, random.Random(seed))
                load(fleet, seed)
                fleet.run(9_000)
                self.assertEqual(fleet.notices["OpenRefused"], 0)
                self.assertEqual(find_violations(fleet).broken, 0)
