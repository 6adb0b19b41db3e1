"""Task that writes log lines to standard output without blocking on a slow reader."""

import asyncio
import os
import sys
import time
from collections import deque
from collections.abc import Callable

from ..internal.log import format_line

# Lines are written in batches, since each write costs a system call.
FLUSH_INTERVAL_S = 0.25
# Limit of lines not yet written, about 200 bytes each.
MAX_PENDING_LINES = 5_000
MAX_UNSENT_BYTES = 64 * 1024


class LogTask:
    """Own standard output; lines beyond the limit are dropped and counted."""

    def __init__(self, now_ms: Callable[[], int], output_fd: int | None = None) -> None:
        self._now_ms = now_ms
        self._fd = sys.stdout.fileno() if output_fd is None else output_fd
        self._pending: deque[dict[str, object]] = deque()
        self._unsent = bytearray()
        self._dropped = 0
        self._is_registered = False
        self._wake: asyncio.Event | None = None

    def write(self, **fields: object) -> None:
        """Queue a log event with the current time."""
        if len(self._pending) >= MAX_PENDING_LINES:
            self._dropped += 1
            return
        self._pending.append({"recorded_s": time.time(), "steady_ms": self._now_ms()} | fields)
        if self._wake is not None:
            self._wake.set()

    async def run(self) -> None:
        """Write lines until cancelled."""
        os.set_blocking(self._fd, False)
        self._wake = asyncio.Event()
        try:
            while True:
                if not self._pending and not self._unsent:
                    self._wake.clear()
                    await self._wake.wait()
                await asyncio.sleep(FLUSH_INTERVAL_S)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as much as standard output accepts without blocking."""
        if self._dropped and len(self._pending) < MAX_PENDING_LINES:
            dropped, self._dropped = self._dropped, 0
            self.write(message_type="lines_dropped", level="warning", count=dropped)
        if self._pending:
            self._format()
        try:
            while self._unsent:
                del self._unsent[: os.write(self._fd, self._unsent)]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end, so there is nowhere left to report this.
            self._unsent.clear()

    def _format(self) -> None:
        # Importing eliot takes a fifth of the daemon's start-up time; packets are handled first.
        import eliot

        if not self._is_registered:
            self._is_registered = True
            eliot.add_destinations(self._append_line)
        while self._pending and len(self._unsent) < MAX_UNSENT_BYTES:
            eliot.log_message(**self._pending.popleft())

    def _append_line(self, message: dict[str, object]) -> None:
        self._unsent += format_line(message).encode() + b"\n"
