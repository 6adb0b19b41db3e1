"""Thousands of callers on one socket."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from fuchsiaspread_core.identifiers import Endpoint

from .internal.calling import Callers, EndStreams, StartRequest, StartStream
from .internal.datagrams import Datagrams, DatagramTask, Wake, now_ms
from .internal.segments import Malformed, decode, encode
from .outcomes import FlowEnded


@dataclass(frozen=True, slots=True)
class AskCallers:
    """Ask for a report; the answer is set on the future."""

    reply: "asyncio.Future[CallerReport]"


@dataclass(frozen=True, slots=True)
class FlowCounts:
    """Count flows by kind."""

    opened_streams: int = 0
    ended_streams: int = 0
    ended_requests: int = 0

    def reaches(self, wanted: "FlowCounts") -> bool:
        """Return whether every count is at least the wanted one."""
        return (
            self.opened_streams >= wanted.opened_streams
            and self.ended_streams >= wanted.ended_streams
            and self.ended_requests >= wanted.ended_requests
        )


@dataclass(frozen=True, slots=True)
class WaitForFlows:
    """Ask to be told when the counts are reached."""

    wanted: FlowCounts
    reply: "asyncio.Future[None]"


@dataclass(frozen=True, slots=True)
class CallerReport:
    """Hold what the callers saw so far."""

    started_count: int
    opened_count: int
    open_count: int
    flow_count: int
    answered_messages: int
    counts: FlowCounts
    ended: tuple[FlowEnded, ...]

    def outcomes(self) -> Counter[str]:
        """Count the outcomes by name."""
        return Counter(type(flow.outcome).__name__ for flow in self.ended)


class CallerTask(DatagramTask):
    """Own the callers' socket and their flows."""

    def __init__(
        self, listen: Endpoint, gateway: Endpoint, name: str, seed: int, second_octet: int = 200
    ) -> None:
        super().__init__(listen)
        self._gateway = gateway
        self._callers = Callers(name, seed, second_octet)
        self._ended: list[FlowEnded] = []
        self._ended_streams = 0
        self._started_count = 0
        self._waiting: list[WaitForFlows] = []

    def take(self, message: object) -> None:
        """Handle one message."""
        now = now_ms()
        match message:
            case Datagrams(batch):
                for payload, _ in batch:
                    segment = decode(payload)
                    if not isinstance(segment, Malformed):
                        self._callers.arrive(now, segment)
            case StartRequest() | StartStream() | EndStreams():
                self._started_count += not isinstance(message, EndStreams)
                self._callers.command(now, message)
            case AskCallers(reply):
                if not reply.done():
                    reply.set_result(self._report())
            case WaitForFlows():
                self._waiting.append(message)
            case Wake():
                self._callers.expire(now)
            case _:
                raise TypeError(message)
        for segment in self._callers.sent:
            self.send(encode(segment), self._gateway)
        self._callers.sent.clear()
        self._ended += self._callers.ended
        self._ended_streams += sum(flow.is_stream for flow in self._callers.ended)
        self._callers.ended.clear()
        self._answer_waiting()

    def next_deadline_ms(self) -> int | None:
        """Return when a `Wake` is due."""
        return self._callers.next_deadline_ms

    async def ask(self) -> CallerReport:
        """Return the report; called from other tasks."""
        reply: asyncio.Future[CallerReport] = asyncio.get_running_loop().create_future()
        self.mailbox.put_nowait(AskCallers(reply))
        return await reply

    async def wait_for(self, wanted: FlowCounts, limit_s: float) -> bool:
        """Wait until the counts are reached; return False at the limit."""
        reply: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.mailbox.put_nowait(WaitForFlows(wanted, reply))
        try:
            await asyncio.wait_for(reply, limit_s)
        except TimeoutError:
            return False
        return True

    def _report(self) -> CallerReport:
        callers = self._callers
        return CallerReport(
            self._started_count,
            callers.opened_count,
            callers.open_count,
            callers.flow_count,
            callers.answered_messages,
            self._counts(),
            tuple(self._ended),
        )

    def _counts(self) -> FlowCounts:
        ended_requests = len(self._ended) - self._ended_streams
        return FlowCounts(self._callers.opened_stream_count, self._ended_streams, ended_requests)

    def _answer_waiting(self) -> None:
        counts = self._counts()
        for waiting in [w for w in self._waiting if counts.reaches(w.wanted)]:
            self._waiting.remove(waiting)
            if not waiting.reply.done():
                waiting.reply.set_result(None)
