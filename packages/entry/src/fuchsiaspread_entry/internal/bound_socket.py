"""Bind sockets, independently of the event loop that reads from them."""

import socket

from fuchsiaspread_core.identifiers import Endpoint

# Holds about 20 ms of 200-byte datagrams at the full rate, including the kernel's overhead.
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
LISTEN_BACKLOG = 20


def bind_datagram_socket(listen: Endpoint) -> socket.socket:
    """Return a bound non-blocking UDP socket, for which the kernel buffers datagrams from now on.

    Raises OSError when the address cannot be bound.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    try:
        bound.bind(listen)
    except OSError:
        bound.close()
        raise
    return bound


def bind_named_datagram_socket(address: str) -> socket.socket | None:
    """Return a UDP socket bound to HOST:PORT, or None when the address cannot be bound."""
    host, _, port = address.rpartition(":")
    try:
        return bind_datagram_socket(Endpoint(host, int(port)))
    except (OSError, OverflowError, ValueError):
        # The code that reads the settings binds again and reports the fault with its settings key.
        return None


def bind_stream_socket(listen: Endpoint) -> socket.socket:
    """Return a non-blocking listening TCP socket.

    Raises OSError when the address cannot be bound.
    """
    bound = socket.create_server(listen, backlog=LISTEN_BACKLOG)
    bound.setblocking(False)
    return bound
