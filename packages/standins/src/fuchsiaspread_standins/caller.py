"""Task that runs the flows of many callers on one UDP socket."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from fuchsiaspread_core.identifiers import Endpoint

from .internal.calling import Callers, EndStreams, StartRequest, StartStream
from .internal.datagrams import Datagrams, DatagramTask, DeadlineReached, now_ms
from .internal.segments import Malformed, decode, encode
from .outcomes import FlowEnded


@dataclass(frozen=True, slots=True)
class GetCallerReport:
    """Request a report; the result is set on the future."""

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
    """Request that the future be completed once the counts are reached."""

    wanted: FlowCounts
    reply: "asyncio.Future[None]"


@dataclass(frozen=True, slots=True)
class CallerReport:
    """Hold the counts and the ended flows of the callers."""

    started_count: int
    opened_count: int
    open_count: int
    flow_count: int
    answered_messages: int
    counts: FlowCounts
    ended: tuple[FlowEnded, ...]

    def outcomes(self) -> Counter[str]:
        """Count the ended flows by the class name of their outcome."""
        return Counter(type(flow.outcome).__name__ for flow in self.ended)


class CallerTask(DatagramTask):
    """Own the socket and the flows of the callers."""

    def __init__(
        self, listen: Endpoint, gateway: Endpoint, name: str, seed: int, second_octet: int = 200
    ) -> None:
        super().__init__(listen)
        self._gateway = gateway
        self._callers = Callers(name, seed, second_octet)
        self._ended: list[FlowEnded] = []
        self._ended_streams = 0
        self._started_count = 0
        self._waiters: list[WaitForFlows] = []

    def handle(self, message: object) -> None:
        """Handle one message."""
        now = now_ms()
        match message:
            case Datagrams(batch):
                for payload, _ in batch:
                    segment = decode(payload)
                    if not isinstance(segment, Malformed):
                        self._callers.receive(now, segment)
            case StartRequest() | StartStream() | EndStreams():
                self._started_count += not isinstance(message, EndStreams)
                self._callers.execute(now, message)
            case GetCallerReport(reply):
                if not reply.done():
                    reply.set_result(self._report())
            case WaitForFlows():
                self._waiters.append(message)
            case DeadlineReached():
                self._callers.handle_timers(now)
            case _:
                raise TypeError(message)
        for segment in self._callers.sent:
            self.send(encode(segment), self._gateway)
        self._callers.sent.clear()
        self._ended += self._callers.ended
        self._ended_streams += sum(flow.is_stream for flow in self._callers.ended)
        self._callers.ended.clear()
        self._notify_waiters()

    def next_deadline_ms(self) -> int | None:
        """Return when a `DeadlineReached` message is due."""
        return self._callers.next_deadline_ms

    async def get_report(self) -> CallerReport:
        """Return a report; called from other tasks."""
        reply: asyncio.Future[CallerReport] = asyncio.get_running_loop().create_future()
        self.mailbox.put_nowait(GetCallerReport(reply))
        return await reply

    async def wait_for(self, wanted: FlowCounts, limit_s: float) -> bool:
        """Wait until the counts are reached; return False after `limit_s`."""
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

    def _notify_waiters(self) -> None:
        counts = self._counts()
        for waiting in [w for w in self._waiters if counts.reaches(w.wanted)]:
            self._waiters.remove(waiting)
            if not waiting.reply.done():
                waiting.reply.set_result(None)
