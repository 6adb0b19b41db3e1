"""Whether a target can be reached: its silence raises doubt, a connection attempt settles it."""

from enum import StrEnum

# A doubt that a connection has just settled is not checked again for this time.
SETTLED_MS = 500
FIRST_RECHECK_MS = 500
MAX_RECHECK_MS = 1_000
# The outcome of a check comes within a fraction of this, or it was lost.
CHECK_LIFETIME_MS = 3_000


class ReachabilityState(StrEnum):
    """Name what is known of the way to a target."""

    REACHABLE = "reachable"
    CHECKING = "checking"
    UNREACHABLE = "unreachable"
    RECHECKING = "rechecking"


class ReachabilityEvent(StrEnum):
    """Name what bears on the way to a target."""

    ANSWER = "answer"
    DOUBT = "doubt"
    DUE = "due"
    CONNECTED = "connected"
    NOT_CONNECTED = "not_connected"
    INCONCLUSIVE = "inconclusive"


# A sign without an entry leaves the state as it is.
TRANSITIONS: dict[tuple[ReachabilityState, ReachabilityEvent], ReachabilityState] = {
    (ReachabilityState.REACHABLE, ReachabilityEvent.DOUBT): ReachabilityState.CHECKING,
    (ReachabilityState.CHECKING, ReachabilityEvent.ANSWER): ReachabilityState.REACHABLE,
    (ReachabilityState.CHECKING, ReachabilityEvent.CONNECTED): ReachabilityState.REACHABLE,
    (ReachabilityState.CHECKING, ReachabilityEvent.NOT_CONNECTED): ReachabilityState.UNREACHABLE,
    (ReachabilityState.CHECKING, ReachabilityEvent.INCONCLUSIVE): ReachabilityState.REACHABLE,
    (ReachabilityState.UNREACHABLE, ReachabilityEvent.ANSWER): ReachabilityState.REACHABLE,
    (ReachabilityState.UNREACHABLE, ReachabilityEvent.DUE): ReachabilityState.RECHECKING,
    (ReachabilityState.RECHECKING, ReachabilityEvent.ANSWER): ReachabilityState.REACHABLE,
    (ReachabilityState.RECHECKING, ReachabilityEvent.CONNECTED): ReachabilityState.REACHABLE,
    (ReachabilityState.RECHECKING, ReachabilityEvent.NOT_CONNECTED): ReachabilityState.UNREACHABLE,
    (ReachabilityState.RECHECKING, ReachabilityEvent.INCONCLUSIVE): ReachabilityState.UNREACHABLE,
}
UNREACHABLE_STATES = frozenset({ReachabilityState.UNREACHABLE, ReachabilityState.RECHECKING})
CHECKING_STATES = frozenset({ReachabilityState.CHECKING, ReachabilityState.RECHECKING})


class Reachability:
    """Follow one target; a check runs while the state is one of `CHECKING_STATES`."""

    __slots__ = ("_checked_ms", "_recheck_ms", "due_ms", "settled_ms", "state")

    def __init__(self) -> None:
        self.state = ReachabilityState.REACHABLE
        self.settled_ms = -SETTLED_MS
        self.due_ms = 0
        self._recheck_ms = FIRST_RECHECK_MS
        self._checked_ms = 0

    @property
    def is_unreachable(self) -> bool:
        """Return whether the last check found no way to the target."""
        return self.state in UNREACHABLE_STATES

    def is_due(self, now_ms: int) -> bool:
        """Return whether an unreachable target is to be checked again."""
        return self.state is ReachabilityState.UNREACHABLE and now_ms >= self.due_ms

    def has_lost_check(self, now_ms: int) -> bool:
        """Return whether a check of an unreachable target never brought an outcome."""
        return (
            self.state is ReachabilityState.RECHECKING
            and now_ms - self._checked_ms >= CHECK_LIFETIME_MS
        )

    def postpone(self, now_ms: int) -> None:
        """Leave the next check to another target of the same zone."""
        self.due_ms = now_ms + FIRST_RECHECK_MS

    def apply(self, now_ms: int, sign: ReachabilityEvent) -> bool:
        """Take a sign; return whether a check must start now."""
        if sign is ReachabilityEvent.DOUBT and now_ms - self.settled_ms < SETTLED_MS:
            return False
        before = self.state
        self.state = TRANSITIONS.get((before, sign), before)
        if self.state is before:
            return False
        match self.state:
            case ReachabilityState.REACHABLE:
                self.settled_ms = now_ms
                self._recheck_ms = FIRST_RECHECK_MS
            case ReachabilityState.UNREACHABLE:
                self.due_ms = now_ms + self._recheck_ms
                self._recheck_ms = min(MAX_RECHECK_MS, self._recheck_ms * 2)
            case ReachabilityState.CHECKING | ReachabilityState.RECHECKING:
                self._checked_ms = now_ms
                return True
        return False
