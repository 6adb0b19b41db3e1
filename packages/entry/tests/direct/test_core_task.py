"""The direct core task under overload, and when the core raises an unexpected error."""

import asyncio
import unittest
from collections.abc import Callable
from unittest.mock import patch

from fuchsiaspread_core.direct import (
    Destination,
    DirectCore,
    DirectEvent,
    PublishedTarget,
    Route,
    RouteKind,
    RouteSet,
    RoutesPublished,
    StopRequested,
    TargetPhase,
    TargetPublished,
    TargetsListed,
    Tick,
)
from fuchsiaspread_core.identifiers import Endpoint, ServiceName, TargetName, ZoneName, address_key
from fuchsiaspread_entry.direct.core_task import MAX_EVENTS_PER_BATCH, CoreTask
from fuchsiaspread_entry.direct.messages import (
    MAILBOX_LIMIT,
    CountsAsked,
    DirectMailboxes,
    EventsReceived,
)
from fuchsiaspread_entry.direct.notice_log import NoticeLog
from fuchsiaspread_entry.internal.log import Level, Log

TEST_TIMEOUT_S = 10.0
TARGET = PublishedTarget(
    TargetName("i-7f3a91c2"),
    ServiceName("desk"),
    Endpoint("10.128.0.9", 8080),
    ZoneName("centre"),
    slots=3,
    phase=TargetPhase.READY,
    cold_ms=0,
    started_ms=1,
)


ROUTE = Route(
    "feed",
    address_key(Endpoint("198.18.0.1", 443)),
    RouteKind.IDEMPOTENT,
    (Destination(TARGET.service, 1),),
    timeout_ms=2_500,
    latency_objective_ms=250,
)


class CoreTaskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.mailboxes = DirectMailboxes()
        self.lines: list[dict[str, object]] = []
        self.stopped = asyncio.Event()
        log = Log(Level.INFO, lambda: 1_000, lambda **fields: self.lines.append(fields))
        self.core = DirectCore(1, 60_000, stop_grace_ms=0)
        # The directory holds targets of routed services only.
        self.core.handle(1_000, RoutesPublished(RouteSet(1, (ROUTE,), idle_timeout_ms=15_000)))
        notices = NoticeLog(log, lambda packet: None)
        self.task = CoreTask(
            self.core, self.mailboxes, notices, lambda: 1_000, lambda: self.stopped.set()
        )

    async def _run_until(self, is_done: Callable[[], bool]) -> None:
        running = asyncio.create_task(self.task.run())
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not is_done():
                    self.assertFalse(running.done(), running)
                    await asyncio.sleep(0)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    async def test_overload_loses_no_change_of_a_target_and_no_stop(self) -> None:
        """Guards against a target that drains, or a planned stop, lost in a full mailbox.

        The store reports each change once; a lost one would stay unknown until the target leaves.
        """
        for _ in range(MAILBOX_LIMIT + 1):
            self.mailboxes.core.put(EventsReceived([]))
        self.mailboxes.core.put_control(EventsReceived([TargetsListed((TARGET,))]))
        self.mailboxes.core.put_control(EventsReceived([StopRequested(), Tick()]))
        await self._run_until(self.stopped.is_set)
        self.assertIsNotNone(self.core.targets.by_name(TARGET.name))

    async def test_change_overtakes_the_packets_that_were_taken_before_it(self) -> None:
        """Guards against a configuration, or a drain, that is late on a VM short of processor time.

        Pattern: a VM has taken a second of packets when the store reports a change.
        """
        handled: list[type] = []

        def record(now_ms: int, event: DirectEvent) -> list[object]:
            handled.append(type(event))
            if len(handled) == 1:
                self.mailboxes.core.put_control(EventsReceived([TargetPublished(TARGET)]))
            return []

        with patch.object(self.core, "handle", record):
            for _ in range(10):
                self.mailboxes.core.put(EventsReceived([Tick()] * (2 * MAX_EVENTS_PER_BATCH)))
            await self._run_until(lambda: TargetPublished in handled)
        self.assertLessEqual(handled.index(TargetPublished), MAX_EVENTS_PER_BATCH)

    def test_batches_of_packets_are_bounded_by_their_packets(self) -> None:
        """Guards against a queue that outgrows the memory: each message holds up to 64 packets."""
        batch = EventsReceived([Tick()] * 64)
        taken = 0
        while self.mailboxes.core.put(batch, len(batch.events)):
            taken += len(batch.events)
        self.assertLess(taken, MAILBOX_LIMIT + len(batch.events))

    async def test_unexpected_error_costs_one_event_and_is_counted(self) -> None:
        """Guards against one event that ends the whole process."""
        handle = self.core.handle

        def fail_on_tick(now_ms: int, event: DirectEvent) -> list[object]:
            if isinstance(event, Tick):
                raise KeyError("defect")
            return handle(now_ms, event)  # type: ignore[return-value]

        events = [Tick(), TargetPublished(TARGET)]
        reply = asyncio.get_running_loop().create_future()
        with patch.object(self.core, "handle", fail_on_tick):
            self.mailboxes.core.put(EventsReceived(events))
            self.mailboxes.core.put(CountsAsked(reply))
            await self._run_until(reply.done)
        self.assertIsNotNone(self.core.targets.by_name(TARGET.name))
        self.assertEqual(reply.result().events_failed["Tick"], 1)
        failed = [line for line in self.lines if line["message_type"] == "event_failed"]
        self.assertEqual([line["cause"] for line in failed], ["KeyError('defect')"])


if __name__ == "__main__":
    unittest.main()
