"""Task that owns the UDP socket for tunnelled packets from and to fabric and targets."""

from typing import assert_never

from fuchsiaspread_core.events import PacketEvent
from fuchsiaspread_core.identifiers import Endpoint

from ..internal.bound_socket import bind_datagram_socket
from ..internal.counts import CountKey, Metric
from ..internal.datagram_socket import Datagram, DatagramSocket
from ..internal.mailboxes import Mailboxes
from ..internal.reporting import Reporter
from ..internal.task_messages import (
    FabricMessage,
    PacketsReady,
    PacketsReceived,
    ServiceHostsChanged,
)
from ..packets import PacketFault, decode_packet

# Size of a jumbo frame; the tunnel carries no larger packets.
MAX_PACKET_BYTES = 9216

RECEIVED = CountKey(Metric.PACKETS_RECEIVED)
SENT = CountKey(Metric.PACKETS_SENT)


def packet_drop_key(reason: str) -> CountKey:
    """Return the counter key for packets dropped for a reason."""
    return CountKey(Metric.PACKETS_DROPPED, (("reason", reason),))


class FabricTask:
    """Decode datagrams of the tunnel for the core task and send its packets."""

    def __init__(self, listen: Endpoint, mailboxes: Mailboxes) -> None:
        self._mailbox = mailboxes.fabric
        self._core = mailboxes.core
        self._service_hosts: frozenset[bytes] = frozenset()
        self._reporter = Reporter(mailboxes.admin)
        self._socket = DatagramSocket(bind_datagram_socket(listen), MAX_PACKET_BYTES, self._receive)

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

    def _handle(self, message: FabricMessage) -> None:
        match message:
            case PacketsReady(datagrams=datagrams):
                failed = self._socket.send_all(datagrams)
                self._reporter.counts[SENT] += len(datagrams) - failed
                if failed:
                    self._reporter.counts[packet_drop_key("send_failed")] += failed
            case ServiceHostsChanged(hosts=hosts):
                self._service_hosts = hosts
            case _:
                assert_never(message)

    def _receive(self, batch: list[Datagram]) -> None:
        counts, service_hosts = self._reporter.counts, self._service_hosts
        counts[RECEIVED] += len(batch)
        events: list[PacketEvent] = []
        for packet, sender in batch:
            event = decode_packet(packet, sender[0], service_hosts)
            # Comparing the class is the cheapest test; PacketFault is an enum of strings.
            if event.__class__ is PacketFault:
                counts[packet_drop_key(str(event))] += 1
            elif len(packet) > MAX_PACKET_BYTES:
                counts[packet_drop_key("oversized")] += 1
            else:
                events.append(event)
        if events and not self._core.put(PacketsReceived(events)):
            counts[packet_drop_key("overload")] += len(events)
