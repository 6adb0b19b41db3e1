"""Seeded sequences of faults and their effect on the in-memory fleet."""

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
# From less than the gap that makes a view stale to more than the time after which others
# take a silent member for dead.
DURATION_MS = (300, 3_500)
REPLACEMENT_MS = 1_000
LOSS_SHARE = 0.02
REPEAT_SHARE = 0.02
LATE_SHARE = 0.02
MOST_LATE_MS = 400


@dataclass(frozen=True, slots=True)
class EntryKilled:
    """End an entry VM without notice; another takes its place."""

    number: int


@dataclass(frozen=True, slots=True)
class EntryPaused:
    """Pause the process of an entry VM."""

    number: int


@dataclass(frozen=True, slots=True)
class EntryStopped:
    """Stop an entry VM gracefully; another joins before."""

    number: int


@dataclass(frozen=True, slots=True)
class ZoneCut:
    """Separate a zone's entry VMs and targets from the others."""

    number: int


@dataclass(frozen=True, slots=True)
class TargetSilent:
    """Let a target drop all that reaches it."""

    number: int


@dataclass(frozen=True, slots=True)
class TargetRestarted:
    """Let a target forget its connections, so that it answers them with resets."""

    number: int


@dataclass(frozen=True, slots=True)
class TargetDrained:
    """Drain a target for a while."""

    number: int


Fault = (
    EntryKilled
    | EntryPaused
    | EntryStopped
    | ZoneCut
    | TargetSilent
    | TargetRestarted
    | TargetDrained
)


@dataclass(frozen=True, slots=True)
class FaultStep:
    """Hold a fault, its beginning and how long it lasts."""

    at_ms: int
    duration_ms: int
    fault: Fault

    def covers(self, now_ms: int) -> bool:
        """Return whether the fault lasts at a time."""
        return self.at_ms <= now_ms < self.at_ms + self.duration_ms


def fault_sequence(seed: int) -> tuple[FaultStep, ...]:
    """Return the faults of a seed; they overlap in time."""
    random = Random(seed)
    sorts = (
        EntryKilled,
        EntryPaused,
        EntryStopped,
        ZoneCut,
        TargetSilent,
        TargetRestarted,
        TargetDrained,
    )
    return tuple(
        FaultStep(
            (1 + number) * FAULT_INTERVAL_MS,
            random.randint(*DURATION_MS),
            random.choice(sorts)(random.randrange(TARGET_COUNT)),
        )
        for number in range(FAULT_COUNT)
    )


class FaultRunner:
    """Carry out faults on a fleet."""

    def __init__(self, site: Site, fleet: Fleet) -> None:
        self._site = site
        self._fleet = fleet
        self._next_entry = ENTRY_COUNT + 1

    def schedule(self, steps: tuple[FaultStep, ...]) -> None:
        """Have the faults happen at their times, counted from now."""
        for step in steps:
            self._fleet.call_later(step.at_ms, lambda step=step: self._begin(step))

    def _begin(self, step: FaultStep) -> None:
        later = self._carry_out(step.fault)
        if later is not None:
            self._fleet.call_later(step.duration_ms, later)

    def _carry_out(self, fault: Fault) -> Callable[[], None] | None:
        """Begin a fault; return what ends it."""
        match fault:
            case EntryKilled(number):
                return self._kill(self._entry(number))
            case EntryPaused(number):
                return self._pause(self._entry(number))
            case EntryStopped(number):
                name = self._entry(number)
                self._join()
                return lambda: self._stop(name)
            case ZoneCut(number):
                return self._cut(number)
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
        running = [one for one in self._fleet.entries.values() if not one.is_frozen]
        # Without any running entry VM there is no decision that could be wrong.
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

    def _cut(self, number: int) -> Callable[[], None]:
        zone = ZONES[number % len(ZONES)]
        inside = {n for n, one in self._fleet.entries.items() if one.member.zone == zone}
        hosts = {t.tunnel.host for t in self._site.desk_targets if t.zone == zone}
        others = {t.tunnel.host for t in self._site.desk_targets} - hosts
        outside = set(self._fleet.entries) - inside
        self._fleet.cut(inside, outside | others)
        self._fleet.cut(outside, hosts)
        return self._fleet.cuts.clear

    def _set_state(self, number: int, state: TargetState) -> None:
        self._site.change_desk_target(self._site.desk_targets[number].name, state=state)
        self._site.publish(self._fleet)


def disturb_packets(fleet: Fleet, seed: int) -> None:
    """Lose, repeat and delay packets on their way to the entry VMs."""
    random, spray = Random(seed), fleet.spray

    def disturbed(packet: CallerPacket | TargetPacket, source_host: str = "") -> None:
        chance = random.random()
        if chance < LOSS_SHARE:
            return
        if chance < LOSS_SHARE + LATE_SHARE:
            fleet.call_later(random.randint(1, MOST_LATE_MS), lambda: spray(packet, source_host))
            return
        spray(packet, source_host)
        if chance > 1 - REPEAT_SHARE:
            fleet.call_later(random.randint(1, MOST_LATE_MS), lambda: spray(packet, source_host))

    fleet.spray = disturbed  # type: ignore[method-assign]
