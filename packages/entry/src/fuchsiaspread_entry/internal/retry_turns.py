"""Turns of several watches to try an unreachable service again."""

import asyncio
from random import Random

MIN_BACK_OFF_S = 0.25
# One retry per daemon every 4 s on average: 5,400 daemons make 1,300 calls a second, fewer than
# the 2,000 that the platform serves, so that a recovering platform is not overloaded again.
MAX_BACK_OFF_S = 8.0
# A watch whose own key failed for another reason tries again after this time at the latest.
MAX_WAIT_S = 30.0


class RetryTurns:
    """Let one watch retry with back-off while the others wait for its success."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._retrying: str | None = None
        self._back_off_s = MIN_BACK_OFF_S
        self._reached = asyncio.Event()

    async def wait(self, key: str) -> None:
        """Wait until the watch of a key may try again after a failure."""
        if self._retrying in (None, key):
            self._retrying = key
            # Full jitter spreads the calls of a fleet that lost the platform together.
            pause_s = self._random.uniform(MIN_BACK_OFF_S, self._back_off_s)
            self._back_off_s = min(self._back_off_s * 2, MAX_BACK_OFF_S)
            await asyncio.sleep(pause_s)
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
