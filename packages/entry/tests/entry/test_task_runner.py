"""The end of a daemon's tasks."""

import asyncio
import unittest

from fuchsiaspread_entry.internal.log import Level, Log
from fuchsiaspread_entry.internal.task_runner import run_until_stopped

TEST_TIMEOUT_S = 20.0


class _Idle:
    async def run(self) -> None:
        await asyncio.Event().wait()


class _LosesOneCancellation:
    async def run(self) -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            await asyncio.Event().wait()


class _Failing:
    async def run(self) -> None:
        raise ValueError("defect")


class TaskRunnerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.lines: list[dict[str, object]] = []
        self.log = Log(Level.INFO, lambda: 0, lambda **fields: self.lines.append(fields))
        self.stopped = asyncio.Event()

    async def test_task_that_loses_a_cancellation_does_not_hold_up_the_stop(self) -> None:
        """Guards against a planned stop that never ends, until the process is killed."""
        self.stopped.set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            tasks = (_Idle(), _LosesOneCancellation())
            self.assertTrue(await run_until_stopped(tasks, self.stopped, self.log))
        (line,) = self.lines
        self.assertEqual(
            (line["message_type"], line["task"]), ("task_not_ended", "_LosesOneCancellation")
        )

    async def test_failed_task_ends_the_others_and_is_reported(self) -> None:
        """Guards against a daemon that goes on without one of its tasks, or fails silently."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            tasks = (_Idle(), _Failing())
            self.assertFalse(await run_until_stopped(tasks, self.stopped, self.log))
        (line,) = self.lines
        self.assertEqual((line["message_type"], line["task"]), ("task_failed", "_Failing"))


if __name__ == "__main__":
    unittest.main()
