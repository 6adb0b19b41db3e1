"""Backoff shared by several watches of an unreachable service."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

MIN_BACKOFF_S = 0.25
# The entry VMs of a site together retry about eight times a second, whatever their number. One
# success is enough, since peers forward the configuration to each other.
BACKOFF_S_PER_MEMBER = 0.25
MAX_BACKOFF_S = 60.0
MIN_SITE_SIZE = 4
# A watch waits no longer than this for another one, since its own key may have failed for a
# different reason.
MAX_WAIT_S = 30.0


class SharedBackoff:
    """Let one watch retry with backoff while the others wait for its success."""

    def __init__(
        self, random: Random, sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    ) -> None:
        self._random = random
        self._sleep = sleep
        self._retrying_key: str | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._reached = asyncio.Event()
        self._limit_s = MIN_SITE_SIZE * BACKOFF_S_PER_MEMBER

    def set_site_size(self, count: int) -> None:
        """Scale the longest backoff with the number of entry VMs in the site."""
        limit_s = max(count, MIN_SITE_SIZE) * BACKOFF_S_PER_MEMBER
        self._limit_s = min(limit_s, MAX_BACKOFF_S)

    async def wait(self, key: str) -> None:
        """Wait until the watch of a key may retry after a failure."""
        if self._retrying_key in (None, key):
            self._retrying_key = key
            # Full jitter spreads the calls of entry VMs that lost the platform at the same time.
            pause_s = self._random.uniform(MIN_BACKOFF_S, self._backoff_s)
            self._backoff_s = min(self._backoff_s * 2, self._limit_s)
            await self._sleep(pause_s)
            return
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await self._reached.wait()
        except TimeoutError:
            return

    def record_success(self, key: str) -> None:
        """Let all waiting watches retry, since one of them had a response."""
        self._reached.set()
        self._reached = asyncio.Event()
        if self._retrying_key == key:
            self._retrying_key = None
            self._backoff_s = MIN_BACKOFF_S
