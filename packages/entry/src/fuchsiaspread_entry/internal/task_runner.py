"""Running of a daemon's tasks until it is stopped."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

from .log import Level, Log


class Runnable(Protocol):
    """A part of a daemon that runs until it is cancelled."""

    async def run(self) -> None:
        """Run until cancelled."""


async def run_until_stopped(parts: Sequence[Runnable], stopped: asyncio.Event, log: Log) -> bool:
    """Run the parts until the event is set; return False when one failed instead."""
    tasks = [asyncio.create_task(part.run(), name=type(part).__name__) for part in parts]
    waiting = asyncio.create_task(stopped.wait())
    try:
        # A task that ends by an error ends the daemon: a part of it would only look alive.
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
