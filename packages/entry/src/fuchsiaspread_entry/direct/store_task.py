"""Task that watches the store and passes changes to the core task."""

import asyncio
from random import Random
from typing import assert_never

from fuchsiaspread_core.direct import StoreReached

from ..internal.log import Level, Log
from .messages import DirectMailboxes, EventsReceived
from .store_reader import HistoryLost, StoreFailed, StoreReader, StoreUpdate

INITIAL_BACKOFF_S = 0.1
# Short enough to apply changes soon after an outage, long enough to limit refused calls.
MAX_BACKOFF_S = 1.0
# Changes within this time after an update arrive in one call instead of many.
BATCH_DELAY_S = 0.4


class StoreTask:
    """Read the store, then watch it for changes."""

    def __init__(
        self, reader: StoreReader, seed: int, mailboxes: DirectMailboxes, log: Log
    ) -> None:
        self._reader = reader
        self._random = Random(seed)
        self._core = mailboxes.core
        self._log = log
        self._is_lost = False

    async def run(self) -> None:
        """Watch the store until cancelled."""
        revision: int | None = None
        backoff_s = INITIAL_BACKOFF_S
        while True:
            outcome = await (
                self._reader.read() if revision is None else self._reader.watch(revision)
            )
            match outcome:
                case StoreUpdate(events=events):
                    revision, backoff_s = outcome.revision, INITIAL_BACKOFF_S
                    self._forward(outcome)
                    if events:
                        await asyncio.sleep(BATCH_DELAY_S)
                case HistoryLost():
                    self._log.write(Level.INFO, "store_history_lost")
                    revision = None
                case StoreFailed(cause=cause):
                    self._report_failure(cause)
                    # Half of the backoff is random, so that a fleet does not reconnect at once.
                    await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
                    backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                case _:
                    assert_never(outcome)

    def _forward(self, update: StoreUpdate) -> None:
        if self._is_lost:
            self._is_lost = False
            self._log.write(Level.INFO, "store_reached")
        for problem in update.problems:
            self._log.write(Level.WARNING, "entry_unusable", problem=problem)
        self._core.put(EventsReceived((StoreReached(True), *update.events)))

    def _report_failure(self, cause: str) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self._log.write(Level.WARNING, "store_lost", cause=cause)
        self._core.put(EventsReceived([StoreReached(False)]))
