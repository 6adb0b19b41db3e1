"""Tests of the tasks that own the UDP sockets."""

import asyncio
import socket
import unittest

from dpkt.tcp import TH_ACK
from fuchsiaspread_core.configuration import Revision
from fuchsiaspread_core.control import Probe
from fuchsiaspread_core.effects import SendControl, SendToPeer
from fuchsiaspread_core.events import CallerData, ControlReceived
from fuchsiaspread_core.identifiers import Endpoint, EntryName, ZoneName
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.relay import RelayUnknown
from fuchsiaspread_entry.internal.authentication import Keyring
from fuchsiaspread_entry.internal.mailboxes import Mailboxes
from fuchsiaspread_entry.internal.task_messages import (
    DirectoryChanged,
    PacketsReady,
    PeerSends,
    ServiceHostsChanged,
)
from fuchsiaspread_entry.peer_codec import (
    PeerMessage,
    RelayedPacket,
    decode_message,
    encode_message,
)
from fuchsiaspread_entry.tasks.fabric_task import MAX_PACKET_BYTES, FabricTask
from fuchsiaspread_entry.tasks.peer_task import MAX_DATAGRAM_BYTES, PeerTask

from .running import TEST_TIMEOUT_S, next_events, reported_counts, running
from .samples import FLOW, NEW_KEY, OLD_KEY, SERVICE_HOSTS, caller_packet

ANY_PORT = Endpoint("127.0.0.1", 0)
LOCAL_NAME, PEER = EntryName("entry-1"), EntryName("entry-2")
KEYRING = Keyring((OLD_KEY,))
RELAY = RelayUnknown(1)
DATA = caller_packet(TH_ACK, data=b"order")


def open_socket(case: unittest.TestCase) -> socket.socket:
    """Return a UDP socket on loopback that the test case closes."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    case.addCleanup(opened.close)
    opened.bind(ANY_PORT)
    opened.settimeout(TEST_TIMEOUT_S)
    return opened


def member(name: EntryName, peer: Endpoint) -> Member:
    """Return a member whose control address is not used."""
    return Member(name, ZoneName("zone-a"), peer, Endpoint("127.0.0.1", 9))


class FabricTaskTest(unittest.IsolatedAsyncioTestCase):
    async def test_packets_become_events_and_the_rest_is_counted(self) -> None:
        """Guards against an invalid datagram that stops the socket reader or reaches the core."""
        mailboxes, remote = Mailboxes(), open_socket(self)
        task = FabricTask(ANY_PORT, mailboxes)
        mailboxes.fabric.put(ServiceHostsChanged(SERVICE_HOSTS))
        async with running(task):
            # The sent datagram shows that the task has received the service hosts.
            mailboxes.fabric.put(PacketsReady([(b"out", Endpoint(*remote.getsockname()))]))
            read = await _read(remote)
            self.assertEqual(read, b"out")
            for datagram in (b"", b"noise", DATA[:-1], bytes(MAX_PACKET_BYTES + 99), DATA):
                remote.sendto(datagram, task.address)
            events = await next_events(mailboxes, 1)
        self.assertEqual(events, [CallerData(FLOW, 9, DATA)])
        counts = await reported_counts(mailboxes)
        self.assertEqual(counts["fuchsiaspread.packets.received"], 5)
        self.assertEqual(counts["fuchsiaspread.packets.sent"], 1)
        dropped = [name for name in counts if name.startswith("fuchsiaspread.packets.dropped")]
        self.assertEqual(sum(counts[name] for name in dropped), 4)


class PeerTaskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.mailboxes = Mailboxes()
        self.remote = open_socket(self)
        self.task = PeerTask(LOCAL_NAME, ANY_PORT, 1, KEYRING, self.mailboxes)
        peer = member(PEER, Endpoint(*self.remote.getsockname()))
        self.mailboxes.peer.put(DirectoryChanged((peer,)))

    def _send(self, message: PeerMessage, keyring: Keyring = KEYRING) -> None:
        self.remote.sendto(keyring.sign_datagram(encode_message(message)), self.task.address)

    async def test_two_entry_vms_exchange_relays_and_control_messages(self) -> None:
        """Guards against a relayed packet that loses its relay header or payload in transit."""
        other_mailboxes = Mailboxes()
        other = PeerTask(PEER, ANY_PORT, 1, KEYRING, other_mailboxes)
        members = DirectoryChanged(
            (member(LOCAL_NAME, self.task.address), member(PEER, other.address))
        )
        self.mailboxes.peer.put(members)
        other_mailboxes.peer.put(members)
        probe = Probe(7, Revision(1, 2), ())
        sends = [SendToPeer(PEER, RELAY, DATA)] * 20 + [SendControl(PEER, probe)]
        self.mailboxes.peer.put(PeerSends(sends))
        async with running(self.task, other):
            events = await next_events(other_mailboxes, 21)
        self.assertEqual(events.count(CallerData(FLOW, 9, DATA, RELAY)), 20)
        self.assertIn(ControlReceived(LOCAL_NAME, probe), events)

    async def test_unauthenticated_and_replayed_messages_are_counted_and_dropped(self) -> None:
        """Guards against a forged or replayed message that is accepted as a peer's message."""
        packets = (RelayedPacket(RELAY, DATA),)
        probe = Probe(7, Revision(1, 2), ())
        good = PeerMessage(PEER, LOCAL_NAME, 5, 1, packets)
        unknown_sender = PeerMessage(EntryName("entry-9"), LOCAL_NAME, 5, 1, packets)
        misdirected = PeerMessage(PEER, PEER, 5, 2, packets)
        former_boot = PeerMessage(PEER, LOCAL_NAME, 4, 9, packets)
        last = PeerMessage(PEER, LOCAL_NAME, 5, 3, (), (probe,))
        async with running(self.task):
            for datagram in (b"", b"noise", bytes(MAX_DATAGRAM_BYTES + 1), bytes(200)):
                self.remote.sendto(datagram, self.task.address)
            self._send(good, Keyring((NEW_KEY,)))
            for message in (good, good, unknown_sender, misdirected, former_boot, last):
                self._send(message)
            events = await next_events(self.mailboxes, 2)
        expected_events = [CallerData(FLOW, 9, DATA, RELAY), ControlReceived(PEER, probe)]
        self.assertCountEqual(events, expected_events)
        counts = await reported_counts(self.mailboxes)
        prefix = "fuchsiaspread.peer.messages.dropped "
        dropped = {
            name.removeprefix(prefix): count
            for name, count in counts.items()
            if name.startswith(prefix)
        }
        expected = {"truncated": 2, "oversized": 1, "unknown_key": 2, "replayed": 2}
        expected |= {"unknown_sender": 1, "wrong_receiver": 1}
        self.assertEqual(dropped, expected)

    async def test_message_to_a_former_boot_is_dropped_and_answered(self) -> None:
        """Guards against replays to a restarted entry VM, and against rejecting its peers for good.

        Peers address its former boot until the reply gives them the new boot number.
        """
        packets = (RelayedPacket(RELAY, DATA),)
        async with running(self.task):
            self._send(PeerMessage(PEER, LOCAL_NAME, 5, 1, packets, (), receiver_boot=99))
            answer = KEYRING.verify_datagram(await _read(self.remote))
            assert isinstance(answer, bytes)
            reply = decode_message(answer)
            assert isinstance(reply, PeerMessage)
            self._send(PeerMessage(PEER, LOCAL_NAME, 5, 2, packets, (), receiver_boot=reply.boot))
            events = await next_events(self.mailboxes, 1)
        self.assertEqual(events, [CallerData(FLOW, 9, DATA, RELAY)])
        self.assertEqual(self.mailboxes.peer_service.waiting_count, 1)

    async def test_new_entry_vm_announces_itself(self) -> None:
        """Guards against dropping a new entry VM's messages while the platform cannot list it."""
        newcomer = EntryName("entry-9")
        updates = (member(newcomer, Endpoint(*self.remote.getsockname())),)
        probe = Probe(7, Revision(0, 0), updates)
        async with running(self.task):
            self._send(PeerMessage(newcomer, LOCAL_NAME, 5, 1, (), (probe,)))
            events = await next_events(self.mailboxes, 1)
        self.assertEqual(events, [ControlReceived(newcomer, probe)])


async def _read(source: socket.socket) -> bytes:
    return await asyncio.to_thread(source.recv, 65536)
