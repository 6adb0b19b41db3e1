"""Distinction between a lost target and a lost zone, by a sample of the zone's targets."""

from collections.abc import Collection
from enum import StrEnum

from ..identifiers import TargetName, ZoneName
from .targets import KnownTarget

# Targets of a zone that are checked when one of them cannot be reached.
SAMPLE_TARGETS = 3
# No new sample starts for this long after a target of the zone was reached.
CALM_MS = 1_000
# A sample whose outcomes were lost counts as over after this time.
PHASE_LIFETIME_MS = 3_000


class ZonePhase(StrEnum):
    """How far a zone is under suspicion."""

    CALM = "calm"
    SAMPLING = "sampling"
    LOST = "lost"


class ZoneEvent(StrEnum):
    """Input of the state machine."""

    TARGET_LOST = "target_lost"
    SAMPLE_LOST = "sample_lost"
    REACHABLE = "reachable"
    UNKNOWN = "unknown"


# An event without an entry leaves the phase unchanged.
TRANSITIONS: dict[tuple[ZonePhase, ZoneEvent], ZonePhase] = {
    (ZonePhase.CALM, ZoneEvent.TARGET_LOST): ZonePhase.SAMPLING,
    (ZonePhase.SAMPLING, ZoneEvent.SAMPLE_LOST): ZonePhase.LOST,
    (ZonePhase.SAMPLING, ZoneEvent.REACHABLE): ZonePhase.CALM,
    (ZonePhase.SAMPLING, ZoneEvent.UNKNOWN): ZonePhase.CALM,
    (ZonePhase.LOST, ZoneEvent.REACHABLE): ZonePhase.CALM,
}


class _Zone:
    __slots__ = ("calm_until_ms", "phase", "since_ms", "waiting")

    def __init__(self) -> None:
        self.phase = ZonePhase.CALM
        self.since_ms = 0
        self.calm_until_ms = 0
        # Sampled targets whose checks have not ended.
        self.waiting: set[TargetName] = set()

    def apply(self, now_ms: int, event: ZoneEvent) -> bool:
        """Apply an event; return whether the phase changed."""
        if self.phase is not ZonePhase.CALM and now_ms - self.since_ms > PHASE_LIFETIME_MS:
            self.phase = ZonePhase.CALM
        before = self.phase
        self.phase = TRANSITIONS.get((before, event), before)
        if self.phase is before:
            return False
        self.since_ms = now_ms
        return True


class ZoneChecks:
    """Choose the targets of a zone to check after one of them could not be reached.

    Each entry VM notices a dead target by itself. Checking the target's whole zone each time would
    cost connections of VMs times targets, so the zone is checked only if a sample of it is lost.
    """

    def __init__(self) -> None:
        self._zones: dict[ZoneName, _Zone] = {}

    def after_loss(
        self, now_ms: int, lost: KnownTarget, others: Collection[KnownTarget]
    ) -> list[KnownTarget]:
        """Return which other targets of the zone to check now."""
        zone = self._zones.setdefault(lost.published.zone, _Zone())
        if lost.name in zone.waiting:
            zone.waiting.remove(lost.name)
            if not zone.waiting and zone.apply(now_ms, ZoneEvent.SAMPLE_LOST):
                return list(others)
        if now_ms < zone.calm_until_ms:
            return []
        sample = _sample(now_ms, others)
        if not sample or not zone.apply(now_ms, ZoneEvent.TARGET_LOST):
            return []
        zone.waiting = {one.name for one in sample}
        return sample

    def record_reachable(self, now_ms: int, known: KnownTarget) -> None:
        """Record that the network path to a target of a zone is intact."""
        zone = self._zones.get(known.published.zone)
        if zone is not None:
            zone.apply(now_ms, ZoneEvent.REACHABLE)
            zone.waiting.clear()
            zone.calm_until_ms = now_ms + CALM_MS

    def record_unknown(self, now_ms: int, known: KnownTarget) -> None:
        """Record that a check of a target said nothing; it may have been one of a sample."""
        zone = self._zones.get(known.published.zone)
        if zone is not None and known.name in zone.waiting:
            zone.apply(now_ms, ZoneEvent.UNKNOWN)
            zone.waiting.clear()


def _sample(now_ms: int, others: Collection[KnownTarget]) -> list[KnownTarget]:
    """Return targets to check; those that hold requests come first, since their callers wait."""
    usable = [one for one in others if one.reachability.can_be_doubted(now_ms)]
    return sorted(usable, key=lambda one: -one.busy_requests)[:SAMPLE_TARGETS]
