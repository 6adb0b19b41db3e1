"""What the packets of callers tell about a target that this entry VM never hears itself."""

from enum import StrEnum

# A single loss costs one target a short pause; a dead target is asked rarely.
INITIAL_BACKOFF_MS = 500
MAX_BACKOFF_MS = 8_000


class HealthState(StrEnum):
    """Name how far a target is trusted with new flows."""

    CLEAR = "clear"
    SUSPECT = "suspect"


class Evidence(StrEnum):
    """Name what callers' packets show of a target."""

    ANSWER = "answer"
    SILENCE = "silence"


TRANSITIONS: dict[tuple[HealthState, Evidence], HealthState] = {
    (HealthState.CLEAR, Evidence.ANSWER): HealthState.CLEAR,
    (HealthState.CLEAR, Evidence.SILENCE): HealthState.SUSPECT,
    (HealthState.SUSPECT, Evidence.ANSWER): HealthState.CLEAR,
    (HealthState.SUSPECT, Evidence.SILENCE): HealthState.SUSPECT,
}


class TargetHealth:
    """Count silent opens in a row; a suspect gets single opens after growing pauses."""

    __slots__ = ("answered_ms", "backoff_until_ms", "state", "unanswered_opens")

    def __init__(self) -> None:
        self.state = HealthState.CLEAR
        self.unanswered_opens = 0
        self.backoff_until_ms = 0
        self.answered_ms = 0

    @property
    def backoff_ms(self) -> int:
        """Return the pause after the last silence."""
        if self.unanswered_opens == 0:
            return 0
        return min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << min(self.unanswered_opens - 1, 16))

    def is_preferred(self, now_ms: int) -> bool:
        """Return whether the target may be chosen while others answer."""
        return self.state is HealthState.CLEAR or now_ms >= self.backoff_until_ms

    def record_open(self, now_ms: int) -> None:
        """Note an open; on a suspect it is the only one until its outcome is known."""
        if self.state is HealthState.SUSPECT:
            self.backoff_until_ms = now_ms + self.backoff_ms

    def record(self, now_ms: int, evidence: Evidence) -> bool:
        """Take evidence; return whether the standing changed."""
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
