"""A target host: tunnel socket, slots and connections, and a load endpoint."""

import asyncio
from dataclasses import dataclass

from fuchsiaspread_core.identifiers import Endpoint
from pydantic import BaseModel
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from .internal.datagrams import Datagrams, DatagramTask, Wake, now_ms
from .internal.segments import Malformed, decode, encode
from .internal.serving import Behaviour, Serving, TargetReport


class LoadBody(BaseModel):
    """Form of the answer of the load endpoint."""

    busy_slots: int
    connections: int
    is_shedding: bool


@dataclass(frozen=True, slots=True)
class SetBehaviour:
    """Switch how the target treats opens."""

    behaviour: Behaviour


@dataclass(frozen=True, slots=True)
class LieAboutLoad:
    """Answer load questions with a fixed statement, or with the truth when there is none."""

    statement: LoadBody | None


@dataclass(frozen=True, slots=True)
class AskTarget:
    """Ask for a report; the answer is set on the future."""

    reply: "asyncio.Future[TargetReport]"


@dataclass(frozen=True, slots=True)
class AskLoad:
    """Ask for the load statement; the answer is set on the future."""

    reply: "asyncio.Future[LoadBody]"


class TargetTask(DatagramTask):
    """Own the tunnel socket and the work of one target host.

    Replies leave from the tunnel socket, since the source host of a reply names the target.
    """

    def __init__(
        self, tunnel: Endpoint, gateway: Endpoint, serving: Serving, load: Endpoint | None
    ) -> None:
        super().__init__(tunnel)
        self._gateway = gateway
        self._serving = serving
        self._statement: LoadBody | None = None
        self._server: HTTPServer | None = None
        if load is not None:
            self._server = HTTPServer(Application([("/load", LoadHandler, {"target": self})]))
            self._server.listen(load.port, load.host)

    def take(self, message: object) -> None:
        """Handle one message."""
        now = now_ms()
        match message:
            case Datagrams(batch):
                for payload, _ in batch:
                    segment = decode(payload)
                    if not isinstance(segment, Malformed):
                        self._serving.arrive(now, segment)
            case SetBehaviour(behaviour):
                self._serving.behave(behaviour)
            case LieAboutLoad(statement):
                self._statement = statement
            case AskTarget(reply):
                if not reply.done():
                    reply.set_result(self._serving.report())
            case AskLoad(reply):
                if not reply.done():
                    reply.set_result(self._statement or self._load())
            case Wake():
                self._serving.expire(now)
            case _:
                raise TypeError(message)
        for segment in self._serving.sent:
            self.send(encode(segment), self._gateway)
        self._serving.sent.clear()

    def next_deadline_ms(self) -> int | None:
        """Return when a `Wake` is due."""
        return self._serving.next_deadline_ms

    def close(self) -> None:
        """Close the sockets."""
        super().close()
        if self._server is not None:
            self._server.stop()

    async def ask(self) -> TargetReport:
        """Return the report; called from other tasks."""
        reply: asyncio.Future[TargetReport] = asyncio.get_running_loop().create_future()
        self.mailbox.put_nowait(AskTarget(reply))
        return await reply

    def _load(self) -> LoadBody:
        report = self._serving.report()
        return LoadBody(
            busy_slots=report.busy_slots, connections=report.connection_count, is_shedding=False
        )


class LoadHandler(RequestHandler):
    """Answer `GET /load`."""

    def initialize(self, target: TargetTask) -> None:
        """Take the target whose load is reported."""
        self._target = target

    async def get(self) -> None:
        """Answer with the load statement."""
        reply: asyncio.Future[LoadBody] = asyncio.get_running_loop().create_future()
        self._target.mailbox.put_nowait(AskLoad(reply))
        statement = await reply
        self.set_header("Content-Type", "application/json")
        self.finish(statement.model_dump_json())
