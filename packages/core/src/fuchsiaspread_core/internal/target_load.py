"""Slots, connections and condition of one target, as its shard's manager counts them."""

from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from ..configuration import Target, TargetState
from ..identifiers import TargetName
from .held_slots import HeldSlots
from .target_health import TargetHealth

SLOW_START_MS = 10_000
SLOW_START_INITIAL_SHARE = 0.1
# Bounds the unanswered opens at a cold target, so that a burst does not overrun its accept queue
# and empty caches. A warm target has no such limit.
SLOW_START_OPENINGS = 4
# A hint older than two reporting intervals is outdated.
HINT_VALID_MS = 2_000
# A target that reports shedding load is chosen as if it had half of its weight.
SHEDDING_WEIGHT_FACTOR = 0.5


class TargetCondition(StrEnum):
    """Condition of a target in reports."""

    IN_USE = "in_use"
    SLOW_START = "slow_start"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class TargetSummary:
    """Summarize a target's counts and whether it takes new work."""

    name: TargetName
    condition: TargetCondition
    busy_slots: int
    connections: int


class TargetLoad:
    """Count the slots and connections of one target exactly, from the manager's own events."""

    def __init__(self, target: Target, started_ms: int | None) -> None:
        self.target = target
        self.is_configured = True
        self.busy_slots = 0
        self.long_slots = 0
        self.connections = 0
        self.opening_slots = 0
        self.opening_connections = 0
        self.last_answer_ms = -1
        self.health = TargetHealth()
        self.held = HeldSlots()
        self._started_ms = started_ms
        self._shedding_until_ms = 0

    @property
    def is_active(self) -> bool:
        """Return whether the configuration lets the target take new work."""
        is_wanted = self.target.state is TargetState.ACTIVE and self.target.weight > 0
        return self.is_configured and is_wanted

    @property
    def is_unused(self) -> bool:
        """Return whether the target has no busy slot and no connection."""
        return self.busy_slots == 0 and self.connections == 0

    def is_in_use(self, now_ms: int) -> bool:
        """Return whether the target is active and not ejected; it may be suspect or full."""
        return self.is_active and not self.health.is_ejected(now_ms)

    def begin_slow_start(self, now_ms: int) -> None:
        """Start to ramp up the target's share of new work."""
        self._started_ms = now_ms

    def note_shedding(self, now_ms: int, is_shedding: bool) -> None:
        """Apply the target's report on whether it sheds load."""
        self._shedding_until_ms = now_ms + HINT_VALID_MS if is_shedding else 0

    def slot_limit(self, now_ms: int) -> int:
        """Return how many slots may be busy; fewer during slow start."""
        return ceil(self.target.slots * self._share(now_ms))

    def has_capacity(self, now_ms: int, is_request: bool) -> bool:
        """Return whether the target can take one more open now."""
        if not self.is_active or not self.health.may_open(now_ms):
            return False
        openings = self.opening_slots + self.opening_connections
        if self._share(now_ms) < 1.0 and openings >= SLOW_START_OPENINGS:
            return False
        if is_request:
            return self.busy_slots < self.slot_limit(now_ms)
        return self.connections < self.target.connections

    def relative_load(self, now_ms: int, is_request: bool) -> float:
        """Return the load including one more open, relative to weight and slow-start share."""
        weight = self.target.weight * self._share(now_ms)
        if now_ms < self._shedding_until_ms:
            weight *= SHEDDING_WEIGHT_FACTOR
        return ((self.busy_slots if is_request else self.connections) + 1) / weight

    def summary(self, now_ms: int) -> TargetSummary:
        """Return the counts and the condition, for reports."""
        condition = self._condition(now_ms)
        return TargetSummary(self.target.name, condition, self.busy_slots, self.connections)

    def _condition(self, now_ms: int) -> TargetCondition:
        if not self.is_configured:
            return TargetCondition.REMOVED
        if not self.is_active:
            return TargetCondition.DRAINING
        if self.health.is_ejected(now_ms):
            return TargetCondition.EJECTED
        if self.health.is_suspect:
            return TargetCondition.SUSPECT
        return TargetCondition.IN_USE if self._share(now_ms) >= 1.0 else TargetCondition.SLOW_START

    def _share(self, now_ms: int) -> float:
        if self._started_ms is None:
            return 1.0
        age_ms = now_ms - self._started_ms
        if age_ms >= SLOW_START_MS:
            self._started_ms = None
            return 1.0
        return max(SLOW_START_INITIAL_SHARE, age_ms / SLOW_START_MS)
