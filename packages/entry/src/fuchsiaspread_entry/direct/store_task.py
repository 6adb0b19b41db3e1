"""Task that follows the store and hands changes to the core task."""

import asyncio
from random import Random
from typing import assert_never

from fuchsiaspread_core.direct import StoreReached

from ..internal.log import Level, Log
from .messages import DirectMailboxes, EventsReceived
from .published_store import HistoryLost, Published, PublishedKeys, StoreFailed

FIRST_BACK_OFF_S = 0.1
# Short enough to have a change in force soon after an outage, and a bound on refused calls.
MAX_BACK_OFF_S = 1.0
# Changes that follow each other within this time come with one call instead of many.
GATHER_S = 0.4


class StoreTask:
    """Keep one watch on the store."""

    def __init__(
        self, keys: PublishedKeys, seed: int, mailboxes: DirectMailboxes, log: Log
    ) -> None:
        self._keys = keys
        self._random = Random(seed)
        self._core = mailboxes.core
        self._log = log
        self._is_lost = False

    async def run(self) -> None:
        """Follow the store until cancelled."""
        revision: int | None = None
        back_off_s = FIRST_BACK_OFF_S
        while True:
            outcome = await (self._keys.read() if revision is None else self._keys.watch(revision))
            match outcome:
                case Published(events=events):
                    revision, back_off_s = outcome.revision, FIRST_BACK_OFF_S
                    self._publish(outcome)
                    if events:
                        await asyncio.sleep(GATHER_S)
                case HistoryLost():
                    self._log.write(Level.INFO, "store_history_lost")
                    revision = None
                case StoreFailed(cause=cause):
                    self._note_failure(cause)
                    # Half of the pause is random, so that a fleet does not come back at once.
                    await asyncio.sleep(back_off_s * self._random.uniform(0.5, 1.0))
                    back_off_s = min(MAX_BACK_OFF_S, back_off_s * 2)
                case _:
                    assert_never(outcome)

    def _publish(self, published: Published) -> None:
        if self._is_lost:
            self._is_lost = False
            self._log.write(Level.INFO, "store_reached")
        for problem in published.problems:
            self._log.write(Level.WARNING, "entry_unusable", problem=problem)
        self._core.put(EventsReceived((StoreReached(True), *published.events)))

    def _note_failure(self, cause: str) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self._log.write(Level.WARNING, "store_lost", cause=cause)
        self._core.put(EventsReceived([StoreReached(False)]))
