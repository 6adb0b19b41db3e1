"""Packets for the packet benchmarks, built without a packet library for speed."""

from struct import Struct, pack

from fuchsiaspread_core.identifiers import Endpoint, FlowKey, flow_key

SERVICE = Endpoint("10.20.0.1", 7001)
FIRST_CALLER_HOST = 0x0A010000
CALLER_PORT = 40000
DATAGRAM_BYTES = 200
HEADERS_BYTES = 40
FIN, SYN, ACK = 0x01, 0x02, 0x10
CALLER_TOKEN, TARGET_TOKEN = 1_000, 5_000
_HEADERS = Struct("!BBHHHBBH12sIIBBHHH")


def flow_of(number: int) -> FlowKey:
    """Return the flow key of a numbered caller."""
    host = ".".join(str(part) for part in pack("!I", FIRST_CALLER_HOST + number))
    return flow_key(Endpoint(host, CALLER_PORT), SERVICE)


def caller_packet(
    flow: FlowKey, flags: int, sequence: int, ack_number: int, length_bytes: int
) -> bytes:
    """Return a packet from the caller; checksums are 0, since the daemon forwards them unread."""
    return _packet(flow, flags, sequence, ack_number, length_bytes)


def target_packet(
    flow: FlowKey, flags: int, sequence: int, ack_number: int, length_bytes: int
) -> bytes:
    """Return a packet from the target of a flow."""
    reverse = flow[4:8] + flow[:4] + flow[10:12] + flow[8:10]
    return _packet(reverse, flags, sequence, ack_number, length_bytes)


def _packet(ends: bytes, flags: int, sequence: int, ack_number: int, length_bytes: int) -> bytes:
    header = _HEADERS.pack(
        0x45,
        0,
        length_bytes,
        0,
        0,
        64,
        6,
        0,
        ends,
        sequence,
        ack_number,
        0x50,
        flags,
        65535,
        0,
        0,
    )
    return header + bytes(length_bytes - HEADERS_BYTES)
