"""Whether a target can be reached: its silence raises doubt, a connection attempt settles it."""

from enum import StrEnum

# A doubt that a connection has just settled is not checked again for this time.
SETTLED_MS = 500
FIRST_RECHECK_MS = 500
MAX_RECHECK_MS = 1_000
# The outcome of a check comes within a fraction of this, or it was lost.
CHECK_LIFETIME_MS = 3_000


class Reach(StrEnum):
    """Name what is known of the way to a target."""

    REACHABLE = "reachable"
    CHECKING = "checking"
    UNREACHABLE = "unreachable"
    RECHECKING = "rechecking"


class Sign(StrEnum):
    """Name what bears on the way to a target."""

    ANSWER = "answer"
    DOUBT = "doubt"
    DUE = "due"
    CONNECTED = "connected"
    NOT_CONNECTED = "not_connected"
    INCONCLUSIVE = "inconclusive"


# A sign without an entry leaves the state as it is.
TRANSITIONS: dict[tuple[Reach, Sign], Reach] = {
    (Reach.REACHABLE, Sign.DOUBT): Reach.CHECKING,
    (Reach.CHECKING, Sign.ANSWER): Reach.REACHABLE,
    (Reach.CHECKING, Sign.CONNECTED): Reach.REACHABLE,
    (Reach.CHECKING, Sign.NOT_CONNECTED): Reach.UNREACHABLE,
    (Reach.CHECKING, Sign.INCONCLUSIVE): Reach.REACHABLE,
    (Reach.UNREACHABLE, Sign.ANSWER): Reach.REACHABLE,
    (Reach.UNREACHABLE, Sign.DUE): Reach.RECHECKING,
    (Reach.RECHECKING, Sign.ANSWER): Reach.REACHABLE,
    (Reach.RECHECKING, Sign.CONNECTED): Reach.REACHABLE,
    (Reach.RECHECKING, Sign.NOT_CONNECTED): Reach.UNREACHABLE,
    (Reach.RECHECKING, Sign.INCONCLUSIVE): Reach.UNREACHABLE,
}
UNREACHABLE_STATES = frozenset({Reach.UNREACHABLE, Reach.RECHECKING})
CHECKING_STATES = frozenset({Reach.CHECKING, Reach.RECHECKING})


class Reachability:
    """Follow one target; a check runs while the state is one of `CHECKING_STATES`."""

    __slots__ = ("_checked_ms", "_recheck_ms", "due_ms", "settled_ms", "state")

    def __init__(self) -> None:
        self.state = Reach.REACHABLE
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
        return self.state is Reach.UNREACHABLE and now_ms >= self.due_ms

    def has_lost_check(self, now_ms: int) -> bool:
        """Return whether a check of an unreachable target never brought an outcome."""
        return self.state is Reach.RECHECKING and now_ms - self._checked_ms >= CHECK_LIFETIME_MS

    def postpone(self, now_ms: int) -> None:
        """Leave the next check to another target of the same zone."""
        self.due_ms = now_ms + FIRST_RECHECK_MS

    def note(self, now_ms: int, sign: Sign) -> bool:
        """Take a sign; return whether a check must start now."""
        if sign is Sign.DOUBT and now_ms - self.settled_ms < SETTLED_MS:
            return False
        before = self.state
        self.state = TRANSITIONS.get((before, sign), before)
        if self.state is before:
            return False
        match self.state:
            case Reach.REACHABLE:
                self.settled_ms = now_ms
                self._recheck_ms = FIRST_RECHECK_MS
            case Reach.UNREACHABLE:
                self.due_ms = now_ms + self._recheck_ms
                self._recheck_ms = min(MAX_RECHECK_MS, self._recheck_ms * 2)
            case Reach.CHECKING | Reach.RECHECKING:
                self._checked_ms = now_ms
                return True
        return False
