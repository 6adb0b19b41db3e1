"""Task that serves the HTTP endpoints for operators."""

import asyncio
import json
import socket
from collections.abc import Callable
from typing import assert_never

from fuchsiaspread_core.identifiers import Endpoint, TargetName
from tornado.httpserver import HTTPServer
from tornado.httputil import responses
from tornado.iostream import IOStream
from tornado.web import Application, RequestHandler

from ..internal.flow_text import parse_flow
from ..internal.mailboxes import Mailboxes
from ..internal.metrics import Metrics
from ..internal.task_messages import (
    AdminMessage,
    BurnAsked,
    CoreQuestion,
    CountsReported,
    FlowAsked,
    PlatformReached,
    ReadinessAsked,
    StatusAsked,
    TargetAsked,
)

ANSWER_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 1024
MAX_HEADER_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 60
BODY_TIMEOUT_S = 5
BACKLOG = 100
MAX_CONNECTIONS = 64
MAX_TARGET_NAME_LENGTH = 128
INTERNAL_ERROR_STATUS = 500
FLOW_HINT = "write it as CALLER:PORT-SERVICE:PORT, for example 10.1.0.5:40000-10.20.0.1:7001"
PATHS_HINT = "send GET to /health, /ready, /status, /explain, /burn or /metrics"
LOG_HINT = "look for event_failed in the log of this entry VM"
QUESTION_HINT = "add ?flow=CALLER:PORT-SERVICE:PORT or ?target=NAME"

Body = dict[str, object]


class AdminTask:
    """Own the HTTP server, the metrics and the reachability of the platform."""

    def __init__(
        self,
        name: str,
        zone: str,
        listen: Endpoint,
        mailboxes: Mailboxes,
        now_ms: Callable[[], int],
    ) -> None:
        self._mailbox = mailboxes.admin
        self._name = name
        self._core = mailboxes.core
        self._now_ms = now_ms
        self._is_platform_reachable = False
        self._platform_changed_ms = now_ms()
        self._metrics = Metrics(name, zone)
        self._socket = socket.create_server(listen, backlog=BACKLOG)
        self._socket.setblocking(False)

    @property
    def address(self) -> Endpoint:
        """Return the bound address."""
        return Endpoint(*self._socket.getsockname())

    async def run(self) -> None:
        """Serve until cancelled."""
        server = _BoundedServer(
            Application(
                [
                    ("/health", _HealthHandler),
                    ("/ready", _ReadyHandler, {"task": self}),
                    ("/status", _StatusHandler, {"task": self}),
                    ("/explain", _ExplainHandler, {"task": self}),
                    ("/burn", _BurnHandler, {"task": self}),
                    ("/metrics", _MetricsHandler, {"task": self}),
                ],
                default_handler_class=_UnknownPathHandler,
                log_function=_log_nothing,
            ),
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        server.add_socket(self._socket)
        try:
            while True:
                for message in await self._mailbox.take():
                    self._handle(message)
        finally:
            server.stop()
            await server.close_all_connections()
            self._metrics.close()

    async def ask(self, question: CoreQuestion) -> Body | bool | None:
        """Send a question to the core task; return its answer, or None after a timeout.

        Raises QuestionFailed when the core task failed to answer.
        """
        self._core.put(question)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await question.reply
        except TimeoutError:
            return None

    async def status(self) -> Body | None:
        """Return the body of `/status`."""
        body = await self.ask(StatusAsked(_future()))
        if not isinstance(body, dict):
            return None
        since_ms_ago = self._now_ms() - self._platform_changed_ms
        platform = {"reachable": self._is_platform_reachable, "since_ms_ago": since_ms_ago}
        return body | {"platform": platform}

    async def burn(self) -> Body | None:
        """Return the body of `/burn`."""
        body = await self.ask(BurnAsked(_future()))
        if not isinstance(body, dict):
            return None
        return {"name": self._name} | body

    async def metrics_text(self) -> bytes:
        """Return the metrics, with gauges that show the current state of the core."""
        body = await self.ask(StatusAsked(_future()))
        if isinstance(body, dict):
            self._metrics.set_gauges(int(str(body["flow_count"])), int(str(body["queued_count"])))
        return self._metrics.text()

    def _handle(self, message: AdminMessage) -> None:
        match message:
            case CountsReported(counts=counts):
                self._metrics.add(counts)
            case PlatformReached(is_reachable=is_reachable):
                if is_reachable != self._is_platform_reachable:
                    self._is_platform_reachable = is_reachable
                    self._platform_changed_ms = self._now_ms()
            case _:
                assert_never(message)


class _BoundedServer(HTTPServer):
    """Close new connections above a limit, which bounds memory and file descriptors."""

    connection_count = 0

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        if self.connection_count >= MAX_CONNECTIONS:
            stream.close()
            return
        self.connection_count += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        self.connection_count -= 1
        super().on_close(server_conn)


class _JsonHandler(RequestHandler):
    def answer(self, body: Body | bool | None, status: int = 200) -> None:
        """Write a JSON body, or 503 when the core task did not answer."""
        self.set_header("Content-Type", "application/json")
        if body is None:
            status, body = 503, _problem("the daemon is busy", "try again in a few seconds")
        self.set_status(status)
        self.finish(json.dumps(body))

    def write_error(self, status_code: int, **_: object) -> None:
        """Return errors of the HTTP layer in the same JSON form as other errors."""
        if status_code == INTERNAL_ERROR_STATUS:
            self.answer(_problem("the daemon failed to create this report", LOG_HINT), status_code)
            return
        reason = responses.get(status_code, "unknown error")
        self.answer(_problem(f"HTTP {status_code}: {reason}", PATHS_HINT), status_code)

    def log_exception(self, *_: object) -> None:
        """Write nothing, since the core task has logged the cause."""


class _TaskHandler(_JsonHandler):
    def initialize(self, task: AdminTask) -> None:
        self.task = task


class _HealthHandler(_JsonHandler):
    def get(self) -> None:
        self.answer({"healthy": True})


class _ReadyHandler(_TaskHandler):
    async def get(self) -> None:
        is_ready = await self.task.ask(ReadinessAsked(_future()))
        self.answer({"ready": bool(is_ready)}, 200 if is_ready else 503)


class _StatusHandler(_TaskHandler):
    async def get(self) -> None:
        self.answer(await self.task.status())


class _BurnHandler(_TaskHandler):
    async def get(self) -> None:
        self.answer(await self.task.burn())


class _MetricsHandler(_TaskHandler):
    async def get(self) -> None:
        text = await self.task.metrics_text()
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(text)


class _ExplainHandler(_TaskHandler):
    async def get(self) -> None:
        flow_text = self.get_query_argument("flow", "")
        target = self.get_query_argument("target", "")
        if flow_text:
            flow = parse_flow(flow_text)
            if flow is None:
                self.answer(_problem("flow: not two IPv4 addresses with ports", FLOW_HINT), 400)
                return
            self.answer(await self.task.ask(FlowAsked(flow, _future())))
        elif 0 < len(target) <= MAX_TARGET_NAME_LENGTH:
            self.answer(await self.task.ask(TargetAsked(TargetName(target), _future())))
        else:
            self.answer(_problem("explain: neither flow nor target given", QUESTION_HINT), 400)


class _UnknownPathHandler(_JsonHandler):
    def prepare(self) -> None:
        self.answer(_problem(f"no such path: {self.request.path}", PATHS_HINT), 404)


def _problem(problem: str, next_step: str) -> Body:
    return {"problem": problem, "next_step": next_step}


def _log_nothing(_: RequestHandler) -> None:
    """Write nothing, since the log is for the daemon's events, not for requests."""


def _future() -> asyncio.Future:
    return asyncio.get_running_loop().create_future()
