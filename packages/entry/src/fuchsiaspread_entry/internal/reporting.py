"""Periodic hand-over of a task's counters to the admin task."""

import asyncio

from .counts import Counts
from .mailbox import Mailbox
from .task_messages import AdminMessage, CountsReported

REPORT_INTERVAL_S = 1.0


class Reporter:
    """Collect the counts of one task and hand them over once a second."""

    def __init__(self, admin: Mailbox[AdminMessage]) -> None:
        self._admin = admin
        self._timer: asyncio.TimerHandle | None = None
        self.counts = Counts()

    def start(self) -> None:
        """Hand over what was counted since the last report, now and at every interval."""
        self._report()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPORT_INTERVAL_S, self.start)

    def stop(self) -> None:
        """Hand over the rest and stop the reports."""
        if self._timer is not None:
            self._timer.cancel()
        self._report()

    def _report(self) -> None:
        if self.counts and self._admin.put(CountsReported(self.counts)):
            self.counts = Counts()
