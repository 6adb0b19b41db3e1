"""A complete site on loopback: platform, fabric, targets, callers and entry VM processes."""

import asyncio
import json
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import yaml
from fuchsiaspread_configuration import compile_parts
from fuchsiaspread_core.configuration import Configuration
from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_core.parts import InvalidConfiguration, Part, PartName

from .caller import CallerReport, CallerTask
from .fabric import Fabric, SetEntries, SetRules
from .internal.datagrams import DatagramTask, now_ms
from .internal.deployment import Deployment, load_deployment, parse_endpoint
from .internal.faults import Cut, LinkRule
from .internal.networks import Network, reserve_network
from .internal.publishing import FileChange, Files, MakeInvalid, change_files
from .internal.serving import TargetReport, TargetServer
from .platform import Platform
from .process import EntryProcess, NotReady
from .target import TargetTask

# The last two octets of the address of the callers' socket.
CALLER_HOST = "0.20"
# Difference of the second octets: callers at 10.30.x.y call the services at 10.20.x.y.
CALLER_OCTET_OFFSET = 10
START_LIMIT_S = 20.0
STOP_LIMIT_S = 20.0
# Delay until the platform's member list reflects a change.
LIST_LAG_S = 0.5
# The fabric removes an entry VM that stops gracefully sooner than one that was lost.
WITHDRAW_LAG_S = 0.3
LOST_LAG_S = 1.0


@dataclass(frozen=True, slots=True)
class SiteReport:
    """Hold the reports of callers and targets."""

    callers: CallerReport
    targets: tuple[TargetReport, ...]


@dataclass(frozen=True, slots=True)
class ExpectedRevision:
    """Hold the platform's indexes of the newest valid base file and overlay."""

    base: int
    overlay: int


class Fleet:
    """Own the tasks and the entry VM processes of one site."""

    def __init__(self, example: Path, seed: int, network: Network | None = None) -> None:
        self._network = network or reserve_network()
        self._folder = tempfile.TemporaryDirectory(prefix="fuchsiaspread-")
        self.deployment: Deployment = load_deployment(example, self._network.second_octet)
        self.files = Files(self.deployment.base, self.deployment.overlay)
        self.expected = ExpectedRevision(0, 0)
        self.drained_ms: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._started: set[str] = set()
        self._listed = {entry.name for entry in self.deployment.entries}
        self._fabric_entries = {entry.name for entry in self.deployment.entries}
        self._rules: tuple[LinkRule, ...] = ()
        self._tasks: list[asyncio.Task[None]] = []
        self._background: set[asyncio.Task[None]] = set()
        deployment = self.deployment
        entry_hosts = frozenset(entry.listen.host for entry in deployment.entries)
        self.platform = Platform(deployment.platform)
        self.fabric = Fabric(deployment.gateway, entry_hosts, seed)
        service_host = deployment.configuration.services[0].addresses[0].endpoint.host
        self.caller_octet = int(service_host.split(".")[1]) + CALLER_OCTET_OFFSET
        self.callers = CallerTask(
            Endpoint(f"127.{self._network.second_octet}.{CALLER_HOST}", 0),
            deployment.gateway,
            "flow",
            seed + 1,
            self.caller_octet,
        )
        self.targets = self._make_targets(deployment.configuration, seed)
        self.processes = {
            entry.name: EntryProcess(
                entry.name,
                entry.listen.host,
                entry.admin,
                self._write_settings(entry.name, entry.settings),
            )
            for entry in deployment.entries
        }

    async def start(self) -> list[NotReady]:
        """Start the site and wait until each entry VM is ready; return those that are not."""
        datagram_tasks: list[DatagramTask] = [self.fabric, self.callers, *self.targets.values()]
        self._tasks = [asyncio.create_task(task.run()) for task in datagram_tasks]
        self._update_fabric()
        site = self.deployment.site
        base = self.platform.publish("fuchsiaspread/base", self.files.base.encode())
        key = f"fuchsiaspread/sites/{site}"
        self.expected = ExpectedRevision(
            base, self.platform.publish(key, self.files.overlay.encode())
        )
        self._publish_members()
        await asyncio.gather(*(process.start() for process in self.processes.values()))
        self._started.update(self.processes)
        waits = [process.wait_ready(START_LIMIT_S) for process in self.processes.values()]
        return [answer for answer in await asyncio.gather(*waits) if answer is not None]

    async def stop(self) -> None:
        """Stop all tasks and processes of this fleet."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            await process.wait_ended(STOP_LIMIT_S)
        tasks = [*self._tasks, *self._background]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.platform.stop()
        self._folder.cleanup()
        self._network.release()

    def publish(self, change: FileChange) -> None:
        """Publish a change of the files; an invalid change leaves `expected` unchanged."""
        changed = change_files(self.files, change)
        key = f"fuchsiaspread/sites/{self.deployment.site}"
        if isinstance(change, MakeInvalid):
            self.platform.publish(key, changed.overlay.encode())
            return
        base, overlay = self.expected.base, self.expected.overlay
        if changed.base != self.files.base:
            base = self.platform.publish("fuchsiaspread/base", changed.base.encode())
        if changed.overlay != self.files.overlay:
            overlay = self.platform.publish(key, changed.overlay.encode())
        self.files = changed
        self.expected = ExpectedRevision(base, overlay)

    def publish_files(self, files: Files) -> dict[str, int]:
        """Publish the files that differ from the last published ones and return their indexes."""
        overlay_key = f"fuchsiaspread/sites/{self.deployment.site}"
        changed = {}
        for key, old, new in (
            ("fuchsiaspread/base", self.files.base, files.base),
            (overlay_key, self.files.overlay, files.overlay),
        ):
            if new != old:
                changed[key] = self.platform.publish(key, new.encode())
        self.files = files
        if self._start_new_targets(files):
            self.expected = ExpectedRevision(
                changed.get("fuchsiaspread/base", self.expected.base),
                changed.get(overlay_key, self.expected.overlay),
            )
        return changed

    def record_drain(self, target: str) -> None:
        """Record when the drain of a target was published."""
        self.drained_ms[target] = now_ms()

    async def start_entry(self, name: str) -> NotReady | None:
        """Start an entry VM that is not running and add it to the member list."""
        process = self.processes[name]
        await process.start()
        self._started.add(name)
        await process.set_rules(self._rules)
        self._leaving.discard(name)
        self._listed.add(name)
        self._publish_members()
        failure = await process.wait_ready(START_LIMIT_S)
        if failure is None:
            self._fabric_entries.add(name)
            self._update_fabric()
        return failure

    async def stop_entry(self, name: str) -> int | None:
        """Stop an entry VM gracefully; return its exit status, or None if it is still running."""
        self.processes[name].terminate()
        self._started.discard(name)
        self._leaving.add(name)
        self._call_later(LIST_LAG_S, self._publish_members)
        self._call_later(WITHDRAW_LAG_S, lambda: self._withdraw(name))
        status = await self.processes[name].wait_ended(STOP_LIMIT_S)
        self._listed.discard(name)
        self._publish_members()
        return status

    async def kill_entry(self, name: str) -> None:
        """Kill an entry VM; the fabric and the member list follow after a delay."""
        self._started.discard(name)
        self.processes[name].kill()
        await self.processes[name].wait_ended(STOP_LIMIT_S)
        self._listed.discard(name)
        self._call_later(LOST_LAG_S, lambda: self._withdraw(name))
        self._call_later(LOST_LAG_S + LIST_LAG_S, self._publish_members)

    def remove_ended(self, name: str) -> None:
        """Remove an entry VM that exited unexpectedly from the member list and the fabric."""
        self._started.discard(name)
        self._listed.discard(name)
        self._withdraw(name)
        self._publish_members()

    def freeze_entry(self, name: str) -> None:
        """Pause an entry VM; the fabric removes it after the same delay as a lost one."""
        self.processes[name].freeze()
        self._call_later(LOST_LAG_S, lambda: self._withdraw_frozen(name))

    def thaw_entry(self, name: str) -> None:
        """Resume a paused entry VM."""
        self.processes[name].thaw()
        self._fabric_entries.add(name)
        self._update_fabric()

    async def isolate_zone(self, zone: str) -> None:
        """Partition a zone from the other zones and from the platform."""
        inside = self.deployment.hosts_of_zone(zone)
        others = [self.deployment.hosts_of_zone(z) for z in self.deployment.zones() if z != zone]
        outside = frozenset().union(*others) | {self.deployment.platform.host}
        cuts = (LinkRule(inside, outside, Cut()), LinkRule(outside, inside, Cut()))
        await self.set_rules(self._rules + cuts)

    async def hide_platform(self, entry: str) -> None:
        """Make the platform unreachable for an entry VM."""
        hosts = frozenset({self.processes[entry].host})
        await self.add_rule(LinkRule(hosts, frozenset({self.deployment.platform.host}), Cut()))

    async def set_rules(self, rules: tuple[LinkRule, ...]) -> None:
        """Replace the link faults in the fabric and all processes; an empty tuple removes them."""
        self._rules = rules
        self.fabric.mailbox.put_nowait(SetRules(rules))
        await asyncio.gather(*(process.set_rules(rules) for process in self.processes.values()))

    async def add_rule(self, rule: LinkRule) -> None:
        """Add a link fault."""
        await self.set_rules((*self._rules, rule))

    async def report(self) -> SiteReport:
        """Return the reports of callers and targets."""
        targets = [await target.get_report() for target in self.targets.values()]
        return SiteReport(await self.callers.get_report(), tuple(targets))

    @property
    def log_folder(self) -> Path:
        """Return the directory with the settings and the log of each entry VM."""
        return Path(self._folder.name)

    async def status(self, name: str) -> dict[str, object] | None:
        """Return the status page of an entry VM, or None if it does not answer."""
        body = await self.processes[name].fetch("/status")
        return None if body is None else json.loads(body)

    def running(self) -> list[str]:
        """Return the names of the entry VMs that are running and not paused."""
        pairs = self.processes.items()
        return [name for name, process in pairs if process.is_running and not process.is_frozen]

    def unexpectedly_ended(self) -> list[str]:
        """Return the names of the entry VMs that exited without a stop or kill by this fleet."""
        return [n for n in self._started if not self.processes[n].is_running]

    def address(self, name: str) -> Endpoint:
        """Return the endpoint of a service address by its name."""
        base = yaml.safe_load(self.deployment.base)
        for service in base["services"]:
            for address in service["addresses"]:
                if address["name"] == name:
                    return parse_endpoint(address["address"])
        raise ValueError(f"{name}: no such address in the base file")

    def _make_targets(
        self, configuration: Configuration, seed: int, known: frozenset[str] = frozenset()
    ) -> dict[str, TargetTask]:
        targets: dict[str, TargetTask] = {}
        for service in configuration.services:
            addresses = frozenset(address.endpoint for address in service.addresses)
            for target in service.targets:
                if target.name in known:
                    continue
                seed += 1
                server = TargetServer(target.name, addresses, target.slots, seed)
                targets[target.name] = TargetTask(
                    target.tunnel, self.deployment.gateway, server, target.load_endpoint
                )
        return targets

    def _start_new_targets(self, files: Files) -> bool:
        """Start the new targets of the files; return False if the files are invalid."""
        base = Part(PartName.BASE, 1, files.base.encode())
        configuration = compile_parts(base, Part(PartName.OVERLAY, 1, files.overlay.encode()))
        if isinstance(configuration, InvalidConfiguration):
            return False
        added = self._make_targets(configuration, len(self.targets), frozenset(self.targets))
        self.targets |= added
        self._tasks += [asyncio.create_task(task.run()) for task in added.values()]
        return True

    def _write_settings(self, name: str, settings: str) -> Path:
        path = Path(self._folder.name) / f"{name}.yaml"
        path.write_text(settings, encoding="utf-8")
        return path

    def _publish_members(self) -> None:
        listed = []
        for member in self.deployment.members:
            if member.name in self._listed:
                state = "leaving" if member.name in self._leaving else "live"
                listed.append(member.model_copy(update={"state": state}).model_dump())
        key = f"fuchsiaspread/members/{self.deployment.site}"
        self.platform.publish(key, json.dumps(listed).encode())

    def _withdraw(self, name: str) -> None:
        if not self.processes[name].is_running or name in self._leaving:
            self._fabric_entries.discard(name)
            self._update_fabric()

    def _withdraw_frozen(self, name: str) -> None:
        if self.processes[name].is_frozen:
            self._fabric_entries.discard(name)
            self._update_fabric()

    def _update_fabric(self) -> None:
        entries = [e.listen for e in self.deployment.entries if e.name in self._fabric_entries]
        self.fabric.mailbox.put_nowait(SetEntries(tuple(entries)))

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        async def run_action() -> None:
            await asyncio.sleep(delay_s)
            action()

        task = asyncio.create_task(run_action())
        self._background.add(task)
        task.add_done_callback(self._background.discard)
