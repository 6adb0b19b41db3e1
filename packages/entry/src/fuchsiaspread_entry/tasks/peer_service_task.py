"""Task that transfers configuration parts and flow records between entry VMs."""

import asyncio
import socket
from typing import assert_never

from fuchsiaspread_core.effects import FetchParts, SendRecords
from fuchsiaspread_core.events import Event
from fuchsiaspread_core.identifiers import Endpoint, EntryName
from fuchsiaspread_core.members import Member
from google.protobuf.message import Message
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from ..internal.authentication import Keyring, ReplayWindows
from ..internal.counts import CountKey, Metric
from ..internal.log import Level, Log
from ..internal.mailboxes import Mailboxes
from ..internal.peer_calls import ANSWER_SUFFIX, PeerCaller, Unreachable
from ..internal.peer_fields import PeerFault
from ..internal.proof import CallProof, check_call, digest_of, sign_call
from ..internal.reporting import Reporter
from ..internal.task_messages import (
    BootHeard,
    DirectoryChanged,
    EventsReceived,
    KeysChanged,
    PartsAsked,
    PeerServiceMessage,
    QuestionFailed,
    TransfersAwaited,
)
from ..messages.peer_grpc import PeerServiceBase
from ..messages.peer_pb2 import (
    FetchPartsAnswer,
    FetchPartsRequest,
    TransferRecordsAnswer,
    TransferRecordsRequest,
)
from ..transfer_codec import decode_records, encode_parts

CORE_ANSWER_TIMEOUT_S = 2.0
# More calls at a time than this come from a fault or an attack; the rest are turned away.
MAX_CALLS = 64
BACKLOG = 100
# What a caller may send before its proof is checked; a transfer of records is smaller.
MAX_UNREAD_BYTES = 256 * 1024
LIMITS = Configuration(
    http2_connection_window_size=MAX_UNREAD_BYTES, http2_stream_window_size=MAX_UNREAD_BYTES
)


class PeerServiceTask(PeerServiceBase):
    """Serve and make the calls between entry VMs."""

    def __init__(
        self,
        me: EntryName,
        listen: Endpoint,
        boot: int,
        keyring: Keyring,
        mailboxes: Mailboxes,
        log: Log,
    ) -> None:
        self._mailbox = mailboxes.peer_service
        self._me = me
        self._boot = boot
        self._core = mailboxes.core
        self._log = log
        self._keyring = keyring
        self._caller = PeerCaller(me, boot, keyring)
        self._windows = ReplayWindows()
        self._members: dict[EntryName, Member] = {}
        self._fetching: set[EntryName] = set()
        # Records that wait for a running transfer to the same peer, so that they keep their order.
        self._transfers: dict[EntryName, list[SendRecords]] = {}
        self._awaiting: list[asyncio.Future[None]] = []
        self._call_count = 0
        self._reporter = Reporter(mailboxes.admin)
        self._socket = socket.create_server(listen, backlog=BACKLOG)

    @property
    def address(self) -> Endpoint:
        """Return the bound address."""
        return Endpoint(*self._socket.getsockname())

    async def run(self) -> None:
        """Serve and call until cancelled."""
        self._socket.setblocking(False)
        server = Server([self], config=LIMITS)
        await server.start(sock=self._socket)
        self._reporter.start()
        try:
            async with asyncio.TaskGroup() as calls:
                while True:
                    for message in await self._mailbox.take():
                        self._handle(message, calls)
        finally:
            self._reporter.stop()
            server.close()

    async def FetchParts(  # noqa: N802 - the generated base class names it
        self, stream: Stream[FetchPartsRequest, FetchPartsAnswer]
    ) -> None:
        """Answer with the configuration parts of this entry VM."""
        proof, _ = await self._receive(stream, "FetchParts")
        question = PartsAsked(asyncio.get_running_loop().create_future())
        self._core.put(question)
        try:
            async with asyncio.timeout(CORE_ANSWER_TIMEOUT_S):
                in_force, newest = await question.reply
        except (TimeoutError, QuestionFailed):
            raise GRPCError(Status.UNAVAILABLE, "busy") from None
        await self._reply(stream, "FetchParts", proof, encode_parts(in_force, newest))

    async def TransferRecords(  # noqa: N802 - the generated base class names it
        self, stream: Stream[TransferRecordsRequest, TransferRecordsAnswer]
    ) -> None:
        """Take flow records over from another entry VM."""
        proof, request = await self._receive(stream, "TransferRecords")
        received = decode_records(proof.sender, request)
        if isinstance(received, PeerFault):
            raise self._refuse(received, Status.INVALID_ARGUMENT)
        if not self._core.put(EventsReceived([received])):
            raise GRPCError(Status.UNAVAILABLE, "busy")
        await self._reply(stream, "TransferRecords", proof, TransferRecordsAnswer())

    async def _receive(self, stream: Stream, method: str) -> tuple[CallProof, Message]:
        # The proof is checked before the body is read: an unproven caller cannot fill memory.
        proof = check_call(self._keyring, _path(method), stream.metadata or {})
        if isinstance(proof, PeerFault):
            raise self._refuse(proof, Status.UNAUTHENTICATED)
        if proof.receiver != self._me:
            raise self._refuse(PeerFault.WRONG_RECEIVER, Status.UNAUTHENTICATED)
        if proof.sender not in self._members:
            raise self._refuse(PeerFault.UNKNOWN_SENDER, Status.UNAUTHENTICATED)
        if proof.receiver_boot not in (0, self._boot):
            raise self._refuse(PeerFault.FORMER_BOOT, Status.UNAUTHENTICATED)
        if not self._windows.accept(proof.sender, proof.boot, proof.sequence):
            raise self._refuse(PeerFault.REPLAYED, Status.UNAUTHENTICATED)
        if self._call_count >= MAX_CALLS:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many calls")
        self._call_count += 1
        try:
            request = await stream.recv_message()
        finally:
            self._call_count -= 1
        if request is None:
            raise self._refuse(PeerFault.MALFORMED, Status.INVALID_ARGUMENT)
        if digest_of(request.SerializeToString(deterministic=True)) != proof.digest:
            raise self._refuse(PeerFault.BAD_TAG, Status.UNAUTHENTICATED)
        return proof, request

    async def _reply(self, stream: Stream, method: str, proof: CallProof, answer: Message) -> None:
        digest = digest_of(answer.SerializeToString(deterministic=True))
        answered = CallProof(self._me, proof.sender, proof.boot, proof.sequence, digest)
        metadata = sign_call(self._keyring, _path(method) + ANSWER_SUFFIX, answered)
        await stream.send_initial_metadata(metadata=metadata)
        await stream.send_message(answer)

    def _refuse(self, fault: PeerFault, status: Status) -> GRPCError:
        key = CountKey(Metric.PEER_MESSAGES_DROPPED, (("reason", str(fault)),))
        self._reporter.counts[key] += 1
        return GRPCError(status, str(fault))

    def _handle(self, message: PeerServiceMessage, calls: asyncio.TaskGroup) -> None:
        match message:
            case FetchParts(peer=peer):
                if peer in self._members and peer not in self._fetching:
                    self._fetching.add(peer)
                    calls.create_task(self._fetch(self._members[peer]))
            case SendRecords(peer=peer):
                if peer in self._transfers:
                    self._transfers[peer].append(message)
                elif peer in self._members:
                    self._transfers[peer] = [message]
                    calls.create_task(self._transfer(self._members[peer]))
            case TransfersAwaited(reply=reply):
                self._awaiting.append(reply)
                self._tell_awaiting()
            case BootHeard(peer=peer, boot=boot):
                self._caller.boots[peer] = boot
            case DirectoryChanged(members=members):
                self._members = {member.name: member for member in members}
                boots = self._caller.boots
                self._caller.boots = {name: boots[name] for name in boots if name in self._members}
                self._windows.retain(frozenset(self._members))
            case KeysChanged(keyring=keyring):
                self._keyring = self._caller.keyring = keyring
            case _:
                assert_never(message)

    async def _fetch(self, peer: Member) -> None:
        outcome = await self._caller.fetch_parts(peer)
        self._fetching.discard(peer.name)
        match outcome:
            case Unreachable(cause=cause):
                self._log.write(Level.WARNING, "fetch_failed", peer=peer.name, cause=cause)
            case received:
                events: list[Event] = [received]
                self._core.put(EventsReceived(events))

    async def _transfer(self, peer: Member) -> None:
        while self._transfers[peer.name]:
            sends, self._transfers[peer.name] = self._transfers[peer.name], []
            outcome = await self._caller.send_records(peer, sends)
            if outcome is not None:
                # The new manager asks for single records when their packets arrive.
                cause = outcome.cause
                self._log.write(Level.WARNING, "transfer_failed", peer=peer.name, cause=cause)
        del self._transfers[peer.name]
        self._tell_awaiting()

    def _tell_awaiting(self) -> None:
        if self._transfers:
            return
        for reply in self._awaiting:
            if not reply.done():
                reply.set_result(None)
        self._awaiting.clear()


def _path(method: str) -> str:
    return f"/fuchsiaspread.peer.PeerService/{method}"
