"""Run the tasks of a daemon until it is stopped."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

from .log import Level, Log

# A task may lose a cancellation to an event of the same moment, so it is cancelled again; a stop
# must end well before the platform kills the process.
CANCEL_TIMEOUT_S = 1.0
CANCEL_ATTEMPTS = 2


class Runnable(Protocol):
    """A task of a daemon that runs until it is cancelled."""

    async def run(self) -> None:
        """Run until cancelled."""


async def run_until_stopped(
    runnables: Sequence[Runnable], stop_requested: asyncio.Event, log: Log
) -> bool:
    """Run the tasks until a stop is requested or one of them ends; return False if one raised."""
    tasks = [
        asyncio.create_task(runnable.run(), name=type(runnable).__name__) for runnable in runnables
    ]
    waiting = asyncio.create_task(stop_requested.wait())
    try:
        # A failed task ends the daemon, which would otherwise look alive without that task.
        await asyncio.wait([waiting, *tasks], return_when=asyncio.FIRST_COMPLETED)
    finally:
        await _end_all((waiting, *tasks), log)
    ended = [task for task in tasks if task.done() and not task.cancelled()]
    failures = {task.get_name(): task.exception() for task in ended if task.exception() is not None}
    for name, error in failures.items():
        log.write(Level.ERROR, "task_failed", task=name, cause=repr(error))
    return not failures


async def _end_all(tasks: Sequence[asyncio.Task], log: Log) -> None:
    """Cancel tasks until they have ended; those that have not after a bounded time are left."""
    pending = set(tasks)
    for _ in range(CANCEL_ATTEMPTS):
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_TIMEOUT_S)
        if not pending:
            return
        for task in pending:
            log.write(Level.WARNING, "task_not_ended", task=task.get_name(), at=_place(task))


def _place(task: asyncio.Task) -> str:
    """Return the function and line at which a task waits."""
    frames = task.get_stack(limit=1)
    if not frames:
        return "unknown"
    return f"{frames[0].f_code.co_name}:{frames[0].f_lineno}"
