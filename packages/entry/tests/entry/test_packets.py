"""Tests of the codec of tunnelled packets."""

import unittest

from dpkt import in_cksum
from dpkt.ip import IP
from dpkt.tcp import TH_ACK, TH_FIN, TH_PUSH, TH_RST, TH_SYN
from fuchsiaspread_core.events import (
    CallerData,
    CallerOpen,
    CallerReset,
    TargetAccept,
    TargetClose,
    TargetData,
    TargetReset,
)
from fuchsiaspread_core.identifiers import TargetName
from fuchsiaspread_core.relay import RelayReply, RelayUnknown
from fuchsiaspread_entry.packets import (
    PacketFault,
    decode_caller_packet,
    decode_packet,
    decode_relayed_packet,
    decode_target_packet,
)
from fuchsiaspread_entry.resets import encode_refusal
from hypothesis import given, settings
from hypothesis import strategies as st

from .samples import FLOW, SERVICE_HOSTS, caller_packet, target_packet

HOST = "127.0.2.1"
DATA = caller_packet(TH_ACK | TH_PUSH, data=b"order")


def decode(packet: bytes) -> object:
    """Decode a packet that was received from the tunnel."""
    return decode_packet(packet, HOST, SERVICE_HOSTS)


class DecodePacketTest(unittest.TestCase):
    def test_caller_packets_decode_to_the_event_of_their_flags(self) -> None:
        """Guards against an open or a reset that is treated as data, and against swapped fields."""
        opened, ended = caller_packet(TH_SYN, 5), caller_packet(TH_ACK | TH_FIN)
        reset = caller_packet(TH_RST)
        self.assertEqual(decode(opened), CallerOpen(FLOW, 5, opened))
        self.assertEqual(decode(DATA), CallerData(FLOW, 9, DATA))
        self.assertEqual(decode(ended), CallerData(FLOW, 9, ended))
        self.assertEqual(decode(reset), CallerReset(FLOW, reset))

    def test_target_packets_have_the_flow_key_of_the_caller_direction(self) -> None:
        """Guards against a reply whose flow record is not found, since its key is reversed."""
        accept, data = target_packet(TH_SYN | TH_ACK, 5, 6), target_packet(TH_ACK, data=b"x")
        close, reset = target_packet(TH_FIN | TH_ACK), target_packet(TH_RST | TH_ACK)
        self.assertEqual(decode(accept), TargetAccept(FLOW, 5, 6, HOST, accept))
        self.assertEqual(decode(data), TargetData(FLOW, HOST, data))
        self.assertEqual(decode(close), TargetClose(FLOW, HOST, close))
        self.assertEqual(decode(reset), TargetReset(FLOW, 7, HOST, reset))

    def test_relay_header_determines_the_direction(self) -> None:
        """Guards against dropping a relayed packet while the receiver has no configuration."""
        relay, reply = RelayUnknown(1), RelayReply(TargetName("desk-1"), 1)
        packet = target_packet(TH_ACK)
        self.assertEqual(decode_relayed_packet(DATA, relay), CallerData(FLOW, 9, DATA, relay))
        self.assertEqual(decode_relayed_packet(packet, reply), TargetData(FLOW, "", packet, reply))

    def test_invalid_packets_are_faults(self) -> None:
        """Guards against an invalid packet that reaches the core."""
        fragment = bytearray(DATA)
        fragment[6] = 0x20
        udp_packet = bytearray(DATA)
        udp_packet[9] = 17
        with_options = bytearray(DATA)
        with_options[0] = 0x46
        self.assertIs(decode(DATA[:39]), PacketFault.TRUNCATED)
        self.assertIs(decode(DATA[:-1]), PacketFault.TRUNCATED)
        self.assertIs(decode(DATA + b"x"), PacketFault.MALFORMED)
        self.assertIs(decode(bytes(fragment)), PacketFault.FRAGMENTED)
        self.assertIs(decode(bytes(udp_packet)), PacketFault.NOT_TCP)
        self.assertIs(decode(bytes(with_options)), PacketFault.MALFORMED)
        self.assertIs(decode(caller_packet(TH_SYN | TH_FIN)), PacketFault.MALFORMED)
        self.assertIs(decode(caller_packet(0)), PacketFault.MALFORMED)
        self.assertIs(decode(target_packet(TH_SYN)), PacketFault.MALFORMED)
        self.assertIs(decode_packet(DATA, HOST, frozenset()), PacketFault.UNKNOWN_HOST)

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=80), st.integers(0, 39), st.integers(0, 255))
    def test_arbitrary_bytes_raise_nothing(self, data: bytes, position: int, value: int) -> None:
        """Guards against a datagram that crashes the daemon."""
        mutated = bytearray(DATA)
        mutated[position] = value
        for packet in (data, bytes(mutated), bytes(mutated)[: len(data)]):
            decode(packet)
            decode_caller_packet(packet)
            decode_target_packet(packet, HOST)


class RefusalTest(unittest.TestCase):
    @settings(derandomize=True)
    @given(st.integers(0, 2**32 - 1))
    def test_refusal_acknowledges_the_syn_at_sequence_0(self, token: int) -> None:
        """Guards against a refusal that the caller ignores or that resets an established flow."""
        packet = encode_refusal(FLOW, token)
        segment = IP(packet).data
        self.assertEqual((segment.seq, segment.ack), (0, (token + 1) % 2**32))
        self.assertEqual(segment.flags, TH_RST | TH_ACK)
        pseudo_header = packet[12:20] + bytes([0, 6, 0, len(packet) - 20])
        self.assertEqual(in_cksum(packet[:20]), 0)
        self.assertEqual(in_cksum(pseudo_header + packet[20:]), 0)
        self.assertEqual(decode(packet), TargetReset(FLOW, 0, HOST, packet))
