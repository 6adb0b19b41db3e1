"""Calls to the store under a steady stream of changes, and while it fails."""

import unittest

from fuchsiaspread_core.direct.store_pacing import (
    INITIAL_BACKOFF_MS,
    MAX_BACKOFF_MS,
    MAX_PAUSE_MS,
    MIN_PAUSE_MS,
    StorePacing,
    pause_for,
)

ROLLING_RELEASE_MS = 60_000


class StorePacingTest(unittest.TestCase):
    def test_calls_do_not_grow_with_the_rate_of_changes(self) -> None:
        """Guards against calls of VMs times changes during a rolling release of many targets.

        Pattern: each replaced target changes its entry four to five times, so that a watch always
        has an answer at once.
        """
        for changes_per_s in (4, 40, 400):
            pacing, now_ms, calls = StorePacing(2_000), 0, 0
            while now_ms < ROLLING_RELEASE_MS:
                calls += 1
                now_ms += 1_000 // changes_per_s + pacing.after_answer(True, jitter=1.0)
            self.assertLessEqual(calls, ROLLING_RELEASE_MS // 1_500, changes_per_s)

    def test_change_after_a_quiet_time_is_not_delayed(self) -> None:
        """Guards against a pause after a watch that ended without changes."""
        self.assertEqual(StorePacing(2_000).after_answer(False, jitter=0.0), 0)

    def test_pause_leaves_time_for_a_failed_call(self) -> None:
        """Guards against a drain that takes effect after its bound because one call failed."""
        for bound_ms in (1_200, 3_000, 5_000, 6_000, 60_000):
            pacing = StorePacing(pause_for(bound_ms))
            delay_ms = pacing.after_answer(True, jitter=0.0) + pacing.after_failure(jitter=0.0)
            self.assertLess(delay_ms, bound_ms / 2, bound_ms)

    def test_pause_is_bounded(self) -> None:
        """Guards against calls without a pause, and against targets that stay unknown for long."""
        self.assertEqual(pause_for(0), MIN_PAUSE_MS)
        self.assertEqual(pause_for(60_000), MAX_PAUSE_MS)

    def test_fleet_woken_by_one_change_spreads_its_next_calls(self) -> None:
        """Guards against a burst of calls of all VMs at once after each change."""
        pauses = {StorePacing(2_000).after_answer(True, jitter / 10) for jitter in range(11)}
        self.assertEqual((len(pauses), max(pauses) - min(pauses)), (11, 500))

    def test_backoff_grows_to_its_limit_and_starts_again_after_an_answer(self) -> None:
        """Guards against a fleet that floods a failing store, or stays away from a repaired one."""
        pacing = StorePacing(1_000)
        delays = [pacing.after_failure(jitter=0.0) for _ in range(6)]
        self.assertEqual(delays[0], INITIAL_BACKOFF_MS)
        self.assertEqual(delays[-1], MAX_BACKOFF_MS)
        pacing.after_answer(False, jitter=0.0)
        self.assertEqual(pacing.after_failure(jitter=0.0), INITIAL_BACKOFF_MS)


if __name__ == "__main__":
    unittest.main()
