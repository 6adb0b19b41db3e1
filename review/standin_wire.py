"""The packets of PROTOCOL.md: header, flags, and a keyed sum that only the two ends know."""

import socket
import struct
import zlib
from typing import NamedTuple

HEADER = struct.Struct("<IIIIBIIHHH")
SYN, ACK, FIN, RST, BOUNCED = 32, 128, 4, 1, 16
SUM_KEY = b"ends-only"
SEQUENCE_MASK = 2**32 - 1


class Packet(NamedTuple):
    """One packet; addresses are numbers, as in the header."""

    seq: int
    ack: int
    sum: int
    echo: int
    flags: int
    src: int
    dst: int
    sport: int
    dport: int
    data: bytes


def ip_number(host: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def ip_text(number: int) -> str:
    """Return a number as an IPv4 address."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def keyed_sum(packet: Packet) -> int:
    """Return the sum over all fields but echo, pad and BOUNCED; never 0, which marks a reset."""
    flags = packet.flags & ~BOUNCED
    fields = (packet.seq, packet.ack, flags, *packet[5:9])
    return zlib.crc32(SUM_KEY + repr(fields).encode() + packet.data) or 1


def encode(packet: Packet) -> bytes:
    """Return the datagram of a packet, with its sum."""
    head = HEADER.pack(
        packet.seq, packet.ack, keyed_sum(packet), packet.echo, packet.flags,
        packet.src, packet.dst, packet.sport, packet.dport, len(packet.data),
    )  # fmt: skip
    return head + packet.data


def decode(datagram: bytes) -> Packet:
    """Return the packet of a datagram."""
    *fields, _ = HEADER.unpack_from(datagram)
    return Packet(*fields, datagram[HEADER.size :])
