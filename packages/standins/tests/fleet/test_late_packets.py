"""Guard light load on a machine whose processes get their turn late."""

import unittest

from fuchsiaspread_standins.in_memory.fleet import Fleet
from fuchsiaspread_standins.in_memory.invariants import examine
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


def load(fleet: Fleet, seed: int) -> None:
    """Open 60 requests and 60 streams within 3 s: a tenth of the site's slots."""
    requests = callers(60, JOB_CARDS, ORDER_DESK, False, seed=seed)
    streams = callers(60, SCREENS, ORDER_DESK, True, seed=seed + 100)
    for number, caller in enumerate([*requests, *streams]):
        fleet.at(50 * (number % 60), lambda caller=caller: fleet.add_caller(caller))


class LatePacketsTest(unittest.TestCase):
    def test_late_answers_are_no_silence(self) -> None:
        """Guards against targets that all count as silent since every answer takes long.

        Each then got one open at a time, and callers were refused for seconds.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                _, fleet = start_site(seed)
                fleet.lateness_limit_ms = LATENESS_LIMIT_MS
                load(fleet, seed)
                fleet.run(9_000)
                self.assertEqual(fleet.notices["TargetEjected"], 0)
                self.assertEqual(fleet.notices["OpenRefused"], 0)
                self.assertEqual(examine(fleet).broken, 0)
