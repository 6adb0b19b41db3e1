"""Task that watches the store and passes changes to the core task."""

import asyncio
from random import Random
from typing import assert_never

from fuchsiaspread_core.direct import StoreReached
from fuchsiaspread_core.direct.store_pacing import NextCall, StorePacing

from ..internal.log import Level, Log
from .messages import DirectMailboxes, EventsReceived
from .store_reader import (
    AnswerTooLarge,
    HistoryLost,
    StoreFailed,
    StoreReader,
    StoreUpdate,
    WatchOutcome,
)

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
        following = NextCall(0, may_wait=True)
        while True:
            outcome = await self._call(revision, following.may_wait)
            match outcome:
                case StoreUpdate():
                    self._forward(outcome)
                    following = self._after_update(outcome, is_read=revision is None)
                    revision = outcome.revision
                case HistoryLost():
                    self._log.write(Level.INFO, "store_history_lost")
                    following = self._pacing.after_lost_history(self._random.random())
                    revision = None
                case AnswerTooLarge():
                    # The next answer from this revision would be larger still. A read holds the
                    # newest value of each key only.
                    self._log.write(Level.WARNING, "store_answer_too_large")
                    following = self._pacing.after_lost_history(self._random.random())
                    revision = None
                case StoreFailed(cause=cause):
                    self._report_failure(cause)
                    following = self._pacing.after_failure(self._random.random())
                case _:
                    assert_never(outcome)
            await asyncio.sleep(following.delay_ms / MS_PER_SECOND)

    def _after_update(self, update: StoreUpdate, is_read: bool) -> NextCall:
        if is_read:
            return self._pacing.after_read(max(update.sizes_bytes, default=0))
        jitter = self._random.random()
        return self._pacing.after_answer(update.sizes_bytes, jitter)

    async def _call(self, revision: int | None, may_wait: bool) -> WatchOutcome:
        """Read everything or watch for changes; an unexpected error counts as a failed call."""
        try:
            if revision is None:
                return await self._reader.read()
            return await self._reader.watch(revision, may_wait)
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
