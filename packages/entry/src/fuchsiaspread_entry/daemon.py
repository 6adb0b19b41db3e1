"""The tasks of one entry VM, put together."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, fields, replace

from fuchsiaspread_configuration import Settings, compile_parts
from fuchsiaspread_core.events import Event, StopRequested
from fuchsiaspread_core.identifiers import Endpoint

from .internal.authentication import Keyring
from .internal.clock import boot_number, now_ms
from .internal.log import Level, Log, level_of
from .internal.mailboxes import Mailboxes
from .internal.task_messages import EventsReceived, KeysChanged, TransfersAwaited
from .internal.task_runner import run_until_stopped
from .tasks.admin_task import AdminTask
from .tasks.core_task import CoreTask, Identity
from .tasks.fabric_task import FabricTask
from .tasks.load_task import LoadTask
from .tasks.peer_service_task import PeerServiceTask
from .tasks.peer_task import PeerTask
from .tasks.platform_task import PlatformTask

MS_PER_SECOND = 1000


# Long enough for two entry VMs never to share one by chance.
SEED_RANGE = 2**63
RELOADED_SETTINGS = ("log", "keys")


@dataclass(frozen=True, slots=True)
class Addresses:
    """Hold the addresses that the daemon has bound."""

    fabric: Endpoint
    peer: Endpoint
    control: Endpoint
    admin: Endpoint


def create_log(settings: Settings) -> Log:
    """Return a log of the settings' level; lines go to the destinations that eliot has."""
    return Log(level_of(settings.log), now_ms)


class Daemon:
    """Run the tasks of one entry VM until it is told to stop.

    Errors: OSError when an address of the settings cannot be bound.
    """

    def __init__(self, settings: Settings, log: Log) -> None:
        self._log = log
        self._settings = settings
        self._mailboxes = mailboxes = Mailboxes()
        self._stop_grace_s = settings.stop_grace_ms / MS_PER_SECOND
        self._stopped = asyncio.Event()
        self._grace_timer: asyncio.TimerHandle | None = None
        # The order of probes and the pauses of retries must differ between entry VMs.
        seed = random.SystemRandom().randrange(SEED_RANGE)
        name, boot, keyring = settings.name, boot_number(), Keyring(settings.keys)
        self._fabric = FabricTask(settings.fabric.listen, mailboxes)
        self._peer = PeerTask(name, settings.peer, boot, keyring, mailboxes)
        self._peer_service = PeerServiceTask(name, settings.control, boot, keyring, mailboxes, log)
        self._admin = AdminTask(name, settings.zone, settings.admin, mailboxes, now_ms)
        self._platform = PlatformTask(settings.site, settings.platform, seed, mailboxes, log)
        self._load = LoadTask(seed, mailboxes)
        member = replace(
            settings.member(), peer=self._peer.address, control=self._peer_service.address
        )
        identity = Identity(member, settings.site, settings.seeds, settings.fabric.gateway, seed)
        self._core = CoreTask(identity, compile_parts, mailboxes, log, now_ms, self._end_stop)

    @property
    def addresses(self) -> Addresses:
        """Return the bound addresses, which tell the ports of settings with port 0."""
        return Addresses(
            self._fabric.address,
            self._peer.address,
            self._peer_service.address,
            self._admin.address,
        )

    def submit_events(self, events: Sequence[Event]) -> bool:
        """Hand events to the core task, as another front end does; False when it is overloaded."""
        return self._mailboxes.core.put(EventsReceived(events))

    async def run(self) -> bool:
        """Run the tasks until stopped; return False when a task failed instead."""
        parts = (
            self._admin,
            self._fabric,
            self._peer,
            self._peer_service,
            self._core,
            self._platform,
            self._load,
        )
        return await run_until_stopped(parts, self._stopped, self._log)

    def stop(self) -> None:
        """Begin a graceful stop; a second call has no effect."""
        if self._grace_timer is not None:
            return
        self._log.write(Level.INFO, "stop_requested", grace_s=self._stop_grace_s)
        self.submit_events([StopRequested()])
        loop = asyncio.get_running_loop()
        self._grace_timer = loop.call_later(self._stop_grace_s, self._end_grace)

    def reload(self, settings: Settings) -> None:
        """Take the log level and the keys of new settings; the rest needs a restart."""
        names = [field.name for field in fields(settings) if field.name not in RELOADED_SETTINGS]
        changed_names = [
            name for name in names if getattr(settings, name) != getattr(self._settings, name)
        ]
        if changed_names:
            needed = ",".join(changed_names)
            self._log.write(Level.WARNING, "settings_need_restart", settings=needed)
        self._log.level = level_of(settings.log)
        changed = KeysChanged(Keyring(settings.keys))
        self._mailboxes.peer.put(changed)
        self._mailboxes.peer_service.put(changed)
        self._log.write(Level.INFO, "settings_reloaded", log=settings.log, keys=len(settings.keys))

    def _end_stop(self) -> None:
        # The next managers need the records whose transfer is still running.
        transferred = asyncio.get_running_loop().create_future()
        transferred.add_done_callback(lambda _: self._stopped.set())
        self._mailboxes.peer_service.put(TransfersAwaited(transferred))

    def _end_grace(self) -> None:
        self._log.write(Level.WARNING, "stop_grace_ended", grace_s=self._stop_grace_s)
        self._stopped.set()
