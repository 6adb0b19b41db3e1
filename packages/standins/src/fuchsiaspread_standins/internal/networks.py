"""Reservation of loopback networks, so that concurrent runs use different addresses."""

import contextlib
import os
import socket
from dataclasses import dataclass

FIRST_OCTET, LAST_OCTET = 16, 250
# The last two octets and the port of the address that the lock socket is bound to.
LOCK_HOST, LOCK_PORT = "0.250", 6099


@dataclass(frozen=True, slots=True)
class Network:
    """A reservation of 127.<second_octet>.0.0/16 that lasts while the socket `lock` is open."""

    second_octet: int
    lock: socket.socket

    def release(self) -> None:
        """Release the network for other runs."""
        self.lock.close()


def reserve_fixed_network(second_octet: int) -> Network:
    """Reserve the network 127.<second_octet>.0.0/16.

    Errors: OSError if another run has reserved it.
    """
    lock = socket.socket()
    try:
        lock.bind((f"127.{second_octet}.{LOCK_HOST}", LOCK_PORT))
    except OSError:
        lock.close()
        raise
    return Network(second_octet, lock)


def reserve_network() -> Network:
    """Reserve a network that no other run uses; a bound socket serves as the lock."""
    count = LAST_OCTET - FIRST_OCTET
    for number in range(count):
        second_octet = FIRST_OCTET + (os.getpid() + number) % count
        with contextlib.suppress(OSError):
            return reserve_fixed_network(second_octet)
    raise OSError("all loopback networks are in use; end the other runs first")
