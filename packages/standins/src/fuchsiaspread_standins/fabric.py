"""Network fabric: sprays packets over the entry VMs and delivers replies to callers."""

import asyncio
import contextlib
import random
import socket
from dataclasses import dataclass

from fuchsiaspread_core.identifiers import Endpoint

from .internal.datagrams import Datagrams, DatagramTask, DeadlineReached, open_socket
from .internal.faults import LinkFaults, LinkRule

IPV4_HEADER_BYTES = 20
ANY_PORT = 0


@dataclass(frozen=True, slots=True)
class SetEntries:
    """Set the entry VMs that packets are sprayed over."""

    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class SetRules:
    """Set the faults of the links through the fabric."""

    rules: tuple[LinkRule, ...]


class Fabric(DatagramTask):
    """Own the gateway socket and one sending socket for each source host.

    A packet from an entry VM is forwarded to the caller at its destination address. Any other
    packet is forwarded to a random entry VM, from a socket bound to the host of its sender.
    """

    def __init__(self, gateway: Endpoint, entry_hosts: frozenset[str], seed: int) -> None:
        super().__init__(gateway)
        self._entry_hosts = entry_hosts
        self._entries: tuple[Endpoint, ...] = ()
        self._random = random.Random(seed)
        self._faults = LinkFaults(seed)
        self._senders: dict[str, socket.socket] = {}
        self._callers: dict[bytes, Endpoint] = {}
        self.lost_count = 0

    def handle(self, message: object) -> None:
        """Handle one message."""
        match message:
            case Datagrams(batch):
                for payload, source in batch:
                    self._forward(payload, source)
            case SetEntries(entries):
                self._entries = entries
            case SetRules(rules):
                self._faults.rules = rules
            case DeadlineReached():
                pass
            case _:
                raise TypeError(message)

    def close(self) -> None:
        """Close the sockets."""
        super().close()
        for sender in self._senders.values():
            sender.close()

    def _forward(self, packet: bytes, source: Endpoint) -> None:
        if len(packet) < IPV4_HEADER_BYTES:
            return
        if source.host in self._entry_hosts:
            caller = self._callers.get(packet[16:20])
            if caller is not None:
                self._deliver(self._socket, packet, source.host, caller)
            return
        self._callers[packet[12:16]] = source
        # During a partition, packets are sprayed over the entry VMs on the side of their sender.
        reachable = self._entries
        if self._faults.rules:
            cut = self._faults.is_cut
            reachable = tuple(e for e in reachable if not cut(source.host, e.host))
        if reachable:
            entry = self._random.choice(reachable)
            self._deliver(self._sender(source.host), packet, source.host, entry)
        else:
            self.lost_count += 1

    def _sender(self, host: str) -> socket.socket:
        sender = self._senders.get(host)
        if sender is None:
            sender = self._senders[host] = open_socket(Endpoint(host, ANY_PORT))
        return sender

    def _deliver(
        self, sender: socket.socket, packet: bytes, source: str, destination: Endpoint
    ) -> None:
        for delay_ms in self._faults.plan(source, destination.host) if self._faults.rules else (0,):
            if delay_ms:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_ms / 1000, send_or_drop, sender, packet, destination)
            else:
                send_or_drop(sender, packet, destination)


def send_or_drop(sender: socket.socket, packet: bytes, destination: Endpoint) -> None:
    """Send a datagram; drop it if the send fails."""
    with contextlib.suppress(OSError):
        sender.sendto(packet, destination)
