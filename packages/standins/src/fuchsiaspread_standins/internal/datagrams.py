"""Base class of the tasks that own a UDP socket and handle messages from a mailbox."""

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass

from fuchsiaspread_core.identifiers import Endpoint

# Reading several datagrams per callback takes a quarter of the time of one callback for each.
BATCH_DATAGRAMS = 64
BUFFER_BYTES = 4 * 1024 * 1024
DATAGRAM_BYTES = 65_535


@dataclass(frozen=True, slots=True)
class Datagrams:
    """Carry a batch of received datagrams with their source endpoints."""

    batch: list[tuple[bytes, Endpoint]]


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """Report that a deadline was reached."""


def now_ms() -> int:
    """Return the monotonic time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def open_socket(listen: Endpoint) -> socket.socket:
    """Return a bound non-blocking UDP socket."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    opened.setblocking(False)
    try:
        opened.bind(listen)
    except OSError:
        opened.close()
        raise
    return opened


class DatagramTask:
    """Own a UDP socket and a mailbox; subclasses handle messages and set deadlines.

    A datagram that does not fit into the send buffer is dropped, as in a network.
    """

    def __init__(self, listen: Endpoint) -> None:
        self.mailbox: asyncio.Queue[object] = asyncio.Queue()
        self._socket = open_socket(listen)
        self.endpoint = Endpoint(*self._socket.getsockname())
        self._timer: asyncio.TimerHandle | None = None
        self._timer_ms = 0

    async def run(self) -> None:
        """Handle messages until the task is cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._read_datagrams)
        try:
            while True:
                self.handle(await self.mailbox.get())
                self._arm_timer(loop)
        finally:
            loop.remove_reader(self._socket)
            if self._timer is not None:
                self._timer.cancel()
            self.close()

    def handle(self, message: object) -> None:
        """Handle one message."""
        raise NotImplementedError

    def next_deadline_ms(self) -> int | None:
        """Return when a `DeadlineReached` message is due."""
        return None

    def close(self) -> None:
        """Close the sockets."""
        self._socket.close()

    def send(self, payload: bytes, destination: Endpoint) -> None:
        """Send a datagram from the task's socket."""
        with contextlib.suppress(BlockingIOError, ConnectionRefusedError):
            self._socket.sendto(payload, destination)

    def _read_datagrams(self) -> None:
        batch = []
        for _ in range(BATCH_DATAGRAMS):
            try:
                payload, source = self._socket.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except ConnectionRefusedError:
                continue
            batch.append((payload, Endpoint(*source)))
        if batch:
            self.mailbox.put_nowait(Datagrams(batch))

    def _arm_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        deadline_ms = self.next_deadline_ms()
        if deadline_ms is None or (self._timer is not None and self._timer_ms <= deadline_ms):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_ms = deadline_ms
        delay_s = max(0, deadline_ms - now_ms()) / 1000
        self._timer = loop.call_later(delay_s, self._report_deadline)

    def _report_deadline(self) -> None:
        self._timer = None
        self.mailbox.put_nowait(DeadlineReached())
