"""Tests of the core task: the order of events and the dispatch of effects."""

import asyncio
import unittest
from collections.abc import Callable

from dpkt.tcp import TH_ACK
from fuchsiaspread_configuration import compile_parts
from fuchsiaspread_core.configuration import Revision
from fuchsiaspread_core.control import Probe
from fuchsiaspread_core.effects import (
    Effect,
    FetchParts,
    Notify,
    RefuseOpen,
    SendControl,
    SendRecords,
    SendToCaller,
    SendToPeer,
    SendToTarget,
    StopNow,
)
from fuchsiaspread_core.events import CallerData, ControlReceived, Event, LoadReported, Tick
from fuchsiaspread_core.identifiers import Endpoint, EntryName, TargetName, ZoneName
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.notices import DropReason, PacketDropped, ViewBecameStale
from fuchsiaspread_core.relay import RelayUnknown
from fuchsiaspread_entry.internal.log import Level, Log
from fuchsiaspread_entry.internal.mailboxes import Mailboxes
from fuchsiaspread_entry.internal.task_messages import (
    DirectoryChanged,
    EventsReceived,
    LoadEndpointsChanged,
    PacketsReady,
    PacketsReceived,
    PeerSends,
    RefreshAsked,
)
from fuchsiaspread_entry.resets import encode_refusal
from fuchsiaspread_entry.tasks.core_task import CoreTask, Identity
from fuchsiaspread_entry.tasks.load_task import LoadTask
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from .running import next_events, reported_counts, running
from .samples import FLOW, caller_packet

GATEWAY, TUNNEL = Endpoint("127.0.0.10", 6080), Endpoint("127.0.2.1", 6080)
LOCAL_MEMBER = Member(EntryName("entry-1"), ZoneName("zone-a"), GATEWAY, GATEWAY)
PEER = Member(EntryName("entry-2"), ZoneName("zone-a"), TUNNEL, TUNNEL)
DATA = caller_packet(TH_ACK)
PACKET = CallerData(FLOW, 9, DATA)


class CoreTaskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.mailboxes, self.now_ms = Mailboxes(), 1000
        self.stopped = asyncio.Event()
        identity = Identity(LOCAL_MEMBER, "site-a", (), GATEWAY, seed=1)
        log = Log(Level.ERROR, lambda: 0)
        self.task = CoreTask(
            identity, compile_parts, self.mailboxes, log, lambda: self.now_ms, self.stopped.set
        )

    def _replace_core(self, handle: Callable[[int, Event], list[Effect]]) -> None:
        self.task._core.handle = handle

    async def test_late_tick_is_handled_before_the_packets(self) -> None:
        """Guards against opens placed on a stale view, when packets queued in a pause go first."""
        seen: list[Event] = []
        handled = asyncio.Event()

        def handle(now_ms: int, event: Event) -> list[Effect]:
            seen.append(event)
            if event is PACKET:
                handled.set()
            return []

        self._replace_core(handle)
        self.now_ms += 10_000
        self.mailboxes.core.put(PacketsReceived([PACKET]))
        async with running(self.task):
            await handled.wait()
        self.assertEqual(seen[:2], [Tick(), PACKET])

    async def test_each_effect_reaches_the_task_that_executes_it(self) -> None:
        """Guards against an effect of the core that no task receives."""
        relay = SendToPeer(PEER.name, RelayUnknown(1), DATA)
        control = SendControl(PEER.name, Probe(1, Revision(0, 0), ()))
        calls = (FetchParts(PEER.name), SendRecords(PEER.name, (), True))
        effects = [SendToTarget(TUNNEL, DATA), SendToCaller(DATA), RefuseOpen(FLOW, 7), relay]
        effects += [control, *calls, Notify(PacketDropped(DropReason.NO_MANAGER))]
        effects += [Notify(ViewBecameStale(900)), StopNow()]
        self._replace_core(lambda _, event: effects if event is PACKET else [])
        self.mailboxes.core.put(PacketsReceived([PACKET]))
        async with running(self.task):
            await self.stopped.wait()
        expected = [(DATA, TUNNEL), (DATA, GATEWAY), (encode_refusal(FLOW, 7), GATEWAY)]
        self.assertIn(PacketsReady(expected), await self.mailboxes.fabric.take())
        self.assertIn(PeerSends([relay, control]), await self.mailboxes.peer.take())
        self.assertEqual((await self.mailboxes.peer_service.take())[-2:], list(calls))
        self.assertEqual(await self.mailboxes.platform.take(), [RefreshAsked()])
        counts = await reported_counts(self.mailboxes)
        self.assertEqual(counts["fuchsiaspread.packets.dropped no_manager"], 1)

    async def test_addresses_from_gossip_reach_the_peer_task(self) -> None:
        """Guards against relays that are dropped for lack of a new entry VM's address."""
        probe = Probe(1, Revision(0, 0), (PEER,))
        self.mailboxes.core.put(EventsReceived([ControlReceived(PEER.name, probe)]))
        async with running(self.task):
            received: list[object] = []
            while DirectoryChanged((LOCAL_MEMBER, PEER)) not in received:
                received = list(await self.mailboxes.peer.take())


class _LoadHandler(RequestHandler):
    def get(self) -> None:
        self.finish({"busy_slots": 2, "connections": 5, "is_shedding": True})


class LoadTaskTest(unittest.IsolatedAsyncioTestCase):
    async def test_load_of_a_managed_target_becomes_an_event(self) -> None:
        """Guards against a polling round that fails when one target does not respond."""
        server = HTTPServer(Application([("/load", _LoadHandler)], log_function=lambda _: None))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.addAsyncCleanup(server.close_all_connections)
        self.addCleanup(server.stop)
        mailboxes, name = Mailboxes(), TargetName("desk-1")
        endpoints = ((TargetName("desk-2"), Endpoint("127.0.0.1", 9)),)
        endpoints += ((name, Endpoint(*sockets[0].getsockname())),)
        mailboxes.load.put(LoadEndpointsChanged(endpoints))
        async with running(LoadTask(1, mailboxes)):
            events = await next_events(mailboxes, 1)
        self.assertEqual(events, [LoadReported(name, 2, True)])
