"""Health of a target, derived from its callers' packets.

The target's own packets go straight to the callers, so the entry VM never sees them.
"""

from enum import StrEnum

# Short after a single lost packet; long enough that a dead target receives few opens.
INITIAL_BACKOFF_MS = 500
MAX_BACKOFF_MS = 8_000


class HealthState(StrEnum):
    """Whether a target is trusted with new flows."""

    CLEAR = "clear"
    SUSPECT = "suspect"


class Evidence(StrEnum):
    """What callers' packets show about a target."""

    ANSWER = "answer"
    SILENCE = "silence"


TRANSITIONS: dict[tuple[HealthState, Evidence], HealthState] = {
    (HealthState.CLEAR, Evidence.ANSWER): HealthState.CLEAR,
    (HealthState.CLEAR, Evidence.SILENCE): HealthState.SUSPECT,
    (HealthState.SUSPECT, Evidence.ANSWER): HealthState.CLEAR,
    (HealthState.SUSPECT, Evidence.SILENCE): HealthState.SUSPECT,
}


class TargetHealth:
    """Count consecutive unanswered opens; a suspect target gets one at a time, with backoff."""

    __slots__ = ("answered_ms", "backoff_until_ms", "state", "unanswered_opens")

    def __init__(self) -> None:
        self.state = HealthState.CLEAR
        self.unanswered_opens = 0
        self.backoff_until_ms = 0
        self.answered_ms = 0

    @property
    def backoff_ms(self) -> int:
        """Return the backoff after the last unanswered open."""
        if self.unanswered_opens == 0:
            return 0
        return min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << min(self.unanswered_opens - 1, 16))

    def is_preferred(self, now_ms: int) -> bool:
        """Return whether the target is not suspect, or its backoff has passed."""
        return self.state is HealthState.CLEAR or now_ms >= self.backoff_until_ms

    def record_open(self, now_ms: int) -> None:
        """Record an open; it starts a new backoff if the target is suspect."""
        if self.state is HealthState.SUSPECT:
            self.backoff_until_ms = now_ms + self.backoff_ms

    def record(self, now_ms: int, evidence: Evidence) -> bool:
        """Record evidence; return whether the state changed."""
        before = self.state
        self.state = TRANSITIONS[before, evidence]
        match evidence:
            case Evidence.ANSWER:
                self.unanswered_opens = 0
                self.answered_ms = now_ms
            case Evidence.SILENCE:
                self.unanswered_opens += 1
                self.backoff_until_ms = now_ms + self.backoff_ms
        return self.state is not before
