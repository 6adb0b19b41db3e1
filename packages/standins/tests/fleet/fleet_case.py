"""Shared fixture of the tests on a simulated fleet."""

import unittest

from fuchsiaspread_standins.in_memory.fleet import Fleet
from fuchsiaspread_standins.in_memory.invariants import Violations, find_violations
from fuchsiaspread_standins.in_memory.site import (
    JOB_CARDS,
    ORDER_DESK,
    SCREENS,
    Site,
    callers,
    start_site,
)

NO_VIOLATIONS = Violations(0, 0, 0, 0, 0)


class FleetCase(unittest.TestCase):
    """Start a site with open streams and a steady flow of requests."""

    stream_count = 200
    request_count = 200

    def setUp(self) -> None:
        self.site, self.fleet = self.start()

    def start(self, seed: int = 1, **options: int) -> tuple[Site, Fleet]:
        """Return a running site under load, 2 s after the load has begun."""
        site, fleet = start_site(seed, **options)
        for number, caller in enumerate(callers(self.stream_count, SCREENS, ORDER_DESK, True, 5)):
            fleet.call_later(number, lambda caller=caller: fleet.add_caller(caller))
        requests = callers(self.request_count, JOB_CARDS, ORDER_DESK, False, 6)
        for number, caller in enumerate(requests):
            fleet.call_later(50 * number, lambda caller=caller: fleet.add_caller(caller))
        fleet.run(2000)
        return site, fleet

    def assert_invariants_hold(self) -> None:
        """Assert that no invariant is violated and that no flow is still waiting for its target."""
        self.assertEqual(find_violations(self.fleet), NO_VIOLATIONS)
        unopened = [c for c in self.fleet.callers if c.target_token is None and not c.outcome]
        self.assertEqual(unopened, [])
