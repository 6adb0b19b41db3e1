"""Decode inner IPv4 packets of the tunnel (GUE variant 1) into packet events.

The payload of an event is the unmodified datagram, so that forwarding it needs no encoding.
"""

from enum import StrEnum
from struct import Struct

from fuchsiaspread_core.events import (
    CallerData,
    CallerEvent,
    CallerOpen,
    CallerReset,
    PacketEvent,
    TargetAccept,
    TargetClose,
    TargetData,
    TargetEvent,
    TargetReset,
)
from fuchsiaspread_core.identifiers import FlowKey
from fuchsiaspread_core.relay import Relay, RelayCopy, RelayReply

# IPv4 version and header length, total length, fragment field and protocol, then of the TCP header:
# sequence and acknowledgment numbers, data offset and flags. Addresses and ports are sliced.
HEADERS = Struct("!BxHxxHxB14xIIBB")
# The same with addresses and ports: in a reply, source and destination are swapped relative to
# the flow key.
HEADERS_WITH_ADDRESSES = Struct("!BxHxxHxBxx4s4s2s2sIIBB")
HEADERS_LENGTH_BYTES = 40
IP_HEADER_LENGTH_BYTES = 20
VERSION_4_WITHOUT_OPTIONS = 0x45
# The upper four bits of the byte are the TCP header length in 32-bit words, at least 5.
TCP_OFFSET_MIN = 0x50
TCP_PROTOCOL = 6
# More-fragments flag and fragment offset.
FRAGMENT_MASK = 0x3FFF
FIN, SYN, RST, ACK = 0x01, 0x02, 0x04, 0x10
CONTROL_FLAGS_MASK = FIN | SYN | RST | ACK
SYN_ACK = SYN | ACK


class PacketFault(StrEnum):
    """Reasons why a datagram from the tunnel is not a valid packet of a flow."""

    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    FRAGMENTED = "fragmented"
    NOT_TCP = "not_tcp"
    UNKNOWN_HOST = "unknown_host"


def decode_packet(
    packet: bytes, source_host: str, service_hosts: frozenset[bytes]
) -> PacketEvent | PacketFault:
    """Decode a packet; the configured service hosts give the direction."""
    if packet[16:20] in service_hosts:
        return decode_caller_packet(packet)
    if packet[12:16] in service_hosts:
        return decode_target_packet(packet, source_host)
    return PacketFault.TRUNCATED if len(packet) < HEADERS_LENGTH_BYTES else PacketFault.UNKNOWN_HOST


def decode_relayed_packet(packet: bytes, relay: Relay) -> PacketEvent | PacketFault:
    """Decode a relayed packet; its relay header, not the configuration, gives the direction."""
    match relay:
        case RelayReply() | RelayCopy():
            return decode_target_packet(packet, "", relay)
        case _:
            return decode_caller_packet(packet, relay)


def decode_caller_packet(packet: bytes, relay: Relay | None = None) -> CallerEvent | PacketFault:
    """Decode a packet from a caller to a service address."""
    if len(packet) < HEADERS_LENGTH_BYTES:
        return PacketFault.TRUNCATED
    version, total, fragment, protocol, sequence, ack_number, offset, flags = HEADERS.unpack_from(
        packet
    )
    if (
        version != VERSION_4_WITHOUT_OPTIONS
        or total != len(packet)
        or fragment & FRAGMENT_MASK
        or protocol != TCP_PROTOCOL
        or offset < TCP_OFFSET_MIN
        or IP_HEADER_LENGTH_BYTES + (offset >> 4) * 4 > total
    ):
        return _fault_of(packet)
    # Without IP options, addresses and ports are adjacent and in the order of the flow key.
    flow = FlowKey(packet[12:24])
    control_flags = flags & CONTROL_FLAGS_MASK
    if control_flags == ACK or control_flags == ACK | FIN:
        return CallerData(flow, ack_number, packet, relay)
    if control_flags == SYN:
        return CallerOpen(flow, sequence, packet, relay)
    if control_flags & RST and not control_flags & SYN:
        return CallerReset(flow, packet, relay)
    return PacketFault.MALFORMED


def decode_target_packet(
    packet: bytes, source_host: str, relay: Relay | None = None
) -> TargetEvent | PacketFault:
    """Decode a packet from a target to a caller; the outer source host identifies the target."""
    if len(packet) < HEADERS_LENGTH_BYTES:
        return PacketFault.TRUNCATED
    (
        version,
        total,
        fragment,
        protocol,
        source,
        destination,
        source_port,
        destination_port,
        sequence,
        ack_number,
        offset,
        flags,
    ) = HEADERS_WITH_ADDRESSES.unpack_from(packet)
    if (
        version != VERSION_4_WITHOUT_OPTIONS
        or total != len(packet)
        or fragment & FRAGMENT_MASK
        or protocol != TCP_PROTOCOL
        or offset < TCP_OFFSET_MIN
        or IP_HEADER_LENGTH_BYTES + (offset >> 4) * 4 > total
    ):
        return _fault_of(packet)
    flow = FlowKey(b"".join((destination, source, destination_port, source_port)))
    control_flags = flags & CONTROL_FLAGS_MASK
    if control_flags == ACK:
        return TargetData(flow, source_host, packet, relay)
    if control_flags == SYN_ACK:
        return TargetAccept(flow, sequence, ack_number, source_host, packet, relay)
    if control_flags == ACK | FIN:
        return TargetClose(flow, source_host, packet, relay)
    if control_flags & RST and not control_flags & SYN:
        return TargetReset(flow, sequence, source_host, packet, relay)
    return PacketFault.MALFORMED


def _fault_of(packet: bytes) -> PacketFault:
    version, total, fragment, protocol, _, _, _, _ = HEADERS.unpack_from(packet)
    if version != VERSION_4_WITHOUT_OPTIONS:
        return PacketFault.MALFORMED
    if total > len(packet):
        return PacketFault.TRUNCATED
    if fragment & FRAGMENT_MASK:
        return PacketFault.FRAGMENTED
    if protocol != TCP_PROTOCOL:
        return PacketFault.NOT_TCP
    return PacketFault.MALFORMED
