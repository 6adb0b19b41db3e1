"""Running of a direct daemon as a process, with its signals."""

import asyncio
import gc
import logging
import signal
from collections.abc import Callable

import eliot

from ..internal.clock import now_ms
from ..internal.log import Level, LibraryHandler, Log, print_line
from .daemon import DirectDaemon
from .packet_task import PacketCodec
from .published_store import PublishedKeys
from .settings import DirectSettings


async def serve(
    settings: DirectSettings,
    codec: PacketCodec,
    keys: PublishedKeys,
    on_reload: Callable[[Log], None],
) -> int:
    """Run a daemon until it is stopped by a signal; return the exit status."""
    eliot.add_destinations(print_line)
    log = Log(Level.INFO, now_ms)
    logging.getLogger().addHandler(LibraryHandler(log))
    daemon = DirectDaemon(settings, codec, keys, log)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, daemon.stop)
    loop.add_signal_handler(signal.SIGINT, daemon.stop)
    loop.add_signal_handler(signal.SIGHUP, on_reload, log)
    log.write(Level.INFO, "started", name=settings.name, zone=settings.zone)
    # Modules and classes live as long as the process; a collection need not look at them.
    gc.collect()
    gc.freeze()
    is_graceful = await daemon.run()
    log.write(Level.INFO, "stopped")
    return 0 if is_graceful else 1
