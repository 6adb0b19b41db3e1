"""A local site that runs until it is stopped and accepts control requests over HTTP."""

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Any, assert_never

from fuchsiaspread_core.configuration import AddressKind, RequestKind, StreamKind
from fuchsiaspread_core.identifiers import Endpoint
from pydantic import BaseModel, ValidationError
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from .caller import StartRequest, StartStream
from .fleet import Fleet
from .internal.deployment import parse_endpoint, rewrite_addresses
from .internal.publishing import Files
from .process import NotReady
from .scenario import InvalidScenario, Runner, parse_scenario, steps

# The last two octets and the port of the control address.
CONTROL_HOST, CONTROL_PORT = "0.12", 8501
STREAMS_PER_ADDRESS = 30
STREAM_INTERVAL_MS = 1_000
STREAM_TIMEOUT_MS = 8_000
REQUEST_TIMEOUT_MS = 6_000
REQUEST_WORK_MS = 20
REQUEST_INTERVAL_S = 0.1
# Number of request rounds between replacements of broken streams; the replacements ensure that
# there are always open flows to inspect.
REFILL_ROUNDS = 50
MIN_CALLER_PORT = 1024


class PublishBody(BaseModel):
    """Schema of a request to publish files."""

    base: str
    overlay: str


class FaultBody(BaseModel):
    """Schema of a request to inject a fault, as one fault step of the scenario language."""

    step: str


class AnswerBody(BaseModel):
    """Schema of the answer to both requests."""

    is_done: bool
    text: str


@dataclass(frozen=True, slots=True)
class PublishRequest:
    """Request to publish files; the answer is set on the future."""

    files: Files
    reply: "asyncio.Future[AnswerBody]"


@dataclass(frozen=True, slots=True)
class FaultRequest:
    """Request to inject a fault; the answer is set on the future."""

    step: str
    reply: "asyncio.Future[AnswerBody]"


Message = PublishRequest | FaultRequest


class Site:
    """Own a fleet, a light load of callers and the control server."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.runner = Runner(fleet)
        self._mailbox: asyncio.Queue[Message] = asyncio.Queue()
        self._second_octet = int(fleet.deployment.platform.host.split(".")[1])
        self._tasks: list[asyncio.Task[None]] = []
        self._server = HTTPServer(
            Application(
                [
                    ("/publish", _PublishHandler, {"site": self}),
                    ("/fault", _FaultHandler, {"site": self}),
                ]
            )
        )
        self.control = control_endpoint(self._second_octet)

    async def start(self) -> list[NotReady]:
        """Start the fleet, then the load and the control server."""
        failures = await self.fleet.start()
        if not failures:
            self._server.listen(self.control.port, self.control.host)
            self._tasks = [
                asyncio.create_task(self._load()),
                asyncio.create_task(self._handle_messages()),
            ]
        return failures

    async def stop(self) -> None:
        """Stop the control server, the load and the fleet."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._server.stop()
        await self._server.close_all_connections()
        self.runner.close()
        await self.fleet.stop()

    def example_flow(self) -> str | None:
        """Return the flow key of the first stream, which stays open unless it breaks."""
        stream = next(iter(self._addresses(StreamKind)), None)
        if stream is None:
            return None
        caller = f"10.{self.fleet.caller_octet}.0.1:{MIN_CALLER_PORT}"
        return f"{caller}-{stream.host}:{stream.port}"

    async def submit(self, body: PublishBody | FaultBody) -> AnswerBody:
        """Pass a request to the task of the site and wait for the answer."""
        reply: asyncio.Future[AnswerBody] = asyncio.get_running_loop().create_future()
        match body:
            case PublishBody(base=base, overlay=overlay):
                rewritten = (
                    rewrite_addresses(text, self._second_octet) for text in (base, overlay)
                )
                self._mailbox.put_nowait(PublishRequest(Files(*rewritten), reply))
            case FaultBody(step=step):
                self._mailbox.put_nowait(FaultRequest(step, reply))
            case _:
                assert_never(body)
        return await reply

    async def _handle_messages(self) -> None:
        while True:
            message = await self._mailbox.get()
            match message:
                case PublishRequest(files, reply):
                    answer = self._publish(files)
                case FaultRequest(step, reply):
                    answer = await self._inject_fault(step)
                case _:
                    assert_never(message)
            if not reply.done():
                reply.set_result(answer)

    def _publish(self, files: Files) -> AnswerBody:
        try:
            changed = self.fleet.publish_files(files)
        except ValueError as error:
            return AnswerBody(is_done=False, text=f"{error}; reduce the size of the file")
        indexes = [f"{key} at index {index}" for key, index in changed.items()]
        return AnswerBody(is_done=True, text=f"published: {', '.join(indexes) or 'no change'}")

    async def _inject_fault(self, text: str) -> AnswerBody:
        scenario = parse_scenario(f"deployment {self.fleet.deployment.name}\n{text}")
        if isinstance(scenario, InvalidScenario):
            return AnswerBody(is_done=False, text=f"{text}: {scenario.problem}")
        for numbered in scenario.steps:
            if not numbered.text.startswith("fault "):
                return AnswerBody(
                    is_done=False,
                    text=f"{numbered.text}: not a fault step; begin it with `fault`",
                )
            problem = self._check_step(numbered.step)
            failed = None if problem else await self.runner.run(numbered.step)
            if problem or failed is not None:
                return AnswerBody(is_done=False, text=problem or str(failed and failed.problem))
        return AnswerBody(is_done=True, text=f"done: {text}")

    def _check_step(self, step: steps.Step) -> str | None:
        processes = self.fleet.processes
        match step:
            case steps.StartEntry(entry) if entry in processes and processes[entry].is_running:
                return f"{entry} is already running; stop or kill it first"
            case (
                steps.KillEntry(entry)
                | steps.StopEntry(entry)
                | steps.StartEntry(entry)
                | steps.FreezeEntry(entry)
                | steps.ThawEntry(entry)
                | steps.HidePlatform(entry)
            ) if (entry not in processes):
                return f"{entry}: no such entry VM; use one of {', '.join(processes)}"
            case steps.SetTargetBehaviour(target=target) | steps.ClaimLoad(target=target) if (
                target not in self.fleet.targets
            ):
                return f"{target}: no such target; use one of {', '.join(self.fleet.targets)}"
            case steps.IsolateZone(zone) if zone not in self.fleet.deployment.zones():
                return (
                    f"{zone}: no such zone; use one of {', '.join(self.fleet.deployment.zones())}"
                )
            case _:
                return None

    def _addresses(self, kind: type[AddressKind]) -> list[Endpoint]:
        services = self.fleet.deployment.configuration.services
        return [a.endpoint for s in services for a in s.addresses if isinstance(a.kind, kind)]

    async def _load(self) -> None:
        """Keep streams open, send requests at a low constant rate and remove exited entry VMs."""
        streams = [
            StartStream(address, STREAM_INTERVAL_MS, STREAM_TIMEOUT_MS)
            for address in self._addresses(StreamKind)
        ]
        requests = [
            StartRequest(address, REQUEST_WORK_MS, REQUEST_TIMEOUT_MS)
            for address in self._addresses(RequestKind)
        ]
        wanted, started, round_number = STREAMS_PER_ADDRESS * len(streams), 0, 0
        while True:
            if streams and round_number % REFILL_ROUNDS == 0:
                report = await self.fleet.callers.get_report()
                while started - report.counts.ended_streams < wanted:
                    self.fleet.callers.mailbox.put_nowait(streams[started % len(streams)])
                    started += 1
            for name in self.fleet.unexpectedly_ended():
                self.fleet.remove_ended(name)
            for request in requests:
                self.fleet.callers.mailbox.put_nowait(request)
            round_number += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)


def control_endpoint(second_octet: int) -> Endpoint:
    """Return the control address of the site in a loopback network."""
    return parse_endpoint(f"127.{second_octet}.{CONTROL_HOST}:{CONTROL_PORT}")


class _SiteHandler(RequestHandler):
    """Validate the body of a request and pass it to the site."""

    model: Any

    def initialize(self, site: Site) -> None:
        self._site = site

    async def post(self) -> None:
        try:
            body = self.model.model_validate_json(self.request.body)
        except ValidationError as error:
            self.set_status(400)
            self.finish(AnswerBody(is_done=False, text=str(error)).model_dump_json())
            return
        answer = await self._site.submit(body)
        with contextlib.suppress(RuntimeError):
            self.finish(answer.model_dump_json())


class _PublishHandler(_SiteHandler):
    model = PublishBody


class _FaultHandler(_SiteHandler):
    model = FaultBody
