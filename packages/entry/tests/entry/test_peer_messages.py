"""Tests of messages between entry VMs: encoding, authentication and replay."""

import unittest

from fuchsiaspread_core.events import RecordsReceived
from fuchsiaspread_core.flow_table import FlowRecord
from fuchsiaspread_core.identifiers import (
    Endpoint,
    EntryName,
    ServiceName,
    TargetName,
    ZoneName,
)
from fuchsiaspread_core.parts import Part, PartName
from fuchsiaspread_core.relay import FormerTarget, ShardKey
from fuchsiaspread_entry.internal.authentication import REPLAY_WINDOW, Keyring, ReplayWindows
from fuchsiaspread_entry.internal.call_authentication import (
    CallClaims,
    digest_of,
    sign_call,
    verify_call,
)
from fuchsiaspread_entry.internal.peer_fields import PeerFault
from fuchsiaspread_entry.messages import peer_pb2
from fuchsiaspread_entry.peer_codec import PeerMessage, decode_message, encode_message
from fuchsiaspread_entry.transfer_codec import (
    decode_parts,
    decode_records,
    encode_parts,
    encode_records,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from .samples import MESSAGES, NEW_KEY, OLD_KEY, RECORDS

PEER = EntryName("entry-2")
PARTS = st.lists(
    st.builds(Part, st.sampled_from(PartName), st.integers(0, 2**63), st.binary(max_size=40)),
    max_size=2,
).map(tuple)


class PeerCodecTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(MESSAGES)
    def test_encoded_message_decodes_to_the_same_message(self, message: PeerMessage) -> None:
        """Guards against a field that the codec drops or swaps."""
        self.assertEqual(decode_message(encode_message(message)), message)

    @settings(derandomize=True)
    @given(st.lists(RECORDS, max_size=5), PARTS, PARTS)
    def test_encoded_records_and_parts_decode_to_the_same_values(
        self, records: list[FlowRecord], in_force: tuple[Part, ...], newest: tuple[Part, ...]
    ) -> None:
        """Guards against records or a configuration that the codec changes."""
        shard = ShardKey(ServiceName("order-desk"), ZoneName("occidente-a"))
        former = (FormerTarget(TargetName("desk-1"), shard, Endpoint("127.0.2.1", 6080)),)
        decoded = decode_records(PEER, encode_records(records, True, former))
        self.assertEqual(decoded, RecordsReceived(PEER, tuple(records), True, former))
        self.assertEqual(decode_parts(encode_parts(in_force, newest)), (in_force, newest))

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=120), MESSAGES, st.data())
    def test_arbitrary_and_mutated_messages_raise_nothing(
        self, noise: bytes, message: PeerMessage, data: st.DataObject
    ) -> None:
        """Guards against a message from a faulty peer that crashes the daemon."""
        mutated = bytearray(encode_message(message))
        position = data.draw(st.integers(0, len(mutated) - 1))
        mutated[position] = data.draw(st.integers(0, 255))
        for encoded in (noise, bytes(mutated), bytes(mutated[:position])):
            self.assertIsInstance(decode_message(encoded), PeerMessage | PeerFault)

    def test_fields_out_of_range_are_malformed(self) -> None:
        """Guards against a phase, a key length or a part name that the core cannot handle."""
        record = peer_pb2.FlowRecord(flow=b"short", target="desk-1")
        phase = peer_pb2.FlowRecord(flow=bytes(12), target="desk-1", phase=99)
        for bad in (record, phase):
            request = peer_pb2.TransferRecordsRequest(records=[bad])
            self.assertIs(decode_records(PEER, request), PeerFault.MALFORMED)
        answer = peer_pb2.FetchPartsAnswer(newest=[peer_pb2.Part(name="other")])
        self.assertIs(decode_parts(answer), PeerFault.MALFORMED)


class KeyringTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(st.binary(min_size=1, max_size=60), st.data())
    def test_changed_datagram_is_not_accepted(self, message: bytes, data: st.DataObject) -> None:
        """Guards against a tag that does not cover the whole datagram."""
        keyring = Keyring((OLD_KEY,))
        signed = keyring.sign_datagram(message)
        self.assertEqual(keyring.verify_datagram(signed), message)
        changed = bytearray(signed)
        changed[data.draw(st.integers(0, len(signed) - 1))] ^= data.draw(st.integers(1, 255))
        self.assertIn(
            keyring.verify_datagram(bytes(changed)), (PeerFault.BAD_TAG, PeerFault.UNKNOWN_KEY)
        )

    @settings(derandomize=True)
    @given(st.binary(max_size=60))
    def test_arbitrary_datagram_is_not_accepted(self, datagram: bytes) -> None:
        """Guards against an arbitrary datagram that raises an exception or is accepted."""
        self.assertIsInstance(Keyring((OLD_KEY,)).verify_datagram(datagram), PeerFault)

    def test_rotation_accepts_both_keys_and_signs_with_the_first(self) -> None:
        """Guards against entry VMs that reject each other's messages while keys are replaced."""
        before, during = Keyring((OLD_KEY,)), Keyring((NEW_KEY, OLD_KEY))
        after = Keyring((NEW_KEY,))
        self.assertEqual(during.verify_datagram(before.sign_datagram(b"probe")), b"probe")
        self.assertEqual(after.verify_datagram(during.sign_datagram(b"probe")), b"probe")
        self.assertIs(after.verify_datagram(before.sign_datagram(b"probe")), PeerFault.UNKNOWN_KEY)


class ReplayWindowsTest(unittest.TestCase):
    @settings(derandomize=True)
    @given(st.permutations(range(40)))
    def test_reordered_messages_are_accepted_once(self, sequences: list[int]) -> None:
        """Guards against accepted replays and against dropping reordered datagrams."""
        windows = ReplayWindows()
        first = [windows.accept(PEER, 1, number) for number in sequences]
        second = [windows.accept(PEER, 1, number) for number in sequences]
        self.assertEqual(first, [True] * len(sequences))
        self.assertEqual(second, [False] * len(sequences))

    def test_restarted_sender_is_accepted_and_its_former_boot_is_not(self) -> None:
        """Guards against rejecting a restarted peer, and against replays from its former boot."""
        windows = ReplayWindows()
        self.assertTrue(windows.accept(PEER, 1, 500))
        self.assertTrue(windows.accept(PEER, 2, 1))
        self.assertFalse(windows.accept(PEER, 1, 501))

    def test_message_behind_the_window_is_not_accepted(self) -> None:
        """Guards against replays of messages that are older than the window."""
        windows = ReplayWindows()
        self.assertTrue(windows.accept(PEER, 1, REPLAY_WINDOW * 3))
        self.assertTrue(windows.accept(PEER, 1, REPLAY_WINDOW * 2 + 1))
        self.assertFalse(windows.accept(PEER, 1, REPLAY_WINDOW * 2))
        self.assertTrue(windows.accept(PEER, 1, REPLAY_WINDOW * 9))
        self.assertFalse(windows.accept(PEER, 1, REPLAY_WINDOW * 3))


class CallAuthenticationTest(unittest.TestCase):
    CLAIMS = CallClaims(EntryName("entry-1"), PEER, 3, 4, digest_of(b"request"))

    def test_tag_covers_method_and_fields(self) -> None:
        """Guards against a tag that is valid for another call."""
        keyring = Keyring((OLD_KEY,))
        metadata = sign_call(keyring, "/method", self.CLAIMS)
        self.assertEqual(verify_call(keyring, "/method", metadata), self.CLAIMS)
        self.assertIs(verify_call(keyring, "/other", metadata), PeerFault.BAD_TAG)
        for name, value in (("sender", "entry-3"), ("sequence", "5"), ("digest", "00" * 16)):
            changed = metadata | {f"fuchsiaspread-{name}": value}
            self.assertIs(verify_call(keyring, "/method", changed), PeerFault.BAD_TAG)

    @settings(derandomize=True, max_examples=200)
    @given(st.sampled_from(sorted(sign_call(Keyring((OLD_KEY,)), "/", CLAIMS))), st.text())
    def test_arbitrary_metadata_raise_nothing(self, field: str, text: str) -> None:
        """Guards against metadata that crash the handling of a call."""
        keyring = Keyring((OLD_KEY,))
        metadata = sign_call(keyring, "/method", self.CLAIMS) | {field: text}
        self.assertIsInstance(verify_call(keyring, "/method", metadata), CallClaims | PeerFault)
        metadata.pop(field)
        self.assertIs(verify_call(keyring, "/method", metadata), PeerFault.MALFORMED)
