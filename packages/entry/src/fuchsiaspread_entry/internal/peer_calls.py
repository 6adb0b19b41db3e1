"""gRPC calls from one entry VM to another, proven in both directions."""

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
from .peer_fields import PeerFault
from .proof import CallProof, check_call, digest_of, sign_call

CALL_TIMEOUT_S = 3.0
# About 100 KB for each call, so that a transfer does not hold up the event loop.
RECORDS_PER_CALL = 2000
ANSWER_SUFFIX = "/answer"

CallError = (GRPCError, StreamTerminatedError, ProtocolError, H2Error, OSError, TimeoutError)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Report that a call had no usable answer."""

    peer: EntryName
    cause: str


class PeerCaller:
    """Call other entry VMs; owns the call numbers and the newest keyring."""

    def __init__(self, me: EntryName, boot: int, keyring: Keyring) -> None:
        self._me = me
        self._boot = boot
        self._sequence = 0
        self.keyring = keyring
        self.boots: dict[EntryName, int] = {}

    async def fetch_parts(self, peer: Member) -> PartsReceived | Unreachable:
        """Fetch the configuration parts of a peer."""
        async with Channel(*peer.control) as channel:
            method = PeerServiceStub(channel).FetchParts
            answer = await self._call(peer, method, FetchPartsRequest())
        match answer:
            case FetchPartsAnswer():
                parts = decode_parts(answer)
                if isinstance(parts, PeerFault):
                    return Unreachable(peer.name, str(parts))
                return PartsReceived(peer.name, *parts)
            case Unreachable():
                return answer
            case _:
                return Unreachable(peer.name, "unexpected answer")

    async def send_records(self, peer: Member, sends: Iterable[SendRecords]) -> Unreachable | None:
        """Hand records over in order; return None when the peer has taken all of them."""
        async with Channel(*peer.control) as channel:
            method = PeerServiceStub(channel).TransferRecords
            for send in sends:
                for request in _requests(send):
                    answer = await self._call(peer, method, request)
                    if isinstance(answer, Unreachable):
                        return answer
        return None

    async def _call(
        self, peer: Member, method: UnaryUnaryMethod[Any, Any], request: Message
    ) -> Message | Unreachable:
        self._sequence += 1
        digest = digest_of(request.SerializeToString(deterministic=True))
        receiver_boot = self.boots.get(peer.name, 0)
        proof = CallProof(self._me, peer.name, self._boot, self._sequence, digest, receiver_boot)
        metadata = sign_call(self.keyring, method.name, proof)
        try:
            async with method.open(timeout=CALL_TIMEOUT_S, metadata=metadata) as stream:
                await stream.send_message(request, end=True)
                answer = await stream.recv_message()
                metadata_of_answer = stream.initial_metadata or {}
        except CallError as error:
            return Unreachable(peer.name, str(error) or type(error).__name__)
        if answer is None:
            return Unreachable(peer.name, "no answer")
        answered = check_call(self.keyring, method.name + ANSWER_SUFFIX, metadata_of_answer)
        expected = CallProof(
            peer.name,
            self._me,
            self._boot,
            proof.sequence,
            digest_of(answer.SerializeToString(deterministic=True)),
        )
        if answered != expected:
            cause = answered if isinstance(answered, PeerFault) else "answer to another call"
            return Unreachable(peer.name, str(cause))
        return answer


def _requests(send: SendRecords) -> list[TransferRecordsRequest]:
    starts = range(0, max(len(send.records), 1), RECORDS_PER_CALL)
    return [
        encode_records(
            send.records[start : start + RECORDS_PER_CALL],
            is_last=send.is_last and start == starts[-1],
            former_targets=send.former_targets if start == 0 else (),
        )
        for start in starts
    ]
