"""Run the tasks of a daemon until it is stopped."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

from .log import Level, Log


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
        for task in (waiting, *tasks):
            task.cancel()
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    failed = [outcome for outcome in outcomes if isinstance(outcome, Exception)]
    for task, outcome in zip(tasks, outcomes, strict=True):
        if isinstance(outcome, Exception):
            log.write(Level.ERROR, "task_failed", task=task.get_name(), cause=repr(outcome))
    return not failed
