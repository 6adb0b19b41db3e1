"""Encode the fields that messages between entry VMs share; decode and validate them."""

from collections.abc import Iterable
from enum import StrEnum
from ipaddress import IPv4Address

from fuchsiaspread_core.configuration import Revision
from fuchsiaspread_core.flow_table import FlowRecord, Phase
from fuchsiaspread_core.identifiers import (
    FLOW_KEY_LENGTH_BYTES,
    Endpoint,
    EntryName,
    FlowKey,
    ServiceName,
    TargetName,
    ZoneName,
)
from fuchsiaspread_core.members import Member, MemberState
from fuchsiaspread_core.parts import Part, PartName
from fuchsiaspread_core.relay import FormerTarget, ShardKey

from ..messages import peer_pb2

# Names come from operators' files, which do not accept longer ones either.
MAX_NAME_LENGTH = 128
MAX_PORT = 65535


class PeerFault(StrEnum):
    """Reasons for dropping a message from another entry VM."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    UNKNOWN_KEY = "unknown_key"
    BAD_TAG = "bad_tag"
    MALFORMED = "malformed"
    WRONG_RECEIVER = "wrong_receiver"
    UNKNOWN_SENDER = "unknown_sender"
    FORMER_BOOT = "former_boot"
    REPLAYED = "replayed"


class Malformed(ValueError):
    """Raised for a field that is out of range; caught by the codecs."""


def record_message(record: FlowRecord) -> peer_pb2.FlowRecord:
    """Encode a flow record."""
    return peer_pb2.FlowRecord(
        flow=record.flow,
        target=record.target,
        phase=record.phase,
        caller_token=record.caller_token,
        target_token=record.target_token,
    )


def read_record(encoded: peer_pb2.FlowRecord) -> FlowRecord:
    """Decode and validate a flow record."""
    if len(encoded.flow) != FLOW_KEY_LENGTH_BYTES or encoded.phase not in PHASES:
        raise Malformed("record")
    # A queued record has no target yet, hence an empty name.
    if len(encoded.target) > MAX_NAME_LENGTH:
        raise Malformed("target")
    return FlowRecord(
        FlowKey(encoded.flow),
        TargetName(encoded.target),
        Phase(encoded.phase),
        encoded.caller_token,
        encoded.target_token,
    )


def former_target_message(former: FormerTarget) -> peer_pb2.FormerTarget:
    """Encode a former target."""
    return peer_pb2.FormerTarget(
        name=former.name,
        service=former.shard.service,
        zone=former.shard.zone,
        tunnel=endpoint_message(former.tunnel),
    )


def read_former_target(encoded: peer_pb2.FormerTarget) -> FormerTarget:
    """Decode and validate a former target."""
    shard = ShardKey(ServiceName(read_name(encoded.service)), ZoneName(read_name(encoded.zone)))
    return FormerTarget(TargetName(read_name(encoded.name)), shard, read_endpoint(encoded.tunnel))


def member_message(member: Member) -> peer_pb2.Member:
    """Encode a member."""
    return peer_pb2.Member(
        name=member.name,
        zone=member.zone,
        peer=endpoint_message(member.peer),
        control=endpoint_message(member.control),
        incarnation=member.incarnation,
        state=member.state,
    )


def read_member(encoded: peer_pb2.Member) -> Member:
    """Decode and validate a member."""
    if encoded.state not in MEMBER_STATES:
        raise Malformed("state")
    return Member(
        EntryName(read_name(encoded.name)),
        ZoneName(read_name(encoded.zone)),
        read_endpoint(encoded.peer),
        read_endpoint(encoded.control),
        encoded.incarnation,
        MemberState(encoded.state),
    )


def endpoint_message(endpoint: Endpoint) -> peer_pb2.Endpoint:
    """Encode an endpoint."""
    return peer_pb2.Endpoint(host=int(IPv4Address(endpoint.host)), port=endpoint.port)


def read_endpoint(encoded: peer_pb2.Endpoint) -> Endpoint:
    """Decode and validate an endpoint."""
    if not 0 < encoded.port <= MAX_PORT:
        raise Malformed("port")
    return Endpoint(str(IPv4Address(encoded.host)), encoded.port)


def read_revision(encoded: peer_pb2.Revision) -> Revision:
    """Decode a revision."""
    return Revision(encoded.base, encoded.overlay)


def part_message(part: Part) -> peer_pb2.Part:
    """Encode a configuration part."""
    return peer_pb2.Part(name=part.name, index=part.index, content=part.content)


def read_part(encoded: peer_pb2.Part) -> Part:
    """Decode and validate a configuration part."""
    if encoded.name not in PART_NAMES:
        raise Malformed("part")
    return Part(PartName(encoded.name), encoded.index, encoded.content)


def read_entry_names(names: Iterable[str]) -> tuple[EntryName, ...]:
    """Validate and return names of entry VMs."""
    return tuple([EntryName(read_name(name)) for name in names])


def read_name(name: str) -> str:
    """Validate and return a name."""
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise Malformed("name")
    return name


PHASES = frozenset(int(phase) for phase in Phase)
MEMBER_STATES = frozenset(int(state) for state in MemberState)
PART_NAMES = frozenset(str(name) for name in PartName)
