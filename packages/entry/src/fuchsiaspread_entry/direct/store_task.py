"""Task that follows the store's keys and hands changes to the core task."""

import asyncio
from collections.abc import Sequence
from random import Random
from typing import assert_never

from fuchsiaspread_core.direct import StoreReached

from ..internal.log import Level, Log
from .messages import DirectMailboxes, EventsReceived
from .published_store import HistoryLost, Published, PublishedKeys, StoreFailed

FIRST_BACK_OFF_S = 0.1
# Short enough to have a change in force soon after an outage, and a bound on refused calls.
MAX_BACK_OFF_S = 1.0


class StoreTask:
    """Keep one watch on each group of keys."""

    def __init__(
        self, groups: Sequence[PublishedKeys], seed: int, mailboxes: DirectMailboxes, log: Log
    ) -> None:
        self._groups = groups
        self._random = Random(seed)
        self._core = mailboxes.core
        self._log = log
        self._failed: set[str] = set()

    async def run(self) -> None:
        """Follow all groups until cancelled."""
        async with asyncio.TaskGroup() as follows:
            for group in self._groups:
                follows.create_task(self._follow(group))

    async def _follow(self, group: PublishedKeys) -> None:
        revision: int | None = None
        back_off_s = FIRST_BACK_OFF_S
        while True:
            outcome = await (group.read() if revision is None else group.watch(revision))
            match outcome:
                case Published():
                    revision, back_off_s = outcome.revision, FIRST_BACK_OFF_S
                    self._publish(group, outcome)
                case HistoryLost():
                    self._log.write(Level.INFO, "store_history_lost", keys=group.name)
                    revision = None
                case StoreFailed(cause=cause):
                    self._note_failure(group, cause)
                    # Half of the pause is random, so that a fleet does not come back at once.
                    await asyncio.sleep(back_off_s * self._random.uniform(0.5, 1.0))
                    back_off_s = min(MAX_BACK_OFF_S, back_off_s * 2)
                case _:
                    assert_never(outcome)

    def _publish(self, group: PublishedKeys, published: Published) -> None:
        if group.name in self._failed:
            self._failed.discard(group.name)
            self._log.write(Level.INFO, "store_reached", keys=group.name)
        for problem in published.problems:
            self._log.write(Level.WARNING, "entry_unusable", keys=group.name, problem=problem)
        self._core.put(EventsReceived((StoreReached(not self._failed), *published.events)))

    def _note_failure(self, group: PublishedKeys, cause: str) -> None:
        if group.name in self._failed:
            return
        self._failed.add(group.name)
        self._log.write(Level.WARNING, "store_lost", keys=group.name, cause=cause)
        self._core.put(EventsReceived([StoreReached(False)]))
