"""Task of a target host: tunnel socket, request server and load endpoint."""

import asyncio
from dataclasses import dataclass

from fuchsiaspread_core.identifiers import Endpoint
from pydantic import BaseModel
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from .internal.datagrams import Datagrams, DatagramTask, DeadlineReached, now_ms
from .internal.segments import Malformed, decode, encode
from .internal.serving import Behaviour, TargetReport, TargetServer


class LoadBody(BaseModel):
    """Schema of the answer of the load endpoint."""

    busy_slots: int
    connections: int
    is_shedding: bool


@dataclass(frozen=True, slots=True)
class SetBehaviour:
    """Set how the target handles packets."""

    behaviour: Behaviour


@dataclass(frozen=True, slots=True)
class OverrideLoad:
    """Make the load endpoint report a fixed load, or the actual load if `load` is None."""

    load: LoadBody | None


@dataclass(frozen=True, slots=True)
class GetTargetReport:
    """Request a report; the result is set on the future."""

    reply: "asyncio.Future[TargetReport]"


@dataclass(frozen=True, slots=True)
class GetLoad:
    """Request the load to report; the result is set on the future."""

    reply: "asyncio.Future[LoadBody]"


class TargetTask(DatagramTask):
    """Own the tunnel socket, the request server and the load endpoint of one target host.

    Replies are sent from the tunnel socket because their source host identifies the target.
    """

    def __init__(
        self, tunnel: Endpoint, gateway: Endpoint, server: TargetServer, load: Endpoint | None
    ) -> None:
        super().__init__(tunnel)
        self._gateway = gateway
        self._target_server = server
        self._load_override: LoadBody | None = None
        self._load_server: HTTPServer | None = None
        if load is not None:
            self._load_server = HTTPServer(Application([("/load", LoadHandler, {"target": self})]))
            self._load_server.listen(load.port, load.host)

    def handle(self, message: object) -> None:
        """Handle one message."""
        now = now_ms()
        match message:
            case Datagrams(batch):
                for payload, _ in batch:
                    segment = decode(payload)
                    if not isinstance(segment, Malformed):
                        self._target_server.receive(now, segment)
            case SetBehaviour(behaviour):
                self._target_server.set_behaviour(behaviour)
            case OverrideLoad(load):
                self._load_override = load
            case GetTargetReport(reply):
                if not reply.done():
                    reply.set_result(self._target_server.report())
            case GetLoad(reply):
                if not reply.done():
                    reply.set_result(self._load_override or self._load())
            case DeadlineReached():
                self._target_server.handle_timers(now)
            case _:
                raise TypeError(message)
        for segment in self._target_server.sent:
            self.send(encode(segment), self._gateway)
        self._target_server.sent.clear()

    def next_deadline_ms(self) -> int | None:
        """Return when a `DeadlineReached` message is due."""
        return self._target_server.next_deadline_ms

    def close(self) -> None:
        """Close the sockets."""
        super().close()
        if self._load_server is not None:
            self._load_server.stop()

    async def get_report(self) -> TargetReport:
        """Return a report; called from other tasks."""
        reply: asyncio.Future[TargetReport] = asyncio.get_running_loop().create_future()
        self.mailbox.put_nowait(GetTargetReport(reply))
        return await reply

    def _load(self) -> LoadBody:
        report = self._target_server.report()
        return LoadBody(
            busy_slots=report.busy_slots, connections=report.connection_count, is_shedding=False
        )


class LoadHandler(RequestHandler):
    """Answer `GET /load`."""

    def initialize(self, target: TargetTask) -> None:
        """Set the target whose load is reported."""
        self._target = target

    async def get(self) -> None:
        """Answer with the load of the target."""
        reply: asyncio.Future[LoadBody] = asyncio.get_running_loop().create_future()
        self._target.mailbox.put_nowait(GetLoad(reply))
        load = await reply
        self.set_header("Content-Type", "application/json")
        self.finish(load.model_dump_json())
