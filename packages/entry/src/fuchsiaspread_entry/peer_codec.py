"""Convert messages between entry VMs from and to their protobuf form."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from ipaddress import IPv4Address
from typing import assert_never

from fuchsiaspread_core.configuration import Revision
from fuchsiaspread_core.control import ControlMessage, Probe, ProbeAnswer, ProbeRequest
from fuchsiaspread_core.events import RecordsReceived
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
from fuchsiaspread_core.relay import (
    MAX_RELAY_HOPS,
    FormerTarget,
    Relay,
    RelayAsk,
    RelayCopy,
    RelayOpen,
    RelayReply,
    RelayReturn,
    RelayToManager,
    RelayUnknown,
    ShardKey,
)
from google.protobuf.message import DecodeError

from .messages import peer_pb2

# Names come from files that the operator writes; longer ones are not accepted there either.
MAX_NAME_LENGTH = 128
MAX_PORT = 65535


class PeerFault(StrEnum):
    """Name why a peer datagram was dropped."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    UNKNOWN_KEY = "unknown_key"
    BAD_TAG = "bad_tag"
    MALFORMED = "malformed"
    WRONG_RECEIVER = "wrong_receiver"
    UNKNOWN_SENDER = "unknown_sender"
    FORMER_BOOT = "former_boot"
    REPLAYED = "replayed"


class _Malformed(ValueError):
    """Report a field that is out of its range; handled in this module."""


@dataclass(frozen=True, slots=True)
class RelayedPacket:
    """Hold a relayed packet and its relay header."""

    relay: Relay
    payload: bytes


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Hold the content of one peer datagram."""

    sender: EntryName
    receiver: EntryName
    boot: int
    sequence: int
    packets: tuple[RelayedPacket, ...] = ()
    controls: tuple[ControlMessage, ...] = ()
    receiver_boot: int = 0


def encode_message(message: PeerMessage) -> bytes:
    """Return the protobuf form of a peer message."""
    encoded = peer_pb2.PeerMessage(
        sender=message.sender,
        receiver=message.receiver,
        boot=message.boot,
        sequence=message.sequence,
        receiver_boot=message.receiver_boot,
    )
    for packet in message.packets:
        _put_relay(encoded.packets.add(payload=packet.payload), packet.relay)
    for control in message.controls:
        _put_control(encoded.controls.add(), control)
    return encoded.SerializeToString()


def decode_message(data: bytes) -> PeerMessage | PeerFault:
    """Decode a peer message; every field is checked against its range."""
    try:
        encoded = peer_pb2.PeerMessage.FromString(data)
        return PeerMessage(
            EntryName(_name(encoded.sender)),
            EntryName(_name(encoded.receiver)),
            encoded.boot,
            encoded.sequence,
            tuple([RelayedPacket(_relay(item), item.payload) for item in encoded.packets]),
            tuple([_control(item) for item in encoded.controls]),
            encoded.receiver_boot,
        )
    except (DecodeError, _Malformed):
        return PeerFault.MALFORMED


def encode_records(
    records: Iterable[FlowRecord], is_last: bool, former_targets: Iterable[FormerTarget] = ()
) -> peer_pb2.TransferRecordsRequest:
    """Return the request that hands over flow records."""
    return peer_pb2.TransferRecordsRequest(
        records=[_record_message(record) for record in records],
        is_last=is_last,
        former_targets=[_former_target_message(former) for former in former_targets],
    )


def decode_records(
    sender: EntryName, request: peer_pb2.TransferRecordsRequest
) -> RecordsReceived | PeerFault:
    """Return the event of a hand-over."""
    try:
        records = tuple([_record(item) for item in request.records])
        former = tuple([_former_target(item) for item in request.former_targets])
        return RecordsReceived(sender, records, request.is_last, former)
    except _Malformed:
        return PeerFault.MALFORMED


def encode_parts(in_force: Sequence[Part], newest: Sequence[Part]) -> peer_pb2.FetchPartsAnswer:
    """Return the answer that carries configuration parts."""
    return peer_pb2.FetchPartsAnswer(
        in_force=[_part_message(part) for part in in_force],
        newest=[_part_message(part) for part in newest],
    )


def decode_parts(
    answer: peer_pb2.FetchPartsAnswer,
) -> tuple[tuple[Part, ...], tuple[Part, ...]] | PeerFault:
    """Return the parts in force and the newest parts of a peer's answer."""
    try:
        return (
            tuple([_part(item) for item in answer.in_force]),
            tuple([_part(item) for item in answer.newest]),
        )
    except _Malformed:
        return PeerFault.MALFORMED


def _put_relay(encoded: peer_pb2.RelayedPacket, relay: Relay) -> None:
    encoded.hops = relay.hops
    match relay:
        case RelayUnknown():
            encoded.unknown.SetInParent()
        case RelayReply(target=target):
            encoded.reply.target = target
        case RelayCopy(record=record, next_stops=next_stops):
            encoded.copy.record.CopyFrom(_record_message(record))
            encoded.copy.next_stops.extend(next_stops)
        case RelayOpen(shard=shard, tried=tried, revision=revision):
            opened = encoded.open
            opened.service, opened.zone = shard.service, shard.zone
            opened.tried.extend(tried)
            opened.revision.base, opened.revision.overlay = revision
        case RelayToManager():
            encoded.to_manager.SetInParent()
        case RelayAsk(home=home, next_asked=next_asked):
            encoded.ask.home = home
            encoded.ask.next_asked.extend(next_asked)
        case RelayReturn(record=record):
            encoded.returned.SetInParent()
            if record is not None:
                encoded.returned.record.CopyFrom(_record_message(record))
        case _:
            assert_never(relay)


def _relay(encoded: peer_pb2.RelayedPacket) -> Relay:
    hops = encoded.hops
    if hops > MAX_RELAY_HOPS:
        raise _Malformed("hops")
    match encoded.WhichOneof("relay"):
        case "unknown":
            return RelayUnknown(hops)
        case "reply":
            return RelayReply(TargetName(_name(encoded.reply.target)), hops)
        case "copy":
            copy = encoded.copy
            return RelayCopy(_record(copy.record), _entry_names(copy.next_stops), hops)
        case "open":
            return _relay_open(encoded.open, hops)
        case "to_manager":
            return RelayToManager(hops)
        case "ask":
            ask = encoded.ask
            return RelayAsk(EntryName(_name(ask.home)), _entry_names(ask.next_asked), hops)
        case "returned":
            returned = encoded.returned
            record = _record(returned.record) if returned.HasField("record") else None
            return RelayReturn(record, hops)
        case _:
            raise _Malformed("relay")


def _relay_open(encoded: peer_pb2.RelayOpen, hops: int) -> RelayOpen:
    return RelayOpen(
        ShardKey(ServiceName(_name(encoded.service)), ZoneName(_name(encoded.zone))),
        tuple([ZoneName(_name(zone)) for zone in encoded.tried]),
        _revision(encoded.revision),
        hops,
    )


def _put_control(encoded: peer_pb2.Control, message: ControlMessage) -> None:
    match message:
        case Probe():
            encoded.kind = peer_pb2.Control.PROBE
        case ProbeAnswer(subject=subject):
            encoded.kind = peer_pb2.Control.PROBE_ANSWER
            encoded.subject = subject
        case ProbeRequest(subject=subject):
            encoded.kind = peer_pb2.Control.PROBE_REQUEST
            encoded.subject = subject
        case _:
            assert_never(message)
    encoded.sequence = message.sequence
    encoded.revision.base, encoded.revision.overlay = message.revision
    encoded.updates.extend([_member_message(member) for member in message.updates])


def _control(encoded: peer_pb2.Control) -> ControlMessage:
    sequence, revision = encoded.sequence, _revision(encoded.revision)
    updates = tuple([_member(item) for item in encoded.updates])
    match encoded.kind:
        case peer_pb2.Control.PROBE:
            return Probe(sequence, revision, updates)
        case peer_pb2.Control.PROBE_ANSWER:
            subject = EntryName(_name(encoded.subject))
            return ProbeAnswer(sequence, subject, revision, updates)
        case peer_pb2.Control.PROBE_REQUEST:
            subject = EntryName(_name(encoded.subject))
            return ProbeRequest(sequence, subject, revision, updates)
        case _:
            raise _Malformed("kind")


def _record_message(record: FlowRecord) -> peer_pb2.FlowRecord:
    return peer_pb2.FlowRecord(
        flow=record.flow,
        target=record.target,
        phase=record.phase,
        caller_token=record.caller_token,
        target_token=record.target_token,
    )


def _record(encoded: peer_pb2.FlowRecord) -> FlowRecord:
    if len(encoded.flow) != FLOW_KEY_LENGTH_BYTES or encoded.phase not in PHASES:
        raise _Malformed("record")
    # A queued record has no target yet, hence an empty name.
    if len(encoded.target) > MAX_NAME_LENGTH:
        raise _Malformed("target")
    return FlowRecord(
        FlowKey(encoded.flow),
        TargetName(encoded.target),
        Phase(encoded.phase),
        encoded.caller_token,
        encoded.target_token,
    )


def _former_target_message(former: FormerTarget) -> peer_pb2.FormerTarget:
    return peer_pb2.FormerTarget(
        name=former.name,
        service=former.shard.service,
        zone=former.shard.zone,
        tunnel=_endpoint_message(former.tunnel),
    )


def _former_target(encoded: peer_pb2.FormerTarget) -> FormerTarget:
    shard = ShardKey(ServiceName(_name(encoded.service)), ZoneName(_name(encoded.zone)))
    return FormerTarget(TargetName(_name(encoded.name)), shard, _endpoint(encoded.tunnel))


def _member_message(member: Member) -> peer_pb2.Member:
    return peer_pb2.Member(
        name=member.name,
        zone=member.zone,
        peer=_endpoint_message(member.peer),
        control=_endpoint_message(member.control),
        incarnation=member.incarnation,
        state=member.state,
    )


def _member(encoded: peer_pb2.Member) -> Member:
    if encoded.state not in MEMBER_STATES:
        raise _Malformed("state")
    return Member(
        EntryName(_name(encoded.name)),
        ZoneName(_name(encoded.zone)),
        _endpoint(encoded.peer),
        _endpoint(encoded.control),
        encoded.incarnation,
        MemberState(encoded.state),
    )


def _endpoint_message(endpoint: Endpoint) -> peer_pb2.Endpoint:
    return peer_pb2.Endpoint(host=int(IPv4Address(endpoint.host)), port=endpoint.port)


def _endpoint(encoded: peer_pb2.Endpoint) -> Endpoint:
    if not 0 < encoded.port <= MAX_PORT:
        raise _Malformed("port")
    return Endpoint(str(IPv4Address(encoded.host)), encoded.port)


def _revision(encoded: peer_pb2.Revision) -> Revision:
    return Revision(encoded.base, encoded.overlay)


def _part_message(part: Part) -> peer_pb2.Part:
    return peer_pb2.Part(name=part.name, index=part.index, content=part.content)


def _part(encoded: peer_pb2.Part) -> Part:
    if encoded.name not in PART_NAMES:
        raise _Malformed("part")
    return Part(PartName(encoded.name), encoded.index, encoded.content)


def _entry_names(names: Iterable[str]) -> tuple[EntryName, ...]:
    return tuple([EntryName(_name(name)) for name in names])


def _name(name: str) -> str:
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise _Malformed("name")
    return name


PHASES = frozenset(int(phase) for phase in Phase)
MEMBER_STATES = frozenset(int(state) for state in MemberState)
PART_NAMES = frozenset(str(name) for name in PartName)
