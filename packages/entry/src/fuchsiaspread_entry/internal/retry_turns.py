"""Turns of several watches to try an unreachable service again."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

MIN_BACK_OFF_S = 0.25
# The entry VMs of a site together retry about eight times a second, whatever their number: one
# success is enough, since peers pass the configuration on.
BACK_OFF_S_A_MEMBER = 0.25
MAX_BACK_OFF_S = 60.0
SMALLEST_SITE = 4
# A watch whose own key failed for another reason tries again after this time at the latest.
MAX_WAIT_S = 30.0


class RetryTurns:
    """Let one watch retry with back-off while the others wait for its success."""

    def __init__(
        self, random: Random, sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    ) -> None:
        self._random = random
        self._sleep = sleep
        self._retrying: str | None = None
        self._back_off_s = MIN_BACK_OFF_S
        self._reached = asyncio.Event()
        self._limit_s = SMALLEST_SITE * BACK_OFF_S_A_MEMBER

    def set_site_size(self, count: int) -> None:
        """Adapt the longest back-off to the number of entry VMs that retry beside this one."""
        limit_s = max(count, SMALLEST_SITE) * BACK_OFF_S_A_MEMBER
        self._limit_s = min(limit_s, MAX_BACK_OFF_S)

    async def wait(self, key: str) -> None:
        """Wait until the watch of a key may try again after a failure."""
        if self._retrying in (None, key):
            self._retrying = key
            # Full jitter spreads the calls of a fleet that lost the platform together.
            pause_s = self._random.uniform(MIN_BACK_OFF_S, self._back_off_s)
            self._back_off_s = min(self._back_off_s * 2, self._limit_s)
            await self._sleep(pause_s)
            return
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await self._reached.wait()
        except TimeoutError:
            return

    def note_success(self, key: str) -> None:
        """Let all watches go on, since one of them had an answer."""
        self._reached.set()
        self._reached = asyncio.Event()
        if self._retrying == key:
            self._retrying = None
            self._back_off_s = MIN_BACK_OFF_S
