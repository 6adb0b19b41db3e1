"""Task that owns the UDP socket for packets of callers and targets."""

from socket import socket
from typing import Protocol

from fuchsiaspread_core.direct import DirectEffect, DirectEvent
from fuchsiaspread_core.identifiers import Endpoint

from ..internal.datagram_socket import Datagram, DatagramSocket
from ..internal.log import Level, Log
from .messages import DirectMailboxes, EventsReceived


class PacketCodec(Protocol):
    """Translate between datagrams and the events and effects of the core."""

    max_datagram_bytes: int

    def decode(self, datagram: bytes) -> DirectEvent | None:
        """Return the event of a datagram, or None when it is malformed."""

    def request_id(self, packet: bytes) -> str | None:
        """Return the id of the request whose HTTP header is in a packet, or None."""

    def encode(self, effect: DirectEffect) -> Datagram | None:
        """Return the datagram of an effect and its destination, or None when it sends nothing."""


class PacketTask:
    """Decode received datagrams for the core task and send its packets."""

    def __init__(
        self, bound: socket, codec: PacketCodec, mailboxes: DirectMailboxes, log: Log
    ) -> None:
        self._codec = codec
        self._mailbox = mailboxes.packets
        self._core = mailboxes.core
        self._log = log
        self._socket = DatagramSocket(bound, codec.max_datagram_bytes, self._receive)

    @property
    def address(self) -> Endpoint:
        """Return the bound address."""
        return self._socket.address

    async def run(self) -> None:
        """Receive and send until cancelled."""
        self._socket.start()
        try:
            while True:
                for message in await self._mailbox.take():
                    self._send(message.effects)
        finally:
            self._socket.close()

    def _send(self, effects: list[DirectEffect]) -> None:
        datagrams = [self._codec.encode(effect) for effect in effects]
        failed = self._socket.send_all(one for one in datagrams if one is not None)
        if failed:
            self._log.write(Level.WARNING, "packets_not_sent", count=failed)

    def _receive(self, batch: list[Datagram]) -> None:
        events: list[DirectEvent] = []
        for datagram, sender in batch:
            event = self._codec.decode(datagram)
            if event is None:
                self._log.write(Level.WARNING, "packet_malformed", sender=sender[0])
            else:
                events.append(event)
        if events and not self._core.put(EventsReceived(events), len(events)):
            self._log.write(Level.WARNING, "packets_dropped", count=len(events), cause="overload")
