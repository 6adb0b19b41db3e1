"""Run single tasks of the daemon and read the messages that they send."""

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

# Ends a test whose expected message never arrives; no test depends on the length.
TEST_TIMEOUT_S = 20.0


class Runnable(Protocol):
    """A task of the daemon."""

    async def run(self) -> None:
        """Run until cancelled."""


@asynccontextmanager
async def running(*runnables: Runnable) -> AsyncIterator[None]:
    """Run tasks while the context lasts."""
    tasks = [asyncio.create_task(part.run()) for part in runnables]
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def next_events(mailboxes: Mailboxes, count: int) -> list[Event]:
    """Return at least `count` of the next events sent to the core task."""
    events: list[Event] = []
    while len(events) < count:
        for message in await mailboxes.core.take():
            if isinstance(message, PacketsReceived | EventsReceived):
                events += message.events
    return events


async def reported_counts(mailboxes: Mailboxes) -> dict[str, int]:
    """Return the sums of all counts reported so far, by metric and attribute values."""
    total = Counts()
    mailboxes.admin.put(CountsReported(Counts()))
    for message in await mailboxes.admin.take():
        if isinstance(message, CountsReported):
            total.update(message.counts)
    return {
        " ".join([key.metric, *(value for _, value in key.attributes)]): count
        for key, count in total.items()
    }
