"""Run single tasks of the daemon and read what they send."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Protocol

from fuchsiaspread_core.events import Event
from fuchsiaspread_entry.internal.counts import Counts
from fuchsiaspread_entry.internal.mailboxes import Mailboxes
from fuchsiaspread_entry.internal.task_messages import (
    CountsReported,
    EventsReceived,
    PacketsReceived,
)

# Ends a test that waits for a message that never comes; no test depends on its length.
LIMIT_S = 20.0


class Runnable(Protocol):
    """A task of the daemon."""

    async def run(self) -> None:
        """Run until cancelled."""


@asynccontextmanager
async def running(*parts: Runnable) -> AsyncIterator[None]:
    """Run tasks while the context lasts."""
    tasks = [asyncio.create_task(part.run()) for part in parts]
    try:
        async with asyncio.timeout(LIMIT_S):
            yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def events_of(mailboxes: Mailboxes, count: int) -> list[Event]:
    """Return the next events that the core task is sent."""
    events: list[Event] = []
    while len(events) < count:
        for message in await mailboxes.core.take():
            if isinstance(message, PacketsReceived | EventsReceived):
                events += message.events
    return events


async def reported(mailboxes: Mailboxes) -> dict[str, int]:
    """Return the sums of all counts that the tasks reported, by metric and attribute values."""
    total = Counts()
    mailboxes.admin.put(CountsReported(Counts()))
    for message in await mailboxes.admin.take():
        if isinstance(message, CountsReported):
            total.update(message.counts)
    return {
        " ".join([key.metric, *(value for _, value in key.attributes)]): count
        for key, count in total.items()
    }
