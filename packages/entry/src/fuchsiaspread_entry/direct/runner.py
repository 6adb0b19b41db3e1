"""Process of a direct daemon, with its signal handlers."""

import asyncio
import gc
import logging
import signal
from collections.abc import Callable

from ..internal.clock import now_ms
from ..internal.log import Level, LibraryHandler, Log
from .daemon import BoundSockets, DirectDaemon
from .log_task import LogTask
from .packet_task import PacketCodec
from .settings import DirectSettings
from .store_reader import StoreReader


def run(
    settings: DirectSettings,
    sockets: BoundSockets,
    codec: PacketCodec,
    store_reader: StoreReader,
    on_reload: Callable[[Log], None],
) -> int:
    """Run a daemon until a signal stops it; return the exit status."""
    # Modules and classes live as long as the process; exclude them from garbage collection.
    gc.freeze()
    return asyncio.run(_serve(settings, sockets, codec, store_reader, on_reload))


async def _serve(
    settings: DirectSettings,
    sockets: BoundSockets,
    codec: PacketCodec,
    store_reader: StoreReader,
    on_reload: Callable[[Log], None],
) -> int:
    output = LogTask(now_ms)
    log = Log(Level.INFO, now_ms, output.write)
    logging.getLogger().addHandler(LibraryHandler(log))
    daemon = DirectDaemon(settings, sockets, codec, store_reader, output, log)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, daemon.stop)
    loop.add_signal_handler(signal.SIGINT, daemon.stop)
    loop.add_signal_handler(signal.SIGHUP, on_reload, log)
    log.write(Level.INFO, "started", name=settings.name, zone=settings.zone)
    is_graceful = await daemon.run()
    log.write(Level.INFO, "stopped")
    output.flush()
    return 0 if is_graceful else 1
