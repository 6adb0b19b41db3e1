"""Assembly of the tasks of one direct entry VM."""

import asyncio
import random
from dataclasses import dataclass
from socket import socket

from fuchsiaspread_core.direct import DirectCore, StopRequested
from fuchsiaspread_core.direct.store_pacing import StorePacing

from ..internal.clock import now_ms
from ..internal.log import Level, Log
from ..internal.task_runner import run_until_stopped
from .check_task import CheckTask
from .core_task import CoreTask
from .log_task import LogTask
from .messages import DirectMailboxes, EventsReceived
from .metrics_task import MetricsTask
from .notice_log import NoticeLog
from .packet_task import PacketCodec, PacketTask
from .readiness_task import ReadinessTask
from .settings import DirectSettings
from .store_reader import StoreReader
from .store_task import StoreTask

SEED_RANGE = 2**63


@dataclass(frozen=True, slots=True)
class BoundSockets:
    """Sockets that are bound before the event loop starts, so that no packet is lost meanwhile."""

    packets: socket
    readiness: socket
    metrics: socket


class DirectDaemon:
    """Run the tasks of one entry VM until a stop is requested."""

    def __init__(
        self,
        settings: DirectSettings,
        sockets: BoundSockets,
        codec: PacketCodec,
        store_reader: StoreReader,
        output: LogTask,
        log: Log,
    ) -> None:
        self._log = log
        self._output = output
        self._mailboxes = mailboxes = DirectMailboxes()
        self._stopped = asyncio.Event()
        # With equal seeds, all entry VMs would choose the same one of equally loaded targets.
        seed = random.SystemRandom().randrange(SEED_RANGE)
        self._packets = PacketTask(sockets.packets, codec, mailboxes, log)
        self._readiness = ReadinessTask(sockets.readiness, settings.readiness_path, mailboxes)
        pacing = StorePacing(settings.store_pause_ms)
        self._store = StoreTask(store_reader, pacing, seed, mailboxes, log)
        self._metrics = MetricsTask(sockets.metrics, mailboxes, now_ms, log)
        self._checks = CheckTask(mailboxes, now_ms, log)
        core = DirectCore(seed, settings.flow_lifetime_ms, settings.stop_grace_ms)
        self._core = CoreTask(
            core, mailboxes, NoticeLog(log, codec.request_id), now_ms, self._stopped.set
        )

    async def run(self) -> bool:
        """Run the tasks until stopped; return False when a task failed instead."""
        tasks = (
            self._readiness,
            self._packets,
            self._core,
            self._checks,
            self._store,
            self._metrics,
            self._output,
        )
        return await run_until_stopped(tasks, self._stopped, self._log)

    def stop(self) -> None:
        """Request a graceful stop."""
        self._log.write(Level.INFO, "stop_requested")
        self._mailboxes.core.put_control(EventsReceived([StopRequested()]))
