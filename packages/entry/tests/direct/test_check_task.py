"""Connection checks of targets."""

import asyncio
import socket
import unittest
from unittest.mock import patch

from fuchsiaspread_core.direct import CheckOutcome, CheckTarget, TargetChecked
from fuchsiaspread_core.identifiers import Endpoint, TargetName
from fuchsiaspread_entry.direct.check_task import CheckTask
from fuchsiaspread_entry.direct.messages import CheckAsked, DirectMailboxes
from fuchsiaspread_entry.internal.log import Level, Log

HOST = "127.0.0.1"
TARGET = TargetName("i-1")
TEST_TIMEOUT_S = 10.0


class CheckTaskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.mailboxes = DirectMailboxes()
        self.lines: list[dict[str, object]] = []
        log = Log(Level.INFO, lambda: 1_000, lambda **fields: self.lines.append(fields))
        self.check_task = asyncio.create_task(CheckTask(self.mailboxes, lambda: 1_000, log).run())

    async def asyncTearDown(self) -> None:
        self.check_task.cancel()
        await asyncio.gather(self.check_task, return_exceptions=True)

    async def outcome(self, endpoint: Endpoint) -> CheckOutcome:
        """Return the outcome of a check of an endpoint."""
        self.mailboxes.checks.put(CheckAsked(CheckTarget(TARGET, endpoint)))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            (message,) = await self.mailboxes.core.take()
        (event,) = message.events
        assert isinstance(event, TargetChecked)
        return event.outcome

    async def test_listening_and_closed_ports_are_distinguished(self) -> None:
        """Guards against reporting a dead target as reachable."""
        server = await asyncio.start_server(lambda reader, writer: writer.close(), HOST, 0)
        endpoint = Endpoint(*server.sockets[0].getsockname())
        self.assertIs(await self.outcome(endpoint), CheckOutcome.CONNECTED)
        server.close()
        await server.wait_closed()
        self.assertIs(await self.outcome(endpoint), CheckOutcome.REFUSED)
        self.assertEqual(self.lines, [])

    async def test_local_failure_is_inconclusive_and_logged(self) -> None:
        """Guards against marking a target unreachable when file descriptors run out.

        The local failure must be logged, or it would stay hidden.
        """
        loop = asyncio.get_running_loop()
        with patch.object(loop, "sock_connect", side_effect=OSError(24, "Too many open files")):
            outcome = await self.outcome(Endpoint(HOST, 9))
        self.assertIs(outcome, CheckOutcome.INCONCLUSIVE)
        (line,) = self.lines
        self.assertEqual((line["message_type"], line["target"]), ("check_failed", TARGET))
        self.assertEqual(line["cause"], "Too many open files")

    async def test_lack_of_descriptors_does_not_end_the_checks(self) -> None:
        """Guards against a process that ends because a check could not create its socket."""
        exhausted = OSError(24, "Too many open files")
        with patch.object(socket, "socket", side_effect=exhausted):
            self.assertIs(await self.outcome(Endpoint(HOST, 9)), CheckOutcome.INCONCLUSIVE)
        self.assertFalse(self.check_task.done())
        self.assertEqual(self.lines[0]["cause"], "Too many open files")

    async def test_unexpected_error_is_inconclusive_and_checks_go_on(self) -> None:
        """Guards against one check that ends the process."""
        loop = asyncio.get_running_loop()
        with patch.object(loop, "sock_connect", side_effect=UnicodeError("not a name")):
            self.assertIs(await self.outcome(Endpoint(HOST, 9)), CheckOutcome.INCONCLUSIVE)
        server = await asyncio.start_server(lambda reader, writer: writer.close(), HOST, 0)
        endpoint = Endpoint(*server.sockets[0].getsockname())
        self.assertIs(await self.outcome(endpoint), CheckOutcome.CONNECTED)
        server.close()
        await server.wait_closed()


if __name__ == "__main__":
    unittest.main()
