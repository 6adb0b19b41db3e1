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
from ..internal.call_authentication import CallClaims, digest_of, sign_call, verify_call
from ..internal.counts import CountKey, Metric
from ..internal.log import Level, Log
from ..internal.mailboxes import Mailboxes
from ..internal.peer_calls import ANSWER_SUFFIX, CallFailed, PeerClient
from ..internal.peer_fields import PeerFault
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

CORE_REPLY_TIMEOUT_S = 2.0
# More concurrent calls than this are a sign of a fault or an attack; they are rejected.
MAX_CALLS = 64
BACKLOG = 100
# Bytes that a peer may send before its call is authenticated; a transfer of records is smaller.
FLOW_CONTROL_WINDOW_BYTES = 256 * 1024
LIMITS = Configuration(
    http2_connection_window_size=FLOW_CONTROL_WINDOW_BYTES,
    http2_stream_window_size=FLOW_CONTROL_WINDOW_BYTES,
)


class PeerServiceTask(PeerServiceBase):
    """Serve the calls of other entry VMs, and call them."""

    def __init__(
        self,
        local_name: EntryName,
        listen: Endpoint,
        boot: int,
        keyring: Keyring,
        mailboxes: Mailboxes,
        log: Log,
    ) -> None:
        self._mailbox = mailboxes.peer_service
        self._local_name = local_name
        self._boot = boot
        self._core = mailboxes.core
        self._log = log
        self._keyring = keyring
        self._client = PeerClient(local_name, boot, keyring)
        self._windows = ReplayWindows()
        self._members: dict[EntryName, Member] = {}
        self._fetching_peers: set[EntryName] = set()
        # Records queued behind a running transfer to the same peer, which keeps them in order.
        self._transfers: dict[EntryName, list[SendRecords]] = {}
        self._transfer_waiters: list[asyncio.Future[None]] = []
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

    async def FetchParts(  # noqa: N802 - named by the generated base class
        self, stream: Stream[FetchPartsRequest, FetchPartsAnswer]
    ) -> None:
        """Return the configuration parts of this entry VM."""
        claims, _ = await self._receive(stream, "FetchParts")
        question = PartsAsked(asyncio.get_running_loop().create_future())
        self._core.put(question)
        try:
            async with asyncio.timeout(CORE_REPLY_TIMEOUT_S):
                in_force, newest = await question.reply
        except (TimeoutError, QuestionFailed):
            raise GRPCError(Status.UNAVAILABLE, "busy") from None
        await self._reply(stream, "FetchParts", claims, encode_parts(in_force, newest))

    async def TransferRecords(  # noqa: N802 - named by the generated base class
        self, stream: Stream[TransferRecordsRequest, TransferRecordsAnswer]
    ) -> None:
        """Receive flow records from another entry VM."""
        claims, request = await self._receive(stream, "TransferRecords")
        received = decode_records(claims.sender, request)
        if isinstance(received, PeerFault):
            raise self._rejection(received, Status.INVALID_ARGUMENT)
        if not self._core.put(EventsReceived([received])):
            raise GRPCError(Status.UNAVAILABLE, "busy")
        await self._reply(stream, "TransferRecords", claims, TransferRecordsAnswer())

    async def _receive(self, stream: Stream, method: str) -> tuple[CallClaims, Message]:
        # Authenticate before reading the body, so that a client without a key cannot fill memory.
        claims = verify_call(self._keyring, _path(method), stream.metadata or {})
        if isinstance(claims, PeerFault):
            raise self._rejection(claims, Status.UNAUTHENTICATED)
        if claims.receiver != self._local_name:
            raise self._rejection(PeerFault.WRONG_RECEIVER, Status.UNAUTHENTICATED)
        if claims.sender not in self._members:
            raise self._rejection(PeerFault.UNKNOWN_SENDER, Status.UNAUTHENTICATED)
        if claims.receiver_boot not in (0, self._boot):
            raise self._rejection(PeerFault.FORMER_BOOT, Status.UNAUTHENTICATED)
        if not self._windows.accept(claims.sender, claims.boot, claims.sequence):
            raise self._rejection(PeerFault.REPLAYED, Status.UNAUTHENTICATED)
        if self._call_count >= MAX_CALLS:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many calls")
        self._call_count += 1
        try:
            request = await stream.recv_message()
        finally:
            self._call_count -= 1
        if request is None:
            raise self._rejection(PeerFault.MALFORMED, Status.INVALID_ARGUMENT)
        if digest_of(request.SerializeToString(deterministic=True)) != claims.digest:
            raise self._rejection(PeerFault.BAD_TAG, Status.UNAUTHENTICATED)
        return claims, request

    async def _reply(
        self, stream: Stream, method: str, claims: CallClaims, answer: Message
    ) -> None:
        digest = digest_of(answer.SerializeToString(deterministic=True))
        answer_claims = CallClaims(
            self._local_name, claims.sender, claims.boot, claims.sequence, digest
        )
        metadata = sign_call(self._keyring, _path(method) + ANSWER_SUFFIX, answer_claims)
        await stream.send_initial_metadata(metadata=metadata)
        await stream.send_message(answer)

    def _rejection(self, fault: PeerFault, status: Status) -> GRPCError:
        key = CountKey(Metric.PEER_MESSAGES_DROPPED, (("reason", str(fault)),))
        self._reporter.counts[key] += 1
        return GRPCError(status, str(fault))

    def _handle(self, message: PeerServiceMessage, calls: asyncio.TaskGroup) -> None:
        match message:
            case FetchParts(peer=peer):
                if peer in self._members and peer not in self._fetching_peers:
                    self._fetching_peers.add(peer)
                    calls.create_task(self._fetch(self._members[peer]))
            case SendRecords(peer=peer):
                if peer in self._transfers:
                    self._transfers[peer].append(message)
                elif peer in self._members:
                    self._transfers[peer] = [message]
                    calls.create_task(self._transfer(self._members[peer]))
            case TransfersAwaited(reply=reply):
                self._transfer_waiters.append(reply)
                self._release_transfer_waiters()
            case BootHeard(peer=peer, boot=boot):
                self._client.boots[peer] = boot
            case DirectoryChanged(members=members):
                self._members = {member.name: member for member in members}
                boots = self._client.boots
                self._client.boots = {name: boots[name] for name in boots if name in self._members}
                self._windows.retain(frozenset(self._members))
            case KeysChanged(keyring=keyring):
                self._keyring = self._client.keyring = keyring
            case _:
                assert_never(message)

    async def _fetch(self, peer: Member) -> None:
        outcome = await self._client.fetch_parts(peer)
        self._fetching_peers.discard(peer.name)
        match outcome:
            case CallFailed(cause=cause):
                self._log.write(Level.WARNING, "fetch_failed", peer=peer.name, cause=cause)
            case received:
                events: list[Event] = [received]
                self._core.put(EventsReceived(events))

    async def _transfer(self, peer: Member) -> None:
        while self._transfers[peer.name]:
            sends, self._transfers[peer.name] = self._transfers[peer.name], []
            outcome = await self._client.send_records(peer, sends)
            if outcome is not None:
                # The new manager requests single records when their packets arrive.
                cause = outcome.cause
                self._log.write(Level.WARNING, "transfer_failed", peer=peer.name, cause=cause)
        del self._transfers[peer.name]
        self._release_transfer_waiters()

    def _release_transfer_waiters(self) -> None:
        if self._transfers:
            return
        for reply in self._transfer_waiters:
            if not reply.done():
                reply.set_result(None)
        self._transfer_waiters.clear()


def _path(method: str) -> str:
    return f"/fuchsiaspread.peer.PeerService/{method}"
