"""Seeded sequences of faults, and their injection into the in-memory fleet."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import assert_never

from fuchsiaspread_core.configuration import TargetState
from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_standins.in_memory.fleet import Fleet
from fuchsiaspread_standins.in_memory.packet import CallerPacket, TargetPacket
from fuchsiaspread_standins.in_memory.site import ZONES, Site, entry_member

ENTRY_COUNT = 4
TARGET_COUNT = 7
FAULT_COUNT = 12
FAULT_INTERVAL_MS = 800
# From less than the gap that makes a view stale to more than the time after which the others
# consider a silent member dead.
DURATION_MS = (300, 3_500)
REPLACEMENT_MS = 1_000
LOSS_SHARE = 0.02
DUPLICATE_SHARE = 0.02
DELAYED_SHARE = 0.02
MAX_DELAY_MS = 400


@dataclass(frozen=True, slots=True)
class EntryKilled:
    """Kill an entry VM; another one replaces it later."""

    number: int


@dataclass(frozen=True, slots=True)
class EntryPaused:
    """Pause the process of an entry VM."""

    number: int


@dataclass(frozen=True, slots=True)
class EntryStopped:
    """Stop an entry VM gracefully, after another one has joined."""

    number: int


@dataclass(frozen=True, slots=True)
class ZonePartitioned:
    """Partition a zone's entry VMs and targets from those of the other zones."""

    number: int


@dataclass(frozen=True, slots=True)
class TargetSilent:
    """Let a target drop all packets that it receives."""

    number: int


@dataclass(frozen=True, slots=True)
class TargetRestarted:
    """Let a target lose its connections, so that it responds to their packets with resets."""

    number: int


@dataclass(frozen=True, slots=True)
class TargetDrained:
    """Drain a target, and activate it again later."""

    number: int


Fault = (
    EntryKilled
    | EntryPaused
    | EntryStopped
    | ZonePartitioned
    | TargetSilent
    | TargetRestarted
    | TargetDrained
)


@dataclass(frozen=True, slots=True)
class FaultStep:
    """Fault with its start and duration."""

    at_ms: int
    duration_ms: int
    fault: Fault

    def covers(self, now_ms: int) -> bool:
        """Return whether the fault is active at a time."""
        return self.at_ms <= now_ms < self.at_ms + self.duration_ms


def fault_sequence(seed: int) -> tuple[FaultStep, ...]:
    """Return the sequence of faults for a seed; faults may overlap in time."""
    random = Random(seed)
    kinds = (
        EntryKilled,
        EntryPaused,
        EntryStopped,
        ZonePartitioned,
        TargetSilent,
        TargetRestarted,
        TargetDrained,
    )
    return tuple(
        FaultStep(
            (1 + number) * FAULT_INTERVAL_MS,
            random.randint(*DURATION_MS),
            random.choice(kinds)(random.randrange(TARGET_COUNT)),
        )
        for number in range(FAULT_COUNT)
    )


class FaultRunner:
    """Injects faults into a fleet."""

    def __init__(self, site: Site, fleet: Fleet) -> None:
        self._site = site
        self._fleet = fleet
        self._next_entry = ENTRY_COUNT + 1

    def schedule(self, steps: tuple[FaultStep, ...]) -> None:
        """Schedule faults at their times, counted from now."""
        for step in steps:
            self._fleet.call_later(step.at_ms, lambda step=step: self._begin_step(step))

    def _begin_step(self, step: FaultStep) -> None:
        end_fault = self._start_fault(step.fault)
        if end_fault is not None:
            self._fleet.call_later(step.duration_ms, end_fault)

    def _start_fault(self, fault: Fault) -> Callable[[], None] | None:
        """Start a fault; return the function that ends it, if any."""
        match fault:
            case EntryKilled(number):
                return self._kill(self._entry(number))
            case EntryPaused(number):
                return self._pause(self._entry(number))
            case EntryStopped(number):
                name = self._entry(number)
                self._join()
                return lambda: self._stop(name)
            case ZonePartitioned(number):
                return self._partition(number)
            case TargetSilent(number):
                target = self._fleet.targets[self._site.desk_targets[number].tunnel.host]
                target.is_silent = True
                return lambda: setattr(target, "is_silent", False)
            case TargetRestarted(number):
                host = self._site.desk_targets[number].tunnel.host
                self._fleet.targets[host].connections.clear()
                return None
            case TargetDrained(number):
                self._set_state(number, TargetState.DRAINING)
                return lambda: self._set_state(number, TargetState.ACTIVE)
            case _:
                assert_never(fault)

    def _entry(self, number: int) -> EntryName:
        names = sorted(self._fleet.entries)
        return names[number % len(names)]

    def _kill(self, name: EntryName) -> None:
        running = [entry for entry in self._fleet.entries.values() if not entry.is_frozen]
        # Keep one entry VM running: without any, no decision could be wrong.
        if len(running) > 1 and name in self._fleet.fabric_entries:
            self._fleet.kill_entry(name)
            self._fleet.call_later(REPLACEMENT_MS, self._join)

    def _join(self) -> None:
        self._fleet.add_entry(entry_member(self._next_entry))
        self._next_entry += 1

    def _pause(self, name: EntryName) -> Callable[[], None]:
        self._fleet.freeze_entry(name)
        return lambda: self._resume(name)

    def _resume(self, name: EntryName) -> None:
        if name in self._fleet.entries:
            self._fleet.thaw_entry(name)

    def _stop(self, name: EntryName) -> None:
        if name in self._fleet.entries:
            self._fleet.stop_entry(name)

    def _partition(self, number: int) -> Callable[[], None]:
        zone = ZONES[number % len(ZONES)]
        inside = {n for n, entry in self._fleet.entries.items() if entry.member.zone == zone}
        hosts = {t.tunnel.host for t in self._site.desk_targets if t.zone == zone}
        others = {t.tunnel.host for t in self._site.desk_targets} - hosts
        outside = set(self._fleet.entries) - inside
        self._fleet.cut(inside, outside | others)
        self._fleet.cut(outside, hosts)
        return self._fleet.cuts.clear

    def _set_state(self, number: int, state: TargetState) -> None:
        self._site.change_desk_target(self._site.desk_targets[number].name, state=state)
        self._site.publish(self._fleet)


def inject_packet_faults(fleet: Fleet, seed: int) -> None:
    """Let some packets to the entry VMs be lost, duplicated or delayed."""
    random, spray = Random(seed), fleet.spray

    def spray_with_faults(packet: CallerPacket | TargetPacket, source_host: str = "") -> None:
        chance = random.random()
        if chance < LOSS_SHARE:
            return
        if chance < LOSS_SHARE + DELAYED_SHARE:
            fleet.call_later(random.randint(1, MAX_DELAY_MS), lambda: spray(packet, source_host))
            return
        spray(packet, source_host)
        if chance > 1 - DUPLICATE_SHARE:
            fleet.call_later(random.randint(1, MAX_DELAY_MS), lambda: spray(packet, source_host))

    fleet.spray = spray_with_faults  # type: ignore[method-assign]
