"""Task that owns the direct core and its timer."""

import asyncio
from collections.abc import Callable, Iterable, Iterator, Sequence
from copy import deepcopy

from fuchsiaspread_core.direct import (
    CheckTarget,
    DirectCore,
    DirectEffect,
    DirectEvent,
    EndProcess,
    Notify,
    StoreReached,
    Tick,
)

from .direct_counts import DirectCounts
from .messages import (
    CheckAsked,
    CoreMessage,
    CountsAsked,
    DirectMailboxes,
    EventsReceived,
    PacketsReady,
    ReadinessChanged,
)
from .notice_log import NoticeLog

TICK_INTERVAL_MS = 200
MS_PER_SECOND = 1000
# A slow VM needs about 10 ms to handle this many opens.
MAX_EVENTS_PER_BATCH = 16


class CoreTask:
    """Pass events to the core and its effects to the other tasks."""

    def __init__(
        self,
        core: DirectCore,
        mailboxes: DirectMailboxes,
        notices: NoticeLog,
        now_ms: Callable[[], int],
        on_end: Callable[[], None],
    ) -> None:
        self._core = core
        self._mailbox = mailboxes.core
        self._packets = mailboxes.packets
        self._checks = mailboxes.checks
        self._readiness = mailboxes.readiness
        self._notices = notices
        self._now_ms = now_ms
        self._on_end = on_end
        self._counts = DirectCounts()
        self._is_ready = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_ms = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            while True:
                self._schedule_tick()
                for message in await self._mailbox.take():
                    await self._receive(message)
        finally:
            if self._timer is not None:
                self._timer.cancel()

    async def _receive(self, message: CoreMessage) -> None:
        """Handle a message; control messages that come meanwhile are handled between its batches.

        A new configuration, or a drain, must not wait for all the packets that were taken before.
        """
        for batch in self._batches_of(message):
            await self._handle_batch(batch)
            for control in self._mailbox.take_control():
                for control_batch in self._batches_of(control):
                    await self._handle_batch(control_batch)

    def _batches_of(self, message: CoreMessage) -> Iterable[Sequence[DirectEvent]]:
        match message:
            case EventsReceived(events=events):
                return _batches(events)
            case CountsAsked(reply=reply):
                if not reply.done():
                    reply.set_result(self._copy_counts())
                return ()

    async def _handle_batch(self, batch: Sequence[DirectEvent]) -> None:
        self._handle(batch)
        # Let the other tasks send these packets and read new ones before the next batch.
        await asyncio.sleep(0)

    def _copy_counts(self) -> DirectCounts:
        self._counts.flow_count = self._core.flow_count
        self._counts.is_ready = self._core.is_ready
        return deepcopy(self._counts)

    def _handle(self, events: Sequence[DirectEvent]) -> None:
        sent: list[DirectEffect] = []
        now_ms = self._now_ms()
        for event in events:
            for effect in self._effects_of(now_ms, event):
                match effect:
                    case Notify(notice=notice):
                        self._counts.record(notice)
                        self._notices.write(notice)
                    case CheckTarget():
                        if not self._checks.put(CheckAsked(effect)):
                            self._notices.write_lost_check(effect.target)
                    case EndProcess():
                        self._on_end()
                    case _:
                        sent.append(effect)
            match event:
                case StoreReached(is_reachable=True):
                    self._counts.store_answered_ms = now_ms
        if sent:
            self._packets.put(PacketsReady(sent))
        if self._core.is_ready != self._is_ready:
            self._is_ready = self._core.is_ready
            self._notices.write_readiness(self._is_ready)
            self._readiness.put(ReadinessChanged(self._is_ready))

    def _effects_of(self, now_ms: int, event: DirectEvent) -> list[DirectEffect]:
        """Return the core's effects; an unexpected error costs this event, not the process."""
        try:
            return self._core.handle(now_ms, event)
        except Exception as error:
            name = type(event).__name__
            self._counts.events_failed[name] += 1
            self._notices.write_failed_event(name, error)
            return []

    def _schedule_tick(self) -> None:
        """Set the timer for the next deadline of the core, or for the tick interval."""
        now_ms = self._now_ms()
        due_ms = self._core.deadline_ms
        if self._timer is not None and self._timer_ms > now_ms:
            if due_ms is None or due_ms >= self._timer_ms:
                return
            self._timer.cancel()
        interval_ms = now_ms + TICK_INTERVAL_MS
        self._timer_ms = interval_ms if due_ms is None else min(due_ms, interval_ms)
        delay_s = max(0, self._timer_ms - now_ms) / MS_PER_SECOND
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._counts.timer_lags.add(max(0, self._now_ms() - self._timer_ms))
        self._mailbox.put(EventsReceived([Tick()]))


def _batches(events: Sequence[DirectEvent]) -> Iterator[Sequence[DirectEvent]]:
    for start in range(0, len(events), MAX_EVENTS_PER_BATCH):
        yield events[start : start + MAX_EVENTS_PER_BATCH]
