"""Subjects of the packet benchmarks: the daemon and two plain relay loops."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

from fuchsiaspread_configuration import FabricSettings, PeerKey, Settings
from fuchsiaspread_core.events import (
    CallerData,
    CallerOpen,
    Event,
    MembersPublished,
    PartPublished,
    TargetAccept,
)
from fuchsiaspread_core.identifiers import Endpoint, EntryName, ZoneName
from fuchsiaspread_core.parts import Part, PartName
from fuchsiaspread_entry.daemon import Daemon, create_log

from .packet_samples import CALLER_TOKEN, SERVICE, TARGET_TOKEN, flow_of

HOST = "127.0.90.1"
ZONE = ZoneName("zone-a")
BUFFER_BYTES = 4 * 1024 * 1024
DRAIN_LIMIT = 64
BASE_FILE = """
services:
  - name: order-desk
    slots: 3
    connections: 60000
    objective: {{unbroken_share: 0.9999, in_time_share: 0.99, period_days: 30}}
    addresses:
      - {{name: screens, address: "{service}", kind: stream, open_deadline_ms: 2000}}
    targets:
      - {{name: desk-1, tunnel: "{tunnel}", zone: zone-a, weight: 1, state: active}}
"""


class CallbackRelay:
    """Relay datagrams in an event loop reader callback that drains the socket."""

    def __init__(self, destination: Endpoint) -> None:
        self._destination = destination
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._socket.setblocking(False)
        self._socket.bind((HOST, 0))
        self.address = Endpoint(*self._socket.getsockname())

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Endpoint]:
        """Relay for the duration of the context."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._drain)
        try:
            yield self.address
        finally:
            loop.remove_reader(self._socket)
            self._socket.close()

    def _drain(self) -> None:
        receive, send, destination = self._socket.recv, self._socket.sendto, self._destination
        try:
            for _ in range(DRAIN_LIMIT):
                send(receive(2048), destination)
        except OSError:
            return


class _RelayProtocol(asyncio.DatagramProtocol):
    def __init__(self, destination: Endpoint) -> None:
        self._destination = destination

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._transport.sendto(data, self._destination)


@asynccontextmanager
async def asyncio_relay(destination: Endpoint) -> AsyncIterator[Endpoint]:
    """Relay datagrams through an asyncio datagram endpoint for the duration of the context."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    opened.setblocking(False)
    opened.bind((HOST, 0))
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _RelayProtocol(destination), sock=opened
    )
    try:
        yield Endpoint(*opened.getsockname())
    finally:
        transport.close()


@asynccontextmanager
async def daemon(gateway: Endpoint, tunnel: Endpoint, open_flows: int) -> AsyncIterator[Endpoint]:
    """Run a daemon as the only entry VM of its site, with some established flows."""
    settings = Settings(
        name=EntryName("entry-1"),
        site="bench",
        zone=ZONE,
        fabric=FabricSettings(Endpoint(HOST, 0), gateway),
        peer=Endpoint(HOST, 0),
        control=Endpoint(HOST, 0),
        admin=Endpoint(HOST, 0),
        # Nothing listens on the discard port; the configuration is passed in directly.
        platform=(Endpoint(HOST, 9),),
        keys=(PeerKey(1, bytes(32)),),
        log="error",
    )
    subject = Daemon(settings, create_log(settings))
    running = asyncio.create_task(subject.run())
    subject.submit_events(_configuration(settings, tunnel))
    subject.submit_events(_established(open_flows, tunnel))
    try:
        yield subject.addresses.fabric
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


def _configuration(settings: Settings, tunnel: Endpoint) -> list[Event]:
    content = BASE_FILE.format(
        service="{}:{}".format(*SERVICE), tunnel="{}:{}".format(*tunnel)
    ).encode()
    return [
        MembersPublished((settings.member(),)),
        PartPublished(Part(PartName.BASE, 1, content)),
        PartPublished(Part(PartName.OVERLAY, 1, b"services: []")),
    ]


def _established(count: int, tunnel: Endpoint) -> list[Event]:
    events: list[Event] = []
    for flow in map(flow_of, range(count)):
        events.append(CallerOpen(flow, CALLER_TOKEN, b""))
        accept = TargetAccept(flow, TARGET_TOKEN, CALLER_TOKEN + 1, tunnel.host, b"")
        events.append(accept)
        events.append(CallerData(flow, TARGET_TOKEN + 1, b""))
    return events
