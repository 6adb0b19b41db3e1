"""Task that tries to connect to targets that stopped answering."""

import asyncio
import socket
from collections.abc import Callable

from fuchsiaspread_core.direct import CheckOutcome, CheckTarget, TargetChecked

from ..internal.log import Level, Log
from .messages import DirectMailboxes, EventsReceived

# A reachable target accepts within a few milliseconds, even when it is busy.
CONNECT_TIMEOUT_MS = 250
# An attempt that times out this late shows that this process was stalled, not the target.
PAUSE_MARGIN_MS = 50
MS_PER_SECOND = 1000
# A partition of a zone triggers checks of all of its targets at once.
MAX_CONCURRENT_CHECKS = 64


class CheckTask:
    """Run connection checks and report their outcomes to the core task."""

    def __init__(self, mailboxes: DirectMailboxes, now_ms: Callable[[], int], log: Log) -> None:
        self._mailbox = mailboxes.checks
        self._core = mailboxes.core
        self._now_ms = now_ms
        self._log = log
        self._connection_slots = asyncio.Semaphore(MAX_CONCURRENT_CHECKS)

    async def run(self) -> None:
        """Run checks until cancelled."""
        async with asyncio.TaskGroup() as checks:
            while True:
                for message in await self._mailbox.take():
                    checks.create_task(self._check(message.check))

    async def _check(self, check: CheckTarget) -> None:
        async with self._connection_slots:
            outcome = await self._connect(check)
        self._core.put_control(EventsReceived([TargetChecked(check.target, outcome)]))

    async def _connect(self, check: CheckTarget) -> CheckOutcome:
        started_ms = self._now_ms()
        try:
            await _connect_once(check)
        except TimeoutError:
            waited_ms = self._now_ms() - started_ms
            if waited_ms > CONNECT_TIMEOUT_MS + PAUSE_MARGIN_MS:
                return CheckOutcome.INCONCLUSIVE
            return CheckOutcome.TIMED_OUT
        except ConnectionRefusedError:
            return CheckOutcome.REFUSED
        except OSError as error:
            # No local route or no free file descriptor; this says nothing about the target.
            return self._report_failure(check, error.strerror or repr(error))
        except Exception as error:
            # A defect in one check must not end the checks of all targets.
            return self._report_failure(check, repr(error))
        return CheckOutcome.CONNECTED

    def _report_failure(self, check: CheckTarget, cause: str) -> CheckOutcome:
        self._log.write(Level.WARNING, "check_failed", target=check.target, cause=cause)
        return CheckOutcome.INCONCLUSIVE


async def _connect_once(check: CheckTarget) -> None:
    """Connect to a target and close the connection.

    Errors: OSError or TimeoutError when that fails.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
        connection.setblocking(False)
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_SECOND):
            await asyncio.get_running_loop().sock_connect(connection, check.endpoint)
