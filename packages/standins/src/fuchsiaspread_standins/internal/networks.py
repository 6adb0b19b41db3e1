"""Loopback networks for runs that must not meet each other."""

import contextlib
import os
import socket
from dataclasses import dataclass

FIRST_OCTET, LAST_OCTET = 16, 250
LEASE_HOST, LEASE_PORT = "0.250", 6099


@dataclass(frozen=True, slots=True)
class Network:
    """Hold the network 127.<second_octet>.0.0/16 for as long as the socket is open."""

    second_octet: int
    lease: socket.socket

    def release(self) -> None:
        """Let another run use the network."""
        self.lease.close()


def lease_written_network(second_octet: int) -> Network:
    """Return the network that the files of an example name.

    Errors: OSError when another run holds it.
    """
    lease = socket.socket()
    try:
        lease.bind((f"127.{second_octet}.{LEASE_HOST}", LEASE_PORT))
    except OSError:
        lease.close()
        raise
    return Network(second_octet, lease)


def lease_network() -> Network:
    """Return a network that no other run holds; a bound socket is the lease."""
    count = LAST_OCTET - FIRST_OCTET
    for number in range(count):
        second_octet = FIRST_OCTET + (os.getpid() + number) % count
        with contextlib.suppress(OSError):
            return lease_written_network(second_octet)
    raise OSError("every loopback network is in use; end the other runs first")
