"""Encode messages between entry VMs as protobuf and decode them."""

from dataclasses import dataclass
from typing import assert_never

from fuchsiaspread_core.control import ControlMessage, Probe, ProbeAnswer, ProbeRequest
from fuchsiaspread_core.identifiers import (
    EntryName,
    ServiceName,
    TargetName,
    ZoneName,
)
from fuchsiaspread_core.relay import (
    MAX_RELAY_HOPS,
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

from .internal.peer_fields import (
    Malformed,
    PeerFault,
    member_message,
    read_entry_names,
    read_member,
    read_name,
    read_record,
    read_revision,
    record_message,
)
from .messages import peer_pb2


@dataclass(frozen=True, slots=True)
class RelayedPacket:
    """Hold a relayed packet and its relay header."""

    relay: Relay
    payload: bytes


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Hold the content of one peer datagram.

    `receiver_boot` is the boot number that the sender knows of the receiver, or 0.
    """

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
    """Decode a peer message and validate the range of every field."""
    try:
        encoded = peer_pb2.PeerMessage.FromString(data)
        return PeerMessage(
            EntryName(read_name(encoded.sender)),
            EntryName(read_name(encoded.receiver)),
            encoded.boot,
            encoded.sequence,
            tuple([RelayedPacket(_read_relay(item), item.payload) for item in encoded.packets]),
            tuple([_read_control(item) for item in encoded.controls]),
            encoded.receiver_boot,
        )
    except (DecodeError, Malformed):
        return PeerFault.MALFORMED


def _put_relay(encoded: peer_pb2.RelayedPacket, relay: Relay) -> None:
    encoded.hops = relay.hops
    match relay:
        case RelayUnknown():
            encoded.unknown.SetInParent()
        case RelayReply(target=target):
            encoded.reply.target = target
        case RelayCopy(record=record, next_stops=next_stops):
            encoded.copy.record.CopyFrom(record_message(record))
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
                encoded.returned.record.CopyFrom(record_message(record))
        case _:
            assert_never(relay)


def _read_relay(encoded: peer_pb2.RelayedPacket) -> Relay:
    hops = encoded.hops
    if hops > MAX_RELAY_HOPS:
        raise Malformed("hops")
    match encoded.WhichOneof("relay"):
        case "unknown":
            return RelayUnknown(hops)
        case "reply":
            return RelayReply(TargetName(read_name(encoded.reply.target)), hops)
        case "copy":
            copy = encoded.copy
            return RelayCopy(read_record(copy.record), read_entry_names(copy.next_stops), hops)
        case "open":
            return _read_relay_open(encoded.open, hops)
        case "to_manager":
            return RelayToManager(hops)
        case "ask":
            ask = encoded.ask
            return RelayAsk(EntryName(read_name(ask.home)), read_entry_names(ask.next_asked), hops)
        case "returned":
            returned = encoded.returned
            record = read_record(returned.record) if returned.HasField("record") else None
            return RelayReturn(record, hops)
        case _:
            raise Malformed("relay")


def _read_relay_open(encoded: peer_pb2.RelayOpen, hops: int) -> RelayOpen:
    return RelayOpen(
        ShardKey(ServiceName(read_name(encoded.service)), ZoneName(read_name(encoded.zone))),
        tuple([ZoneName(read_name(zone)) for zone in encoded.tried]),
        read_revision(encoded.revision),
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
    encoded.newest.base, encoded.newest.overlay = message.newest
    encoded.updates.extend([member_message(member) for member in message.updates])


def _read_control(encoded: peer_pb2.Control) -> ControlMessage:
    sequence, revision = encoded.sequence, read_revision(encoded.revision)
    newest = read_revision(encoded.newest)
    updates = tuple([read_member(item) for item in encoded.updates])
    match encoded.kind:
        case peer_pb2.Control.PROBE:
            return Probe(sequence, revision, updates, newest)
        case peer_pb2.Control.PROBE_ANSWER:
            subject = EntryName(read_name(encoded.subject))
            return ProbeAnswer(sequence, subject, revision, updates, newest)
        case peer_pb2.Control.PROBE_REQUEST:
            subject = EntryName(read_name(encoded.subject))
            return ProbeRequest(sequence, subject, revision, updates, newest)
        case _:
            raise Malformed("kind")
