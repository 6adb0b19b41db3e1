"""Encode the requests and responses of calls between entry VMs as protobuf and decode them."""

from collections.abc import Iterable, Sequence

from fuchsiaspread_core.events import RecordsReceived
from fuchsiaspread_core.flow_table import FlowRecord
from fuchsiaspread_core.identifiers import (
    EntryName,
)
from fuchsiaspread_core.parts import Part
from fuchsiaspread_core.relay import FormerTarget

from .internal.peer_fields import (
    Malformed,
    PeerFault,
    former_target_message,
    part_message,
    read_former_target,
    read_part,
    read_record,
    record_message,
)
from .messages import peer_pb2


def encode_records(
    records: Iterable[FlowRecord], is_last: bool, former_targets: Iterable[FormerTarget] = ()
) -> peer_pb2.TransferRecordsRequest:
    """Return the request that transfers flow records."""
    return peer_pb2.TransferRecordsRequest(
        records=[record_message(record) for record in records],
        is_last=is_last,
        former_targets=[former_target_message(former) for former in former_targets],
    )


def decode_records(
    sender: EntryName, request: peer_pb2.TransferRecordsRequest
) -> RecordsReceived | PeerFault:
    """Return the event for a received transfer of flow records."""
    try:
        records = tuple([read_record(item) for item in request.records])
        former = tuple([read_former_target(item) for item in request.former_targets])
        return RecordsReceived(sender, records, request.is_last, former)
    except Malformed:
        return PeerFault.MALFORMED


def encode_parts(in_force: Sequence[Part], newest: Sequence[Part]) -> peer_pb2.FetchPartsAnswer:
    """Return the response that contains configuration parts."""
    return peer_pb2.FetchPartsAnswer(
        in_force=[part_message(part) for part in in_force],
        newest=[part_message(part) for part in newest],
    )


def decode_parts(
    answer: peer_pb2.FetchPartsAnswer,
) -> tuple[tuple[Part, ...], tuple[Part, ...]] | PeerFault:
    """Return the parts in force and the newest parts in a peer's response."""
    try:
        return (
            tuple([read_part(item) for item in answer.in_force]),
            tuple([read_part(item) for item in answer.newest]),
        )
    except Malformed:
        return PeerFault.MALFORMED
