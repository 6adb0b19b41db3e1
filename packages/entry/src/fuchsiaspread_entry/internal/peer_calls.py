"""gRPC calls between entry VMs, authenticated in both directions."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from fuchsiaspread_core.effects import SendRecords
from fuchsiaspread_core.events import PartsReceived
from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_core.members import Member
from google.protobuf.message import Message
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from ..messages.peer_grpc import PeerServiceStub
from ..messages.peer_pb2 import FetchPartsAnswer, FetchPartsRequest, TransferRecordsRequest
from ..transfer_codec import decode_parts, encode_records
from .authentication import Keyring
from .call_authentication import CallClaims, digest_of, sign_call, verify_call
from .peer_fields import PeerFault

CALL_TIMEOUT_S = 3.0
# About 100 KB per call, so that a transfer does not block the event loop.
RECORDS_PER_CALL = 2000
ANSWER_SUFFIX = "/answer"

CallError = (GRPCError, StreamTerminatedError, ProtocolError, H2Error, OSError, TimeoutError)


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Report that a call failed or had no usable response."""

    peer: EntryName
    cause: str


class PeerClient:
    """Call other entry VMs; owns the sequence number of the calls and the current keyring."""

    def __init__(self, local_name: EntryName, boot: int, keyring: Keyring) -> None:
        self._local_name = local_name
        self._boot = boot
        self._sequence = 0
        self.keyring = keyring
        self.boots: dict[EntryName, int] = {}

    async def fetch_parts(self, peer: Member) -> PartsReceived | CallFailed:
        """Fetch the configuration parts of a peer."""
        async with Channel(*peer.control) as channel:
            method = PeerServiceStub(channel).FetchParts
            answer = await self._call(peer, method, FetchPartsRequest())
        match answer:
            case FetchPartsAnswer():
                parts = decode_parts(answer)
                if isinstance(parts, PeerFault):
                    return CallFailed(peer.name, str(parts))
                return PartsReceived(peer.name, *parts)
            case CallFailed():
                return answer
            case _:
                return CallFailed(peer.name, "unexpected type of response")

    async def send_records(self, peer: Member, sends: Iterable[SendRecords]) -> CallFailed | None:
        """Transfer records in order; return None once the peer has accepted all of them."""
        async with Channel(*peer.control) as channel:
            method = PeerServiceStub(channel).TransferRecords
            for send in sends:
                for request in _split_requests(send):
                    answer = await self._call(peer, method, request)
                    if isinstance(answer, CallFailed):
                        return answer
        return None

    async def _call(
        self, peer: Member, method: UnaryUnaryMethod[Any, Any], request: Message
    ) -> Message | CallFailed:
        self._sequence += 1
        digest = digest_of(request.SerializeToString(deterministic=True))
        receiver_boot = self.boots.get(peer.name, 0)
        claims = CallClaims(
            self._local_name, peer.name, self._boot, self._sequence, digest, receiver_boot
        )
        metadata = sign_call(self.keyring, method.name, claims)
        try:
            async with method.open(timeout=CALL_TIMEOUT_S, metadata=metadata) as stream:
                await stream.send_message(request, end=True)
                answer = await stream.recv_message()
                metadata_of_answer = stream.initial_metadata or {}
        except CallError as error:
            return CallFailed(peer.name, str(error) or type(error).__name__)
        if answer is None:
            return CallFailed(peer.name, "no response")
        received = verify_call(self.keyring, method.name + ANSWER_SUFFIX, metadata_of_answer)
        expected = CallClaims(
            peer.name,
            self._local_name,
            self._boot,
            claims.sequence,
            digest_of(answer.SerializeToString(deterministic=True)),
        )
        if received != expected:
            cause = received if isinstance(received, PeerFault) else "response to another call"
            return CallFailed(peer.name, str(cause))
        return answer


def _split_requests(send: SendRecords) -> list[TransferRecordsRequest]:
    starts = range(0, max(len(send.records), 1), RECORDS_PER_CALL)
    return [
        encode_records(
            send.records[start : start + RECORDS_PER_CALL],
            is_last=send.is_last and start == starts[-1],
            former_targets=send.former_targets if start == 0 else (),
        )
        for start in starts
    ]
