"""Distinction between a lost target and a lost zone, by a sample of the zone's targets."""

from collections.abc import Collection
from enum import StrEnum

from ..identifiers import TargetName, ZoneName
from .known_target import KnownTarget

# Targets of a zone that are checked when one of them cannot be reached.
SAMPLE_TARGETS = 3
# No new sample starts for this long after a target of the zone was reached.
CALM_MS = 1_000
# A target of the zone that answered a caller this recently shows that the zone is reachable: a
# check that timed out started before that.
ANSWER_PROOF_MS = 200
# Targets of a lost zone that are checked at once. The others follow when a caller needs them, so
# that a partition does not cost connections of VMs times targets.
MAX_CHECKS_AFTER_ZONE_LOSS = 64
# A sample whose outcomes were lost, or the loss of a zone that no check confirms any more, counts
# as over after this time.
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
    STILL_LOST = "still_lost"
    REACHABLE = "reachable"
    UNKNOWN = "unknown"


# An event without an entry leaves the phase unchanged.
TRANSITIONS: dict[tuple[ZonePhase, ZoneEvent], ZonePhase] = {
    (ZonePhase.CALM, ZoneEvent.TARGET_LOST): ZonePhase.SAMPLING,
    (ZonePhase.SAMPLING, ZoneEvent.SAMPLE_LOST): ZonePhase.LOST,
    (ZonePhase.SAMPLING, ZoneEvent.REACHABLE): ZonePhase.CALM,
    (ZonePhase.SAMPLING, ZoneEvent.UNKNOWN): ZonePhase.CALM,
    (ZonePhase.LOST, ZoneEvent.STILL_LOST): ZonePhase.LOST,
    (ZonePhase.LOST, ZoneEvent.REACHABLE): ZonePhase.CALM,
}


class _Zone:
    __slots__ = ("answered_ms", "calm_until_ms", "confirmed_ms", "phase", "waiting")

    def __init__(self) -> None:
        self.phase = ZonePhase.CALM
        # When the phase began, or the last check that confirmed it ended.
        self.confirmed_ms = 0
        self.calm_until_ms = 0
        self.answered_ms = -ANSWER_PROOF_MS
        # Sampled targets whose checks have not ended.
        self.waiting: set[TargetName] = set()

    def apply(self, now_ms: int, event: ZoneEvent) -> bool:
        """Apply an event; return whether the phase changed."""
        before = self.phase_at(now_ms)
        after = TRANSITIONS.get((before, event))
        if after is None:
            return False
        self.phase, self.confirmed_ms = after, now_ms
        return after is not before

    def phase_at(self, now_ms: int) -> ZonePhase:
        """Return the phase; one that nothing confirms for long has ended."""
        if now_ms - self.confirmed_ms > PHASE_LIFETIME_MS:
            return ZonePhase.CALM
        return self.phase


class ZoneChecks:
    """Choose the targets of a zone to check after one of them could not be reached.

    Each entry VM notices a dead target by itself. Checking the target's whole zone each time would
    cost connections of VMs times targets. So a sample decides whether the zone is lost, and of a
    lost zone only the targets whose callers would wait are checked.
    """

    def __init__(self) -> None:
        self._zones: dict[ZoneName, _Zone] = {}

    def after_loss(
        self, now_ms: int, lost: KnownTarget, others: Collection[KnownTarget]
    ) -> list[KnownTarget]:
        """Return which other targets of the zone to check now."""
        zone = self._zone_of(lost)
        if lost.name in zone.waiting:
            zone.waiting.remove(lost.name)
            if not zone.waiting and zone.apply(now_ms, ZoneEvent.SAMPLE_LOST):
                return _with_flows(others)
        if now_ms < zone.calm_until_ms or now_ms - zone.answered_ms < ANSWER_PROOF_MS:
            return []
        sample = _sample(now_ms, others)
        if not sample or not zone.apply(now_ms, ZoneEvent.TARGET_LOST):
            return []
        zone.waiting = {one.name for one in sample}
        return sample

    def is_lost(self, now_ms: int, name: ZoneName) -> bool:
        """Return whether a zone is lost: a sample of its targets could not be reached."""
        zone = self._zones.get(name)
        return zone is not None and zone.phase_at(now_ms) is ZonePhase.LOST

    def lost_zones(self, now_ms: int) -> frozenset[ZoneName]:
        """Return the zones that are lost."""
        return frozenset([name for name in self._zones if self.is_lost(now_ms, name)])

    def record_answer(self, now_ms: int, known: KnownTarget) -> None:
        """Record that a target of a zone answered a caller."""
        zone = self._zone_of(known)
        zone.answered_ms = now_ms
        if zone.phase is not ZonePhase.CALM:
            zone.apply(now_ms, ZoneEvent.REACHABLE)
            zone.waiting.clear()

    def record_timeout(self, now_ms: int, known: KnownTarget) -> None:
        """Record that a check of a target timed out, which confirms that a lost zone still is."""
        self._zone_of(known).apply(now_ms, ZoneEvent.STILL_LOST)

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

    def _zone_of(self, known: KnownTarget) -> _Zone:
        name = known.published.zone
        zone = self._zones.get(name)
        if zone is None:
            zone = self._zones[name] = _Zone()
        return zone


def most_recent_responder(now_ms: int, targets: Collection[KnownTarget]) -> KnownTarget | None:
    """Return the target that answered last of those that can be checked, or None.

    It is the least likely to be dead by itself, so its check shows best whether the zone is
    reachable.
    """
    usable = [one for one in targets if one.reachability.can_be_doubted(now_ms)]
    return max(usable, key=lambda one: one.health.answered_ms, default=None)


def _with_flows(others: Collection[KnownTarget]) -> list[KnownTarget]:
    """Return the targets with open flows, those with the most first, up to a limit."""
    used = [one for one in others if one.open_flows]
    return sorted(used, key=lambda one: -one.open_flows)[:MAX_CHECKS_AFTER_ZONE_LOSS]


def _sample(now_ms: int, others: Collection[KnownTarget]) -> list[KnownTarget]:
    """Return targets to check: one that is likely to live, and those whose callers wait."""
    first = most_recent_responder(now_ms, others)
    if first is None:
        return []
    usable = [one for one in others if one is not first and one.reachability.can_be_doubted(now_ms)]
    return [first, *sorted(usable, key=lambda one: -one.busy_requests)][:SAMPLE_TARGETS]
