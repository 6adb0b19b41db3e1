"""Periodic reports of a task's counters to the admin task."""

import asyncio

from .counts import Counts
from .mailbox import Mailbox
from .task_messages import AdminMessage, CountsReported

REPORT_INTERVAL_S = 1.0


class Reporter:
    """Collect the counts of one task and report them once a second."""

    def __init__(self, admin: Mailbox[AdminMessage]) -> None:
        self._admin = admin
        self._timer: asyncio.TimerHandle | None = None
        self.counts = Counts()

    def start(self) -> None:
        """Report the counts since the last report, now and at every interval."""
        self._report()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPORT_INTERVAL_S, self.start)

    def stop(self) -> None:
        """Report the remaining counts and stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
        self._report()

    def _report(self) -> None:
        if self.counts and self._admin.put(CountsReported(self.counts)):
            self.counts = Counts()
