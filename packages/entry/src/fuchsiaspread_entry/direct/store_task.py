"""Task that watches the store and passes changes to the core task."""

import asyncio
from random import Random
from typing import assert_never

from fuchsiaspread_core.direct import StoreReached
from fuchsiaspread_core.direct.store_pacing import StorePacing

from ..internal.log import Level, Log
from .messages import DirectMailboxes, EventsReceived
from .store_reader import HistoryLost, StoreFailed, StoreReader, StoreUpdate

MS_PER_SECOND = 1000


class StoreTask:
    """Read the store, then watch it for changes."""

    def __init__(
        self,
        reader: StoreReader,
        pacing: StorePacing,
        seed: int,
        mailboxes: DirectMailboxes,
        log: Log,
    ) -> None:
        self._reader = reader
        self._pacing = pacing
        self._random = Random(seed)
        self._core = mailboxes.core
        self._log = log
        self._is_lost = False

    async def run(self) -> None:
        """Watch the store until cancelled."""
        revision: int | None = None
        while True:
            outcome = await self._call(revision)
            delay_ms = 0
            match outcome:
                case StoreUpdate(events=events):
                    revision = outcome.revision
                    self._forward(outcome)
                    delay_ms = self._pacing.after_answer(bool(events), self._random.random())
                case HistoryLost():
                    self._log.write(Level.INFO, "store_history_lost")
                    revision = None
                case StoreFailed(cause=cause):
                    self._report_failure(cause)
                    delay_ms = self._pacing.after_failure(self._random.random())
                case _:
                    assert_never(outcome)
            await asyncio.sleep(delay_ms / MS_PER_SECOND)

    async def _call(self, revision: int | None) -> StoreUpdate | HistoryLost | StoreFailed:
        """Read everything or watch for changes; an unexpected error counts as a failed call."""
        try:
            if revision is None:
                return await self._reader.read()
            return await self._reader.watch(revision)
        except Exception as error:
            return StoreFailed(f"unexpected error: {error!r}")

    def _forward(self, update: StoreUpdate) -> None:
        if self._is_lost:
            self._is_lost = False
            self._log.write(Level.INFO, "store_reached")
        for problem in update.problems:
            self._log.write(Level.WARNING, "entry_unusable", problem=problem)
        self._core.put_control(EventsReceived((StoreReached(True), *update.events)))

    def _report_failure(self, cause: str) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self._log.write(Level.WARNING, "store_lost", cause=cause)
        self._core.put_control(EventsReceived([StoreReached(False)]))
