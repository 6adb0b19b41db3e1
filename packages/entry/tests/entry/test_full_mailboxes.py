"""Messages that must not be lost when the mailboxes of an overloaded daemon are full."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import patch

from fuchsiaspread_core.events import StopRequested
from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_entry.daemon import Daemon
from fuchsiaspread_entry.internal.log import Level, Log
from fuchsiaspread_entry.internal.mailbox import Mailbox
from fuchsiaspread_entry.internal.mailboxes import Mailboxes
from fuchsiaspread_entry.internal.task_messages import EventsReceived, KeysChanged

from .running import running
from .samples import NEW_KEY
from .test_reports import configuration, settings_of

TUNNEL = Endpoint("127.0.2.1", 6080)


class FullMailboxesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.settings = settings_of(Endpoint("127.0.0.1", 9))
        self.mailboxes = Mailboxes()
        with patch("fuchsiaspread_entry.daemon.Mailboxes", return_value=self.mailboxes):
            self.daemon = Daemon(self.settings, Log(Level.ERROR, lambda: 0))

    async def asyncTearDown(self) -> None:
        async with running(self.daemon):
            await asyncio.sleep(0)

    async def test_withdrawn_key_is_withdrawn(self) -> None:
        """Guards against a key that stays in use although its withdrawal was logged as done."""
        with patch.object(Mailbox, "put", return_value=False):
            self.daemon.reload(replace(self.settings, keys=(NEW_KEY,)))
        for mailbox in (self.mailboxes.peer, self.mailboxes.peer_service):
            self.assertEqual(mailbox.waiting_count, 1)
            (message,) = await mailbox.take()
            self.assertIsInstance(message, KeysChanged)

    async def test_stop_reaches_the_core(self) -> None:
        """Guards against a planned stop under load that ends by force and cuts off flows."""
        with patch.object(Mailbox, "put", return_value=False):
            self.daemon.stop()
        self.assertEqual(self.mailboxes.core.waiting_count, 1)
        self.assertEqual(await self.mailboxes.core.take(), [EventsReceived([StopRequested()])])

    async def test_configuration_takes_effect(self) -> None:
        """Guards against a service whose packets are dropped, since its hosts were never sent."""
        self.daemon.submit_events(configuration(self.settings, TUNNEL))
        async with running(self.daemon._core):
            with patch.object(Mailbox, "put", return_value=False):
                while not (
                    self.mailboxes.fabric.waiting_count and self.mailboxes.peer.waiting_count
                ):
                    await asyncio.sleep(0)


class MailboxTest(unittest.IsolatedAsyncioTestCase):
    async def test_control_messages_are_taken_first_and_never_rejected(self) -> None:
        """Guards against a stop that waits behind thousands of packets."""
        mailbox: Mailbox[int] = Mailbox(2)
        self.assertEqual([mailbox.put(number) for number in (1, 2, 3)], [True, True, False])
        for number in (10, 11, 12):
            mailbox.put_control(number)
        self.assertEqual(await mailbox.take(), [10, 11, 12, 1, 2])

    async def test_control_message_wakes_the_task(self) -> None:
        """Guards against a stop that is noticed only with the next packet."""
        mailbox: Mailbox[int] = Mailbox(2)
        taking = asyncio.create_task(mailbox.take())
        await asyncio.sleep(0)
        mailbox.put_control(10)
        async with asyncio.timeout(10):
            self.assertEqual(await taking, [10])


if __name__ == "__main__":
    unittest.main()
