"""Task that owns the UDP socket for relayed packets and control messages."""

from collections import defaultdict
from typing import assert_never

from fuchsiaspread_core.control import ControlMessage
from fuchsiaspread_core.effects import SendControl, SendToPeer
from fuchsiaspread_core.events import ControlReceived, Event, PacketEvent
from fuchsiaspread_core.identifiers import Endpoint, EntryName
from fuchsiaspread_core.members import Member

from ..internal.authentication import Keyring, ReplayWindows
from ..internal.bound_socket import bind_datagram_socket
from ..internal.counts import CountKey, Metric
from ..internal.datagram_socket import Datagram, DatagramSocket
from ..internal.mailboxes import Mailboxes
from ..internal.peer_fields import PeerFault
from ..internal.reporting import Reporter
from ..internal.task_messages import (
    BootHeard,
    DirectoryChanged,
    EventsReceived,
    KeysChanged,
    PacketsReceived,
    PeerSends,
    PeerTaskMessage,
)
from ..packets import PacketFault, decode_relayed_packet
from ..peer_codec import PeerMessage, RelayedPacket, decode_message, encode_message
from .fabric_task import MAX_PACKET_BYTES, packet_drop_key

# A packet of maximum size with its relay header.
MAX_DATAGRAM_BYTES = MAX_PACKET_BYTES + 2048
# Small packets to one entry VM are combined into datagrams with up to this many bytes of payload,
# which fit into one Ethernet frame with the headers; a separate hash and message for each packet
# cost three times as much.
SHARED_DATAGRAM_BYTES = 1200

BYTES_RECEIVED = CountKey(Metric.PEER_IO, (("direction", "receive"), ("kind", "all")))
RELAY_BYTES_SENT = CountKey(Metric.PEER_IO, (("direction", "transmit"), ("kind", "relay")))
CONTROL_BYTES_SENT = CountKey(Metric.PEER_IO, (("direction", "transmit"), ("kind", "control")))


def _message_drop_key(fault: PeerFault) -> CountKey:
    return CountKey(Metric.PEER_MESSAGES_DROPPED, (("reason", str(fault)),))


class PeerTask:
    """Authenticate and decode peer datagrams for the core task and send its messages."""

    def __init__(
        self,
        local_name: EntryName,
        listen: Endpoint,
        # From `boot_number`: increases with each restart of this entry VM.
        boot: int,
        keyring: Keyring,
        mailboxes: Mailboxes,
    ) -> None:
        self._mailbox = mailboxes.peer
        self._local_name = local_name
        self._boot = boot
        self._sequence = 0
        self._keyring = keyring
        self._core = mailboxes.core
        self._peer_service = mailboxes.peer_service
        self._addresses: dict[EntryName, Endpoint] = {}
        self._windows = ReplayWindows()
        self._reporter = Reporter(mailboxes.admin)
        self._socket = DatagramSocket(
            bind_datagram_socket(listen), MAX_DATAGRAM_BYTES, self._receive
        )

    @property
    def address(self) -> Endpoint:
        """Return the bound address."""
        return self._socket.address

    async def run(self) -> None:
        """Receive and send until cancelled."""
        self._socket.start()
        self._reporter.start()
        try:
            while True:
                for message in await self._mailbox.take():
                    self._handle(message)
        finally:
            self._reporter.stop()
            self._socket.close()

    def _handle(self, message: PeerTaskMessage) -> None:
        match message:
            case PeerSends(sends=sends):
                self._send(sends)
            case DirectoryChanged(members=members):
                self._addresses = {member.name: member.peer for member in members}
                self._windows.retain(frozenset(self._addresses))
            case KeysChanged(keyring=keyring):
                self._keyring = keyring
            case _:
                assert_never(message)

    def _send(self, sends: list[SendToPeer | SendControl]) -> None:
        relays: defaultdict[EntryName, list[RelayedPacket]] = defaultdict(list)
        sizes: defaultdict[EntryName, int] = defaultdict(int)
        for send in sends:
            peer = send.peer
            match send:
                case SendToPeer(relay=relay, payload=payload):
                    if sizes[peer] + len(payload) > SHARED_DATAGRAM_BYTES and relays[peer]:
                        self._send_message(peer, RELAY_BYTES_SENT, tuple(relays.pop(peer)))
                        sizes[peer] = 0
                    relays[peer].append(RelayedPacket(relay, payload))
                    sizes[peer] += len(payload)
                case SendControl(message=message):
                    self._send_message(peer, CONTROL_BYTES_SENT, (), (message,))
                case _:
                    assert_never(send)
        for peer, packets in relays.items():
            self._send_message(peer, RELAY_BYTES_SENT, tuple(packets))

    def _send_message(
        self,
        peer: EntryName,
        counter: CountKey,
        packets: tuple[RelayedPacket, ...],
        controls: tuple[ControlMessage, ...] = (),
    ) -> None:
        address = self._addresses.get(peer)
        if address is None:
            self._reporter.counts[packet_drop_key("unknown_peer")] += 1
            return
        self._sequence += 1
        receiver_boot = self._windows.boot_of(peer)
        message = PeerMessage(
            self._local_name, peer, self._boot, self._sequence, packets, controls, receiver_boot
        )
        datagram = self._keyring.sign_datagram(encode_message(message))
        if self._socket.send_all([(datagram, address)]):
            self._reporter.counts[packet_drop_key("send_failed")] += 1
        else:
            self._reporter.counts[counter] += len(datagram)

    def _receive(self, batch: list[Datagram]) -> None:
        packets: list[PacketEvent] = []
        controls: list[Event] = []
        counts = self._reporter.counts
        for datagram, _ in batch:
            counts[BYTES_RECEIVED] += len(datagram)
            message = self._authenticate(datagram)
            match message:
                case PeerFault():
                    counts[_message_drop_key(message)] += 1
                case PeerMessage():
                    controls += [ControlReceived(message.sender, item) for item in message.controls]
                    self._collect_packet_events(message, packets)
                case _:
                    assert_never(message)
        if controls:
            self._core.put(EventsReceived(controls))
        if packets and not self._core.put(PacketsReceived(packets)):
            counts[packet_drop_key("overload")] += len(packets)

    def _authenticate(self, datagram: bytes) -> PeerMessage | PeerFault:
        """Verify and decode a datagram; return its message, or the reason to drop it.

        Checks the size, the keyed hash, the receiver, the sender, the receiver's boot and the
        replay window, in which an accepted message is recorded. Answers a message for an earlier
        boot with an empty one, unless it was empty itself, and reports a sender's new boot number
        to the peer service task.
        """
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return PeerFault.OVERSIZED
        content = self._keyring.verify_datagram(datagram)
        if isinstance(content, PeerFault):
            return content
        message = decode_message(content)
        if isinstance(message, PeerFault):
            return message
        if message.receiver != self._local_name:
            return PeerFault.WRONG_RECEIVER
        if message.sender not in self._addresses and not _announces_sender(message):
            return PeerFault.UNKNOWN_SENDER
        if message.receiver_boot not in (0, self._boot):
            # The message is for an earlier boot of this process, whose replay window is gone, so it
            # may be a replay. An empty message gives the new boot number to a sender that
            # does not know of the restart. Empty messages are not answered, so that two entry VMs
            # never answer each other in a loop.
            if message.packets or message.controls:
                self._send_message(message.sender, CONTROL_BYTES_SENT, ())
            return PeerFault.FORMER_BOOT
        known_boot = self._windows.boot_of(message.sender)
        if not self._windows.accept(message.sender, message.boot, message.sequence):
            return PeerFault.REPLAYED
        if message.boot != known_boot:
            self._peer_service.put(BootHeard(message.sender, message.boot))
        return message

    def _collect_packet_events(self, message: PeerMessage, events: list[PacketEvent]) -> None:
        for packet in message.packets:
            event = decode_relayed_packet(packet.payload, packet.relay)
            if isinstance(event, PacketFault):
                self._reporter.counts[packet_drop_key(str(event))] += 1
            else:
                events.append(event)


def _announces_sender(message: PeerMessage) -> bool:
    # A new entry VM may not be on the platform's list yet; the key proves that it belongs to
    # the site.
    members: list[Member] = [member for item in message.controls for member in item.updates]
    return any(member.name == message.sender for member in members)
