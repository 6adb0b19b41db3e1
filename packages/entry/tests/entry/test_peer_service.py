"""Tests of the transfer of configuration parts and flow records between entry VMs."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from fuchsiaspread_core.effects import FetchParts, SendRecords
from fuchsiaspread_core.events import PartsReceived, RecordsReceived
from fuchsiaspread_core.flow_table import FlowRecord, Phase
from fuchsiaspread_core.identifiers import Endpoint, EntryName, TargetName, ZoneName
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.parts import Part, PartName
from fuchsiaspread_entry.internal.authentication import Keyring
from fuchsiaspread_entry.internal.call_authentication import CallClaims, digest_of, sign_call
from fuchsiaspread_entry.internal.log import Level, Log
from fuchsiaspread_entry.internal.mailboxes import Mailboxes
from fuchsiaspread_entry.internal.task_messages import (
    DirectoryChanged,
    EventsReceived,
    KeysChanged,
    PartsAsked,
)
from fuchsiaspread_entry.messages.peer_grpc import PeerServiceStub
from fuchsiaspread_entry.messages.peer_pb2 import FetchPartsRequest, TransferRecordsRequest
from fuchsiaspread_entry.tasks.peer_service_task import PeerServiceTask
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from .running import next_events, reported_counts, running
from .samples import FLOW, NEW_KEY, OLD_KEY

ANY_PORT = Endpoint("127.0.0.1", 0)
LOCAL_NAME, PEER = EntryName("entry-1"), EntryName("entry-2")
PART = Part(PartName.BASE, 3, b"services: []")
RECORD = FlowRecord(FLOW, TargetName("desk-1"), Phase.ESTABLISHED, 1, 2)
METHOD = "/fuchsiaspread.peer.PeerService/TransferRecords"


class PeerServiceTaskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        log = Log(Level.ERROR, lambda: 0)
        self.local_mailboxes, self.peer_mailboxes = Mailboxes(), Mailboxes()
        keyring = Keyring((OLD_KEY,))
        self.task = PeerServiceTask(LOCAL_NAME, ANY_PORT, 1, keyring, self.local_mailboxes, log)
        self.peer = PeerServiceTask(PEER, ANY_PORT, 1, keyring, self.peer_mailboxes, log)
        members = DirectoryChanged(
            tuple(
                Member(name, ZoneName("zone-a"), ANY_PORT, task.address)
                for name, task in ((LOCAL_NAME, self.task), (PEER, self.peer))
            )
        )
        self.local_mailboxes.peer_service.put(members)
        self.peer_mailboxes.peer_service.put(members)

    async def test_parts_come_from_the_peers_core(self) -> None:
        """Guards against a new entry VM that gets no configuration while the platform is down."""
        self.local_mailboxes.peer_service.put(FetchParts(PEER))
        async with running(self.task, self.peer):
            question = None
            while not isinstance(question, PartsAsked):
                question = (await self.peer_mailboxes.core.take())[-1]
            question.reply.set_result(((), (PART,)))
            events = await next_events(self.local_mailboxes, 1)
        self.assertEqual(events, [PartsReceived(PEER, (), (PART,))])

    async def test_records_arrive_in_order_and_in_bounded_calls(self) -> None:
        """Guards against a transfer that is reported as complete before its last record arrives."""
        sends = [SendRecords(PEER, (RECORD,) * 4500, False), SendRecords(PEER, (), True)]
        for send in sends:
            self.local_mailboxes.peer_service.put(send)
        async with running(self.task, self.peer):
            events = await next_events(self.peer_mailboxes, 4)
        received = [event for event in events if isinstance(event, RecordsReceived)]
        self.assertEqual([len(event.records) for event in received], [2000, 2000, 500, 0])
        self.assertEqual([event.is_last for event in received], [False, False, False, True])

    async def test_key_rotation_leaves_calls_working(self) -> None:
        """Guards against entry VMs that cannot transfer records while keys are replaced."""
        both = KeysChanged(Keyring((NEW_KEY, OLD_KEY)))
        self.local_mailboxes.peer_service.put(both)
        self.peer_mailboxes.peer_service.put(KeysChanged(Keyring((OLD_KEY, NEW_KEY))))
        self.local_mailboxes.peer_service.put(SendRecords(PEER, (RECORD,), True))
        async with running(self.task, self.peer):
            events = await next_events(self.peer_mailboxes, 1)
        self.assertEqual(events, [RecordsReceived(LOCAL_NAME, (RECORD,), True)])

    async def test_unauthenticated_and_replayed_calls_are_rejected(self) -> None:
        """Guards against calls that are accepted from a client without the key, or twice."""
        request = TransferRecordsRequest(is_last=True)
        digest = digest_of(request.SerializeToString(deterministic=True))
        claims = CallClaims(LOCAL_NAME, PEER, 1, 1, digest)
        good = sign_call(Keyring((OLD_KEY,)), METHOD, claims)
        unknown_sender = CallClaims(EntryName("entry-9"), PEER, 1, 2, digest)
        former_boot = CallClaims(LOCAL_NAME, PEER, 1, 5, digest, receiver_boot=99)
        other_body = CallClaims(LOCAL_NAME, PEER, 1, 3, digest_of(b"other"))
        bad = [
            {},
            good,
            sign_call(Keyring((NEW_KEY,)), METHOD, claims),
            sign_call(Keyring((OLD_KEY,)), METHOD, unknown_sender),
            sign_call(Keyring((OLD_KEY,)), METHOD, other_body),
            sign_call(Keyring((OLD_KEY,)), METHOD, former_boot),
            sign_call(Keyring((OLD_KEY,)), "/other", CallClaims(LOCAL_NAME, PEER, 1, 4, digest)),
        ]
        async with running(self.peer), self._stub() as stub:
            await stub.TransferRecords(request, metadata=good)
            for metadata in bad:
                with self.assertRaises(GRPCError) as refused:
                    await stub.TransferRecords(request, metadata=metadata)
                self.assertIs(refused.exception.status, Status.UNAUTHENTICATED)
            with self.assertRaises(GRPCError):
                await stub.FetchParts(FetchPartsRequest())
        [received] = await self.peer_mailboxes.core.take()
        self.assertEqual(received, EventsReceived([RecordsReceived(LOCAL_NAME, (), True)]))
        counts = await reported_counts(self.peer_mailboxes)
        self.assertEqual(sum(counts.values()), len(bad) + 1)

    @asynccontextmanager
    async def _stub(self) -> AsyncIterator[PeerServiceStub]:
        # The task must have received the directory before the first call.
        while self.peer_mailboxes.peer_service.waiting_count:
            await asyncio.sleep(0)
        async with Channel(*self.peer.address) as channel:
            yield PeerServiceStub(channel)
