"""Packets, messages and strategies that the tests of the daemon share."""

from dpkt.ip import IP, IP_PROTO_TCP
from dpkt.tcp import TCP
from fuchsiaspread_configuration import PeerKey
from fuchsiaspread_core.configuration import Revision
from fuchsiaspread_core.control import Probe, ProbeAnswer, ProbeRequest
from fuchsiaspread_core.flow_table import FlowRecord, Phase
from fuchsiaspread_core.identifiers import (
    Endpoint,
    EntryName,
    FlowKey,
    ServiceName,
    TargetName,
    ZoneName,
    flow_key,
)
from fuchsiaspread_core.members import Member, MemberState
from fuchsiaspread_core.relay import (
    RelayAsk,
    RelayCopy,
    RelayOpen,
    RelayReply,
    RelayReturn,
    RelayToManager,
    RelayUnknown,
    ShardKey,
)
from fuchsiaspread_entry.peer_codec import PeerMessage, RelayedPacket
from hypothesis import strategies as st

CALLER = Endpoint("10.1.0.1", 40000)
SERVICE = Endpoint("10.20.0.1", 7001)
FLOW = flow_key(CALLER, SERVICE)
SERVICE_HOSTS = frozenset({FLOW[4:8]})
OLD_KEY, NEW_KEY = PeerKey(1, bytes(range(32))), PeerKey(2, bytes(range(32, 64)))


def caller_packet(flags: int, sequence: int = 7, ack_number: int = 9, data: bytes = b"") -> bytes:
    """Return a packet from the caller to the service."""
    segment = TCP(sport=CALLER.port, dport=SERVICE.port, seq=sequence, ack=ack_number, flags=flags)
    return _packet(FLOW[:4], FLOW[4:8], segment, data)


def target_packet(flags: int, sequence: int = 7, ack_number: int = 9, data: bytes = b"") -> bytes:
    """Return a packet from the service to the caller."""
    segment = TCP(sport=SERVICE.port, dport=CALLER.port, seq=sequence, ack=ack_number, flags=flags)
    return _packet(FLOW[4:8], FLOW[:4], segment, data)


def _packet(source: bytes, destination: bytes, segment: TCP, data: bytes) -> bytes:
    segment.data = data
    packet = IP(src=source, dst=destination, p=IP_PROTO_TCP, data=segment)
    packet.len = len(packet)
    return bytes(packet)


NAMES = st.text(st.characters(min_codepoint=48, max_codepoint=122), min_size=1, max_size=12)
NUMBERS = st.integers(0, 2**63)
TOKENS = st.integers(0, 2**32 - 1)
HOPS = st.integers(0, 8)
REVISIONS = st.builds(Revision, NUMBERS, NUMBERS)
HOSTS = st.ip_addresses(v=4).map(str)
ENDPOINTS = st.builds(Endpoint, HOSTS, st.integers(1, 65535))
FLOWS = st.binary(min_size=12, max_size=12).map(FlowKey)
RECORDS = st.builds(
    FlowRecord, FLOWS, NAMES.map(TargetName), st.sampled_from(Phase), TOKENS, TOKENS
)
MEMBERS = st.builds(
    Member,
    NAMES.map(EntryName),
    NAMES.map(ZoneName),
    ENDPOINTS,
    ENDPOINTS,
    NUMBERS,
    st.sampled_from(MemberState),
)
ENTRY_NAMES = NAMES.map(EntryName)
ENTRY_NAME_TUPLES = st.lists(ENTRY_NAMES, max_size=3).map(tuple)
SHARDS = st.builds(ShardKey, NAMES.map(ServiceName), NAMES.map(ZoneName))
RELAYS = st.one_of(
    st.builds(RelayOpen, SHARDS, st.lists(NAMES.map(ZoneName)).map(tuple), REVISIONS, HOPS),
    st.builds(RelayUnknown, HOPS),
    st.builds(RelayToManager, HOPS),
    st.builds(RelayAsk, ENTRY_NAMES, ENTRY_NAME_TUPLES, HOPS),
    st.builds(RelayReturn, st.none() | RECORDS, HOPS),
    st.builds(RelayReply, NAMES.map(TargetName), HOPS),
    st.builds(RelayCopy, RECORDS, ENTRY_NAME_TUPLES, HOPS),
)
UPDATES = st.lists(MEMBERS, max_size=3).map(tuple)
CONTROLS = st.one_of(
    st.builds(Probe, NUMBERS, REVISIONS, UPDATES, REVISIONS),
    st.builds(ProbeAnswer, NUMBERS, ENTRY_NAMES, REVISIONS, UPDATES, REVISIONS),
    st.builds(ProbeRequest, NUMBERS, ENTRY_NAMES, REVISIONS, UPDATES, REVISIONS),
)
MESSAGES = st.builds(
    PeerMessage,
    ENTRY_NAMES,
    ENTRY_NAMES,
    NUMBERS,
    NUMBERS,
    st.lists(st.builds(RelayedPacket, RELAYS, st.binary(max_size=64)), max_size=3).map(tuple),
    st.lists(CONTROLS, max_size=3).map(tuple),
    NUMBERS,
)
