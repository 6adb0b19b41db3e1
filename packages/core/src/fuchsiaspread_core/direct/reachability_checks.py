"""Connection checks of targets that do not answer, and of other targets in the same zone."""

from typing import assert_never

from ..identifiers import TargetName, ZoneName
from .effects import CheckTarget, DirectEffect, Notify
from .events import CheckOutcome
from .known_target import KnownTarget
from .notices import ReachabilityChanged, ZoneReachabilityChanged
from .reachability import ReachabilityEvent
from .targets import TargetDirectory
from .zone_checks import ZoneChecks, most_recent_responder

EVENT_BY_OUTCOME = {
    CheckOutcome.CONNECTED: ReachabilityEvent.CONNECTED,
    CheckOutcome.REFUSED: ReachabilityEvent.NOT_CONNECTED,
    CheckOutcome.TIMED_OUT: ReachabilityEvent.NOT_CONNECTED,
    CheckOutcome.INCONCLUSIVE: ReachabilityEvent.INCONCLUSIVE,
}


class ReachabilityChecks:
    """Start checks and process their outcomes."""

    def __init__(self, targets: TargetDirectory) -> None:
        self._targets = targets
        self._unreachable: dict[TargetName, KnownTarget] = {}
        self._zone_checks = ZoneChecks()
        self._reported_zones: frozenset[ZoneName] = frozenset()

    def start_check(self, now_ms: int, known: KnownTarget) -> list[DirectEffect]:
        """Check a target that did not answer, unless a check is running or has just ended."""
        return _check(known) if known.reachability.apply(now_ms, ReachabilityEvent.DOUBT) else []

    def lost_zones(self, now_ms: int) -> frozenset[ZoneName]:
        """Return the zones that cannot be reached."""
        return self._zone_checks.lost_zones(now_ms) if self._unreachable else frozenset()

    def record_answer(self, now_ms: int, known: KnownTarget) -> None:
        """Record that a target answered a caller."""
        self._zone_checks.record_answer(now_ms, known)

    def check_in_lost_zone(self, now_ms: int, known: KnownTarget) -> list[DirectEffect]:
        """Check a target that a caller needs, if the target's zone is lost."""
        if not self._unreachable or not self._zone_checks.is_lost(now_ms, known.published.zone):
            return []
        return self.start_check(now_ms, known)

    def handle_outcome(
        self, now_ms: int, known: KnownTarget, outcome: CheckOutcome
    ) -> list[DirectEffect]:
        """Process the outcome of a check."""
        was_unreachable = known.reachability.is_unreachable
        known.reachability.apply(now_ms, EVENT_BY_OUTCOME[outcome])
        is_unreachable = known.reachability.is_unreachable
        if is_unreachable:
            self._unreachable[known.name] = known
        match outcome:
            case CheckOutcome.CONNECTED | CheckOutcome.REFUSED:
                self._zone_checks.record_reachable(now_ms, known)
            case CheckOutcome.INCONCLUSIVE:
                self._zone_checks.record_unknown(now_ms, known)
            case CheckOutcome.TIMED_OUT:
                self._zone_checks.record_timeout(now_ms, known)
            case _:
                assert_never(outcome)
        if is_unreachable is was_unreachable:
            return []
        zone = known.published.zone
        effects: list[DirectEffect] = [
            Notify(ReachabilityChanged(known.name, zone, not is_unreachable, str(outcome)))
        ]
        if outcome is CheckOutcome.REFUSED:
            return effects
        others = self._others_in_zone(known)
        if is_unreachable:
            event = ReachabilityEvent.DOUBT
            others = self._zone_checks.after_loss(now_ms, known, others)
        else:
            # A partition ends for all targets of a zone at the same time.
            event = ReachabilityEvent.DUE
        for other in others:
            if other.reachability.apply(now_ms, event):
                effects += _check(other)
        return effects

    def recheck_due(self, now_ms: int) -> list[DirectEffect]:
        """Recheck unreachable targets, one per zone; its success triggers checks of the others."""
        effects: list[DirectEffect] = []
        checked: set[ZoneName] = set()
        for known in list(self._unreachable.values()):
            if (
                not known.reachability.is_unreachable
                or self._targets.by_name(known.name) is not known
            ):
                del self._unreachable[known.name]
                continue
            if known.reachability.has_lost_check(now_ms):
                known.reachability.apply(now_ms, ReachabilityEvent.INCONCLUSIVE)
            # A target whose store entry expired during a partition may come back.
            if not known.reachability.is_due(now_ms) or known.is_gone(now_ms):
                continue
            zone = known.published.zone
            if zone in checked:
                known.reachability.postpone(now_ms)
                continue
            checked.add(zone)
            known.reachability.apply(now_ms, ReachabilityEvent.DUE)
            effects += _check(known)
            if self._zone_checks.is_lost(now_ms, zone):
                effects += self._check_responder(now_ms, known)
        return effects + self._report_zones(now_ms)

    def _report_zones(self, now_ms: int) -> list[DirectEffect]:
        lost = self.lost_zones(now_ms)
        changed = sorted(lost ^ self._reported_zones)
        self._reported_zones = lost
        return [Notify(ZoneReachabilityChanged(zone, zone not in lost)) for zone in changed]

    def _check_responder(self, now_ms: int, known: KnownTarget) -> list[DirectEffect]:
        """Check another target of a lost zone: the unreachable ones may just be dead."""
        other = most_recent_responder(now_ms, self._others_in_zone(known))
        return [] if other is None else self.start_check(now_ms, other)

    def _others_in_zone(self, known: KnownTarget) -> list[KnownTarget]:
        zone = known.published.zone
        return [one for one in self._targets if one.published.zone == zone and one is not known]


def _check(known: KnownTarget) -> list[DirectEffect]:
    return [CheckTarget(known.name, known.published.endpoint)]
