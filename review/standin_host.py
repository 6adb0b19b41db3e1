"""Stand-in for a host of the users: a sound server behind flows (PROTOCOL.md, Flows and Hosts)."""

import asyncio
import random
import re
import socket
import time
from dataclasses import dataclass, field

from standin_wire import ACK, FIN, RST, SEQUENCE_MASK, SYN, Packet, decode, encode, ip_text, keyed_sum

WORK = re.compile(rb"x-work-ms: (\d+)", re.I)
NAME = re.compile(rb"x-request-id: (\S+)", re.I)
FIRST_RETRANSMIT_S, MAX_RETRANSMIT_S, MAX_RETRANSMITS = 0.2, 1.6, 8


@dataclass(slots=True)
class Flow:
    """One flow that the host holds."""

    key: tuple[int, int, int, int]
    own: int
    expected: int
    echo: int
    is_open: bool = False
    through_s: float = 0.0
    unconfirmed: int = 0
    timers: set[asyncio.Task] = field(default_factory=set)
    confirmed: int = 0


class Host:
    """Accept flows, run requests and answer the requester directly."""

    def __init__(
        self, ident: str, service: str, address: tuple[str, int], zone: str, site, slots: int = 2
    ) -> None:
        self.ident, self.service, self.address, self.zone = ident, service, address, zone
        self.number = int(ident.rpartition("-")[2], 16)
        self.born = int(time.time() * 1000)
        self.slots, self.state = slots, "ready"
        self.flows: dict[tuple[int, int, int, int], Flow] = {}
        self._site = site
        self._gate = asyncio.Semaphore(slots)
        self._tasks: set[asyncio.Task] = set()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self._socket, self._read)
        self._health: asyncio.Server | None = None

    async def start(self) -> None:
        """Serve the liveness check."""
        self._health = await asyncio.start_server(self._check, *self.address, backlog=100)

    async def _check(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = 200 if self.state == "ready" else 503
            writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """End the host; its flows are gone."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        if self._health is not None:
            self._health.close()
        for task in self._tasks:
            task.cancel()

    def entry(self) -> dict[str, object]:
        """Return what the host writes of itself under `servers/ID`."""
        return {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "maxConcurrency": self.slots, "state": self.state,
            "coldLeftMs": 0, "sequence": 1, "born": self.born,
        }  # fmt: skip

    def _read(self) -> None:
        try:
            for _ in range(64):
                datagram, sender = self._socket.recvfrom(2048)
                if int.from_bytes(datagram[:8], "big") in (0, self.number):
                    self._take(decode(datagram[8:]), sender[0])
        except BlockingIOError:
            pass

    def _take(self, packet: Packet, through: str) -> None:
        if packet.sum != keyed_sum(packet):
            self._site.record("forged", host=self.ident, packet=packet)
            return
        key = packet.src, packet.sport, packet.dst, packet.dport
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or (
                not flow.is_open and flow.expected != packet.seq + 1 & SEQUENCE_MASK
            ):
                own = random.randrange(2**32)
                flow = self.flows[key] = Flow(key, own, packet.seq + 1 & SEQUENCE_MASK, packet.echo)
            if not flow.is_open:
                self._site.host_took_open(self, packet, through)
                self._send(flow, SYN | ACK, flow.own)
            return
        if flow is None:
            if not packet.flags & RST:
                self._site.record("host_reset", host=self.ident, port=packet.sport)
                self._answer(key, RST | ACK, packet.ack, 0, packet.echo, b"")
            return
        self._site.host_took(self, packet, through)
        flow.echo = packet.echo
        if packet.flags & RST:
            self._drop(flow)
            return
        if not flow.is_open:
            if packet.ack != flow.own + 1 & SEQUENCE_MASK:
                # The requester has opened this flow at another host.
                del self.flows[key]
                self._answer(key, RST | ACK, packet.ack, 0, packet.echo, b"")
                return
            flow.is_open, flow.own = True, packet.ack
            flow.confirmed = packet.ack
            self._site.flow_opened(self, packet.sport, through)
        if 0 < (packet.ack - flow.confirmed) & SEQUENCE_MASK < 2**31:
            flow.confirmed = packet.ack
        if packet.data:
            if packet.seq == flow.expected:
                flow.expected = packet.seq + len(packet.data) & SEQUENCE_MASK
                flow.unconfirmed += 1
                self._spawn(self._run(flow, packet.data))
            else:
                flow.unconfirmed += 1
            if flow.unconfirmed >= 2:
                flow.unconfirmed = 0
                self._send(flow, ACK, flow.own)
        if packet.flags & FIN:
            self._send(flow, ACK | FIN, flow.own)
            self._drop(flow)

    async def _run(self, flow: Flow, request: bytes) -> None:
        """Run one request, which is one packet long, and answer it."""
        name = NAME.search(request)[1].decode()
        async with self._gate:
            self._site.host_ran(self, name)
            await asyncio.sleep(int(WORK.search(request)[1]) / 1000)
        body = f"{name} by {self.ident}".encode()
        head = f"HTTP/1.1 200 OK\r\nX-Server-Signature: {self.ident}\r\nContent-Length: {len(body)}\r\n\r\n"
        data = head.encode() + body
        begin = flow.own
        end = flow.own = begin + len(data) & SEQUENCE_MASK
        wait_s = FIRST_RETRANSMIT_S
        for _ in range(MAX_RETRANSMITS + 1):
            if self.flows.get(flow.key) is not flow:
                return
            flow.unconfirmed = 0
            self._send(flow, ACK, begin, data)
            await asyncio.sleep(wait_s)
            if (flow.confirmed - end) & SEQUENCE_MASK < 2**31:
                return
            wait_s = min(MAX_RETRANSMIT_S, wait_s * 2)

    def _drop(self, flow: Flow) -> None:
        self.flows.pop(flow.key, None)

    def _send(self, flow: Flow, flags: int, seq: int, data: bytes = b"") -> None:
        self._answer(flow.key, flags, seq, flow.expected, flow.echo, data)

    def _answer(
        self, key: tuple[int, int, int, int], flags: int, seq: int, ack: int, echo: int, data: bytes
    ) -> None:
        source, sport, destination, dport = key
        packet = Packet(seq, ack, 0, echo, flags, destination, source, dport, sport, data)
        try:
            self._socket.sendto(encode(packet), (ip_text(source), self._site.packet_port))
        except OSError:
            pass

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
