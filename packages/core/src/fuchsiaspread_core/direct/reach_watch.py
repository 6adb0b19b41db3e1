"""Connection attempts to targets in doubt, and what their outcomes mean for other targets."""

from collections.abc import Iterable

from ..identifiers import TargetName, ZoneName
from .effects import CheckTarget, DirectEffect, Notify
from .events import CheckOutcome
from .notices import ReachChanged
from .reachability import Sign
from .targets import KnownTarget, TargetDirectory

SIGNS = {
    CheckOutcome.CONNECTED: Sign.CONNECTED,
    CheckOutcome.REFUSED: Sign.NOT_CONNECTED,
    CheckOutcome.TIMED_OUT: Sign.NOT_CONNECTED,
    CheckOutcome.INCONCLUSIVE: Sign.INCONCLUSIVE,
}


class ReachWatch:
    """Start checks and take their outcomes."""

    def __init__(self, targets: TargetDirectory) -> None:
        self._targets = targets
        self._unreachable: dict[TargetName, KnownTarget] = {}

    def doubt(self, now_ms: int, known: KnownTarget) -> list[DirectEffect]:
        """Check a target that did not answer."""
        return _check(known) if known.reach.note(now_ms, Sign.DOUBT) else []

    def take(self, now_ms: int, known: KnownTarget, outcome: CheckOutcome) -> list[DirectEffect]:
        """Take the outcome of a check."""
        was_unreachable = known.reach.is_unreachable
        known.reach.note(now_ms, SIGNS[outcome])
        is_unreachable = known.reach.is_unreachable
        if is_unreachable:
            self._unreachable[known.name] = known
        if is_unreachable is was_unreachable:
            return []
        zone = known.published.zone
        effects: list[DirectEffect] = [
            Notify(ReachChanged(known.name, zone, not is_unreachable, str(outcome)))
        ]
        if outcome is CheckOutcome.REFUSED:
            return effects
        # A partition begins and ends for all targets of a zone at the same moment.
        for other in self._of_zone(known):
            sign = Sign.DOUBT if is_unreachable else Sign.DUE
            if other.reach.note(now_ms, sign):
                effects += _check(other)
        return effects

    def due(self, now_ms: int) -> list[DirectEffect]:
        """Check unreachable targets again: one a zone, whose success leads to the others."""
        effects: list[DirectEffect] = []
        checked: set[ZoneName] = set()
        for known in list(self._unreachable.values()):
            if not known.reach.is_unreachable or self._targets.by_name(known.name) is not known:
                del self._unreachable[known.name]
                continue
            if known.reach.has_lost_check(now_ms):
                known.reach.note(now_ms, Sign.INCONCLUSIVE)
            # A target whose entry lapsed during a partition may come back.
            if not known.reach.is_due(now_ms) or known.is_gone(now_ms):
                continue
            zone = known.published.zone
            if zone in checked:
                known.reach.postpone(now_ms)
                continue
            checked.add(zone)
            known.reach.note(now_ms, Sign.DUE)
            effects += _check(known)
        return effects

    def _of_zone(self, known: KnownTarget) -> Iterable[KnownTarget]:
        zone = known.published.zone
        return [one for one in self._targets if one.published.zone == zone and one is not known]


def _check(known: KnownTarget) -> list[DirectEffect]:
    return [CheckTarget(known.name, known.published.endpoint)]
