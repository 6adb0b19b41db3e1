"""Daemon of an entry VM: creates its tasks, connects them and runs them."""

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


# Large enough that two entry VMs do not draw the same seed by chance.
SEED_RANGE = 2**63
RELOADABLE_SETTINGS = ("log", "keys")


@dataclass(frozen=True, slots=True)
class Addresses:
    """Hold the addresses that the daemon is bound to."""

    fabric: Endpoint
    peer: Endpoint
    control: Endpoint
    admin: Endpoint


def create_log(settings: Settings) -> Log:
    """Return a log at the configured level; lines go to the registered eliot destinations."""
    return Log(level_of(settings.log), now_ms)


class Daemon:
    """Run the tasks of one entry VM until it is stopped.

    Raises OSError when an address in the settings cannot be bound.
    """

    def __init__(self, settings: Settings, log: Log) -> None:
        self._log = log
        self._settings = settings
        self._mailboxes = mailboxes = Mailboxes()
        self._stop_grace_s = settings.stop_grace_ms / MS_PER_SECOND
        self._stopped = asyncio.Event()
        self._grace_timer: asyncio.TimerHandle | None = None
        # Probe order and retry delays must differ between entry VMs.
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
        self._core = CoreTask(identity, compile_parts, mailboxes, log, now_ms, self._finish_stop)

    @property
    def addresses(self) -> Addresses:
        """Return the bound addresses, with the actual ports where the settings have port 0."""
        return Addresses(
            self._fabric.address,
            self._peer.address,
            self._peer_service.address,
            self._admin.address,
        )

    def submit_events(self, events: Sequence[Event]) -> bool:
        """Queue events for the core task; return False when its mailbox is full."""
        return self._mailboxes.core.put(EventsReceived(events))

    async def run(self) -> bool:
        """Run the tasks until the daemon is stopped; return False if a task failed."""
        tasks = (
            self._admin,
            self._fabric,
            self._peer,
            self._peer_service,
            self._core,
            self._platform,
            self._load,
        )
        return await run_until_stopped(tasks, self._stopped, self._log)

    def stop(self) -> None:
        """Start a graceful stop; further calls have no effect."""
        if self._grace_timer is not None:
            return
        self._log.write(Level.INFO, "stop_requested", grace_s=self._stop_grace_s)
        self._mailboxes.core.put_control(EventsReceived([StopRequested()]))
        loop = asyncio.get_running_loop()
        self._grace_timer = loop.call_later(self._stop_grace_s, self._force_stop)

    def reload(self, settings: Settings) -> None:
        """Apply the log level and the keys of new settings; other changes need a restart."""
        names = [field.name for field in fields(settings) if field.name not in RELOADABLE_SETTINGS]
        changed_names = [
            name for name in names if getattr(settings, name) != getattr(self._settings, name)
        ]
        if changed_names:
            needed = ",".join(changed_names)
            self._log.write(Level.WARNING, "settings_need_restart", settings=needed)
        self._log.level = level_of(settings.log)
        changed = KeysChanged(Keyring(settings.keys))
        self._mailboxes.peer.put_control(changed)
        self._mailboxes.peer_service.put_control(changed)
        self._log.write(Level.INFO, "settings_reloaded", log=settings.log, keys=len(settings.keys))

    def _finish_stop(self) -> None:
        # Wait for running transfers: the next managers need the flow records in them.
        transferred = asyncio.get_running_loop().create_future()
        transferred.add_done_callback(lambda _: self._stopped.set())
        self._mailboxes.peer_service.put_control(TransfersAwaited(transferred))

    def _force_stop(self) -> None:
        self._log.write(Level.WARNING, "stop_grace_ended", grace_s=self._stop_grace_s)
        self._stopped.set()
