"""TCP segments as data classes, and their encoding as IPv4 packets."""

from dataclasses import dataclass
from ipaddress import IPv4Address

import dpkt
from fuchsiaspread_core.identifiers import Endpoint

FIN, SYN, RST, ACK = dpkt.tcp.TH_FIN, dpkt.tcp.TH_SYN, dpkt.tcp.TH_RST, dpkt.tcp.TH_ACK
SEQUENCE_MASK = 0xFFFFFFFF
WINDOW_BYTES = 65_535


@dataclass(frozen=True, slots=True)
class Segment:
    """Hold the fields of a TCP segment that the stand-ins use."""

    source: Endpoint
    destination: Endpoint
    flags: int
    sequence: int
    ack_number: int = 0
    data: bytes = b""

    @property
    def length(self) -> int:
        """Return how many sequence numbers the segment consumes."""
        return len(self.data) + bool(self.flags & SYN) + bool(self.flags & FIN)


@dataclass(frozen=True, slots=True)
class Malformed:
    """Report a packet that is not an IPv4 packet with a TCP segment."""

    reason: str


def distance(sequence: int, reference: int) -> int:
    """Return how far a sequence number is ahead of another, negative if it is behind."""
    gap = (sequence - reference) & SEQUENCE_MASK
    return gap - (SEQUENCE_MASK + 1) if gap > SEQUENCE_MASK >> 1 else gap


def encode(segment: Segment) -> bytes:
    """Encode a segment as an IPv4 packet."""
    tcp = dpkt.tcp.TCP(
        sport=segment.source.port,
        dport=segment.destination.port,
        seq=segment.sequence,
        ack=segment.ack_number,
        flags=segment.flags,
        win=WINDOW_BYTES,
        data=segment.data,
    )
    packet = dpkt.ip.IP(
        src=IPv4Address(segment.source.host).packed,
        dst=IPv4Address(segment.destination.host).packed,
        p=dpkt.ip.IP_PROTO_TCP,
        ttl=64,
        data=tcp,
    )
    packet.len = len(packet)
    return bytes(packet)


def decode(packet: bytes) -> Segment | Malformed:
    """Decode the TCP segment in an IPv4 packet."""
    try:
        outer = dpkt.ip.IP(packet)
    except (dpkt.UnpackError, ValueError) as error:
        return Malformed(str(error))
    tcp = outer.data
    if not isinstance(tcp, dpkt.tcp.TCP):
        return Malformed("no TCP segment")
    return Segment(
        Endpoint(str(IPv4Address(outer.src)), tcp.sport),
        Endpoint(str(IPv4Address(outer.dst)), tcp.dport),
        tcp.flags,
        tcp.seq,
        tcp.ack,
        bytes(tcp.data),
    )


def reset_for(segment: Segment) -> Segment | None:
    """Return the reset that answers a segment of an unknown connection; resets get none."""
    if segment.flags & RST:
        return None
    if segment.flags & ACK:
        return Segment(segment.destination, segment.source, RST, segment.ack_number)
    ack_number = (segment.sequence + segment.length) & SEQUENCE_MASK
    return Segment(segment.destination, segment.source, RST | ACK, 0, ack_number)
