"""Encode the TCP reset that refuses a connection before any request on it has been run."""

from dpkt.ip import IP, IP_PROTO_TCP
from dpkt.tcp import TCP, TH_ACK, TH_RST
from fuchsiaspread_core.identifiers import FlowKey

SEQUENCE_RANGE = 2**32
TIME_TO_LIVE = 64


def encode_refusal(flow: FlowKey, caller_token: int) -> bytes:
    """Return the RST and ACK packet that answers the SYN of a flow.

    `caller_token` is the sequence number of the SYN. Sequence number 0 lies outside the window of
    an established flow, so that a caller whose flow was opened elsewhere ignores the reset.
    """
    segment = TCP(
        sport=int.from_bytes(flow[10:12], "big"),
        dport=int.from_bytes(flow[8:10], "big"),
        seq=0,
        ack=(caller_token + 1) % SEQUENCE_RANGE,
        flags=TH_RST | TH_ACK,
        win=0,
    )
    # dpkt computes both checksums when it packs the header.
    packet = IP(src=flow[4:8], dst=flow[:4], p=IP_PROTO_TCP, ttl=TIME_TO_LIVE, data=segment)
    packet.len = len(packet)
    return bytes(packet)
