"""Planned stop of an entry VM that the fabric still sends packets to."""

import unittest

from fuchsiaspread_core.direct import EndProcess, StopRequested, Tick
from fuchsiaspread_core.direct.stop_drain import END_MARGIN_MS, MIN_DRAIN_MS, QUIET_MS

from .site import STOP_GRACE_MS, Site

TICK_MS = 200


class StopDrainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        self.opened = 0

    def _stop(self, packets_for_ms: int) -> int:
        """Request a stop while packets come for some time; return when the process ends."""
        self.site.handle(StopRequested())
        started_ms = self.site.now_ms
        for _ in range(2 * STOP_GRACE_MS // TICK_MS):
            if self.site.now_ms - started_ms < packets_for_ms:
                self.opened += 1
                self.site.open(self.opened)
            if self.site.handle(Tick(), TICK_MS) == [EndProcess()]:
                return self.site.now_ms - started_ms
        self.fail("the stop did not end")

    def test_vm_that_gets_no_packets_ends_once_the_fabric_has_removed_it(self) -> None:
        """Guards against a replacement that waits for nothing."""
        self.assertEqual(self._stop(packets_for_ms=0), MIN_DRAIN_MS)

    def test_vm_goes_on_while_packets_come(self) -> None:
        """Guards against packets to a process that has ended.

        Pattern: two of a zone's three VMs are restarted in turn. The fabric then uses all three,
        the stopping ones included, since fewer than half are ready.
        """
        ended_ms = self._stop(packets_for_ms=2_400)
        self.assertGreaterEqual(ended_ms, 2_200 + QUIET_MS)
        self.assertLess(ended_ms, 2_400 + QUIET_MS + TICK_MS)

    def test_stop_ends_before_the_process_is_killed(self) -> None:
        """Guards against a kill that cuts off the tasks' own end."""
        ended_ms = self._stop(packets_for_ms=2 * STOP_GRACE_MS)
        self.assertLessEqual(ended_ms, STOP_GRACE_MS - END_MARGIN_MS + TICK_MS)

    def test_second_request_does_not_extend_the_stop(self) -> None:
        """Guards against a stop that never ends because it is requested again and again."""
        self.site.handle(StopRequested())
        started_ms = self.site.now_ms
        while self.site.handle(Tick(), TICK_MS) != [EndProcess()]:
            self.site.handle(StopRequested())
            self.assertLess(self.site.now_ms - started_ms, STOP_GRACE_MS)
        self.assertEqual(self.site.now_ms - started_ms, MIN_DRAIN_MS)

    def test_open_that_comes_during_the_stop_is_forwarded(self) -> None:
        """Guards against callers that are cut off while the fabric still uses this VM."""
        self.site.handle(StopRequested())
        self.assertFalse(self.site.core.is_ready)
        self.assertTrue(self.site.open(1).endpoint)


if __name__ == "__main__":
    unittest.main()
