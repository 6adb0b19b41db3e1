"""The load of all targets of a shard, and the choice of a target for an open."""

from collections.abc import Iterator, Sequence
from math import ceil

from ..configuration import Target, TargetState
from ..decisions import Decision, Inform
from ..identifiers import Endpoint, FlowKey, TargetName, ZoneName
from ..notices import TargetEjected
from ..rendezvous import rank
from .lanes import Lane
from .target_load import TargetLoad

# At most half of the active targets are ejected, and never the last one. Otherwise, with few
# targets, wrong ejections could stop the service.
MAX_EJECTED_SHARE = 0.5
# Long requests may always hold half of the slots, and more while a quarter of all slots stays
# free. With only the first limit, 15% of the long requests to three hosts were refused at half
# load.
LONG_SLOT_SHARE = 0.5
SHORT_RESERVE_SHARE = 0.25


class LoadView:
    """Hold the loads of a shard's targets and choose the least loaded one for an open."""

    def __init__(self, seed: int = 0) -> None:
        self._loads: dict[TargetName, TargetLoad] = {}
        self._salt = seed.to_bytes(8, "big")
        self._was_configured = False

    def __iter__(self) -> Iterator[TargetLoad]:
        return iter(self._loads.values())

    def get(self, name: TargetName) -> TargetLoad | None:
        """Return the load of a target, or None."""
        return self._loads.get(name)

    def configure(self, now_ms: int, targets: Sequence[Target]) -> None:
        """Apply the targets; those that are new or active again begin with slow start.

        The targets of the first configuration count as warm. Otherwise a manager that takes over
        the shard would cut the capacity of targets that have been serving all along.
        """
        named = {target.name: target for target in targets}
        for load in self._loads.values():
            was_active = load.is_active
            load.is_configured = load.target.name in named
            load.target = named.get(load.target.name, load.target)
            if self._was_configured and load.is_active and not was_active:
                load.begin_slow_start(now_ms)
        started_ms = now_ms if self._was_configured else None
        for name, target in named.items():
            if name not in self._loads:
                self._loads[name] = TargetLoad(target, started_ms)
        self._was_configured = self._was_configured or bool(targets)
        self.forget_unused()
        self._keep_ejections_bounded(now_ms)

    def adopt_target(self, name: TargetName) -> TargetLoad:
        """Add a target that is missing from the configuration, to count its adopted flows."""
        target = Target(name, Endpoint("", 0), ZoneName(""), 0, TargetState.DRAINING, 0, 0)
        load = TargetLoad(target, None)
        load.is_configured = False
        self._loads[name] = load
        return load

    def forget_unused(self) -> None:
        """Drop targets that are no longer configured and have no flows."""
        if all(load.is_configured for load in self._loads.values()):
            return
        kept = {n: ld for n, ld in self._loads.items() if ld.is_configured or not ld.is_unused}
        self._loads = kept

    def in_use(self, now_ms: int, tried: Sequence[TargetName] = ()) -> list[TargetLoad]:
        """Return the targets that take new work, except the tried ones."""
        loads = self._loads.values()
        return [ld for ld in loads if ld.is_in_use(now_ms) and ld.target.name not in tried]

    def healthy(self, now_ms: int, tried: Sequence[TargetName] = ()) -> list[TargetLoad]:
        """Return the targets in use that are not suspect, except the tried ones."""
        return [load for load in self.in_use(now_ms, tried) if not load.health.is_suspect]

    def slot_count(self, now_ms: int) -> int:
        """Return the number of slots of healthy targets, or of all in use if none is healthy."""
        loads = self.healthy(now_ms) or self.in_use(now_ms)
        return sum(load.slot_limit(now_ms) for load in loads)

    def long_slots(self) -> int:
        """Return the number of slots that long requests hold."""
        return sum(load.long_slots for load in self._loads.values())

    def long_slot_limit(self, now_ms: int) -> int:
        """Return the number of slots that long requests may hold regardless of the load."""
        return max(1, int(LONG_SLOT_SHARE * self.slot_count(now_ms)))

    def choose(
        self, now_ms: int, flow: FlowKey, lane: Lane, tried: Sequence[TargetName] = ()
    ) -> TargetLoad | None:
        """Return the least loaded target with free capacity, or None."""
        if lane is Lane.LONG and not self._may_add_long(now_ms):
            return None
        is_request = lane is not Lane.STREAM
        candidates = self.in_use(now_ms, tried)
        if tried:
            # A retried open goes to a healthy target if there is one, not to a suspect one.
            candidates = [ld for ld in candidates if not ld.health.is_suspect] or candidates
        loads = [
            (load.relative_load(now_ms, is_request), load)
            for load in candidates
            if load.has_capacity(now_ms, is_request)
        ]
        if not loads:
            return None
        least = min(relative for relative, _ in loads)
        tied = [load.target.name for relative, load in loads if relative == least]
        first = tied[0] if len(tied) == 1 else rank(self._salt + flow, tied)[0]
        return self._loads[first]

    def _may_add_long(self, now_ms: int) -> bool:
        long_slots = self.long_slots()
        if long_slots < self.long_slot_limit(now_ms):
            return True
        slot_count = self.slot_count(now_ms)
        free = slot_count - sum(load.busy_slots for load in self.in_use(now_ms))
        return free > ceil(SHORT_RESERVE_SHARE * slot_count)

    def eject(self, now_ms: int, load: TargetLoad, cause: str) -> list[Decision]:
        """Eject a failing target unless too many are ejected already."""
        active = [other for other in self._loads.values() if other.is_active]
        ejected = sum(other.health.is_ejected(now_ms) for other in active)
        if load.health.is_ejected(now_ms) or ejected >= int(MAX_EJECTED_SHARE * len(active)):
            return []
        duration_ms = load.health.eject(now_ms)
        return [Inform(TargetEjected(load.target.name, cause, duration_ms))]

    def _keep_ejections_bounded(self, now_ms: int) -> None:
        active = [load for load in self._loads.values() if load.is_active]
        ejected = [load for load in active if load.health.is_ejected(now_ms)]
        ejected.sort(key=lambda load: load.health.ejected_until_ms)
        surplus = len(ejected) - int(MAX_EJECTED_SHARE * len(active))
        for load in ejected[: max(0, surplus)]:
            load.health.end_ejection(now_ms)
