"""Run the daemon with injected socket faults: `python -m fuchsiaspread_standins.hook`.

The fault rules arrive over an inherited socket, one JSON list per message. The process exits when
the other end of that socket is closed, so that no daemon outlives the test that started it.
"""

import asyncio
import contextlib
import errno
import os
import socket
import sys
import threading
import weakref
from typing import Any

from .internal.faults import LinkFaults, decode_rules

RULES_BYTES = 65_535
ACKNOWLEDGEMENT = b"done"

# The control thread replaces the rules as one tuple; the main thread of the daemon only reads
# them, so no lock is needed.
_faults = LinkFaults(seed=0)
_own_host = ""
_broken_connections: "weakref.WeakSet[FaultySocket]" = weakref.WeakSet()
_unresponsive_endpoint: tuple[str, int] | None = None


class FaultySocket(socket.socket):
    """Apply link faults to datagrams and cuts to connections.

    A connection that loses data in a cut hangs and is shut down when the cut ends, because lost
    bytes of a stream cannot be retransmitted at this level.
    """

    def sendto(self, data: Any, *arguments: Any) -> int:
        """Send a datagram with the faults of the link."""
        destination = arguments[-1]
        if not _faults.rules:
            return super().sendto(data, *arguments)
        payload = bytes(data)
        for delay_ms in _faults.plan(_own_host, destination[0]):
            if delay_ms:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_ms / 1000, self._send_late, payload, arguments)
            else:
                super().sendto(payload, *arguments)
        return len(payload)

    def connect(self, address: Any) -> None:
        """Connect; an attempt to connect over a cut hangs."""
        if self.type == socket.SOCK_STREAM and _is_cut(address[0]):
            assert _unresponsive_endpoint is not None
            return super().connect(_unresponsive_endpoint)
        return super().connect(address)

    def send(self, data: Any, *arguments: Any) -> int:
        """Send on a connection; data sent during a cut is lost."""
        if _faults.rules and self._is_blocked():
            return len(data)
        return super().send(data, *arguments)

    def recv(self, *arguments: Any) -> bytes:
        """Receive on a connection; discard data that arrives during a cut."""
        data = super().recv(*arguments)
        if data and _faults.rules and self._is_blocked():
            raise BlockingIOError(errno.EAGAIN, "cut")
        return data

    def recv_into(self, *arguments: Any) -> int:
        """Receive on a connection; discard data that arrives during a cut."""
        count = super().recv_into(*arguments)
        if count and _faults.rules and self._is_blocked():
            raise BlockingIOError(errno.EAGAIN, "cut")
        return count

    def _is_blocked(self) -> bool:
        if self.type != socket.SOCK_STREAM or self.family != socket.AF_INET:
            return False
        try:
            peer = self.getpeername()[0]
        except OSError:
            return False
        if self not in _broken_connections and not _is_cut(peer):
            return False
        _broken_connections.add(self)
        return True

    def _send_late(self, payload: bytes, arguments: tuple[Any, ...]) -> None:
        with contextlib.suppress(OSError):
            super().sendto(payload, *arguments)


def _is_cut(peer: str) -> bool:
    return _faults.is_cut(_own_host, peer) or _faults.is_cut(peer, _own_host)


def _open_unresponsive_listener(host: str) -> list[socket.socket]:
    """Open a listener with a full backlog, so that connection attempts to it hang."""
    global _unresponsive_endpoint
    listener = socket.socket()
    listener.bind((host, 0))
    listener.listen(0)
    _unresponsive_endpoint = listener.getsockname()
    filler = socket.socket()
    filler.connect(_unresponsive_endpoint)
    return [listener, filler]


def _receive_rules(control: socket.socket) -> None:
    while received := control.recv(RULES_BYTES):
        _faults.rules = decode_rules(received)
        for broken in list(_broken_connections):
            try:
                is_healed = not _is_cut(broken.getpeername()[0])
            except OSError:
                is_healed = True
            if is_healed:
                with contextlib.suppress(OSError):
                    broken.shutdown(socket.SHUT_RDWR)
                _broken_connections.discard(broken)
        control.send(ACKNOWLEDGEMENT)
    os._exit(1)


def main() -> None:
    """Install `FaultySocket` and run the daemon with the remaining arguments."""
    global _own_host
    control_descriptor, _own_host = int(sys.argv[1]), sys.argv[2]
    listener_sockets = _open_unresponsive_listener(_own_host)
    control = socket.socket(fileno=control_descriptor)
    threading.Thread(target=_receive_rules, args=(control,), daemon=True).start()
    socket.socket = FaultySocket  # type: ignore[misc]
    sys.argv = ["fuchsiaspread-entry", *sys.argv[3:]]
    from fuchsiaspread_entry.main import main as run_entry

    status = run_entry()
    del listener_sockets
    sys.exit(status)


if __name__ == "__main__":
    main()
