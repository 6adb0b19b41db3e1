"""Reachability of a target: a missing answer triggers a connection check, which decides."""

from enum import StrEnum

# No new check starts for this long after a target was found to be reachable.
SETTLED_MS = 500
FIRST_RECHECK_MS = 500
MAX_RECHECK_MS = 1_000
# The outcome of a check arrives within a fraction of this time, or was lost.
CHECK_LIFETIME_MS = 3_000


class ReachabilityState(StrEnum):
    """Reachability of a target, and whether a check of it is running."""

    REACHABLE = "reachable"
    CHECKING = "checking"
    UNREACHABLE = "unreachable"
    RECHECKING = "rechecking"


class ReachabilityEvent(StrEnum):
    """Input of the state machine: `DOUBT` is a missing answer, `DUE` the start of a recheck."""

    ANSWER = "answer"
    DOUBT = "doubt"
    DUE = "due"
    CONNECTED = "connected"
    NOT_CONNECTED = "not_connected"
    INCONCLUSIVE = "inconclusive"


# An event without an entry leaves the state unchanged.
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
    """State machine of one target; a check is running in the states of `CHECKING_STATES`."""

    __slots__ = ("_checked_ms", "_recheck_ms", "due_ms", "settled_ms", "state")

    def __init__(self) -> None:
        self.state = ReachabilityState.REACHABLE
        self.settled_ms = -SETTLED_MS
        self.due_ms = 0
        self._recheck_ms = FIRST_RECHECK_MS
        self._checked_ms = 0

    @property
    def is_unreachable(self) -> bool:
        """Return whether the last check could not connect to the target."""
        return self.state in UNREACHABLE_STATES

    def can_be_doubted(self, now_ms: int) -> bool:
        """Return whether a doubt would start a check, or one is running for an earlier doubt."""
        is_settled = now_ms - self.settled_ms < SETTLED_MS
        return not self.is_unreachable and not is_settled

    def is_due(self, now_ms: int) -> bool:
        """Return whether an unreachable target is due for a recheck."""
        return self.state is ReachabilityState.UNREACHABLE and now_ms >= self.due_ms

    def has_lost_check(self, now_ms: int) -> bool:
        """Return whether the outcome of a recheck is overdue."""
        return (
            self.state is ReachabilityState.RECHECKING
            and now_ms - self._checked_ms >= CHECK_LIFETIME_MS
        )

    def postpone(self, now_ms: int) -> None:
        """Delay the next recheck, since another target of the zone is checked instead."""
        self.due_ms = now_ms + FIRST_RECHECK_MS

    def apply(self, now_ms: int, event: ReachabilityEvent) -> bool:
        """Apply an event; return whether a check must start now."""
        if event is ReachabilityEvent.DOUBT and now_ms - self.settled_ms < SETTLED_MS:
            return False
        before = self.state
        self.state = TRANSITIONS.get((before, event), before)
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
