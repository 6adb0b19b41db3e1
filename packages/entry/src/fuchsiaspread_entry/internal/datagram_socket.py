"""Non-blocking UDP sockets that are read in batches."""

import asyncio
import socket
from collections.abc import Callable, Iterable

from fuchsiaspread_core.identifiers import Endpoint

# One readiness callback reads at most this many datagrams, so that other tasks can run.
DRAIN_LIMIT = 64

Datagram = tuple[bytes, tuple[str, int]]


class DatagramSocket:
    """Own a UDP socket; `on_batch` is called with the datagrams of each batch."""

    def __init__(
        self, bound: socket.socket, max_bytes: int, on_batch: Callable[[list[Datagram]], None]
    ) -> None:
        self._socket = bound
        # One byte more than allowed, so that an oversized datagram is detected by its length.
        self._read_bytes = max_bytes + 1
        self._on_batch = on_batch

    @property
    def address(self) -> Endpoint:
        """Return the bound address."""
        return Endpoint(*self._socket.getsockname())

    def start(self) -> None:
        """Start reading on the running event loop."""
        asyncio.get_running_loop().add_reader(self._socket, self._drain)

    def close(self) -> None:
        """Stop reading and close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def send_all(self, datagrams: Iterable[tuple[bytes, tuple[str, int]]]) -> int:
        """Send datagrams and return how many the kernel rejected.

        These are lost, as in a network: their buffer was full or their address unreachable.
        """
        failed = 0
        send = self._socket.sendto
        for datagram, destination in datagrams:
            try:
                send(datagram, destination)
            except OSError:
                failed += 1
        return failed

    def _drain(self) -> None:
        batch: list[Datagram] = []
        receive, read_bytes, append = self._socket.recvfrom, self._read_bytes, batch.append
        try:
            for _ in range(DRAIN_LIMIT):
                append(receive(read_bytes))
        except OSError:
            # No datagram is left, or the socket reports an error of an earlier send.
            pass
        if batch:
            self._on_batch(batch)
