"""What the packets of callers tell about a target that this entry VM never hears itself."""

from enum import StrEnum

# A single loss costs one target a short pause; a dead target is asked rarely.
FIRST_PAUSE_MS = 500
MAX_PAUSE_MS = 8_000


class Standing(StrEnum):
    """Name how far a target is trusted with new flows."""

    CLEAR = "clear"
    SUSPECT = "suspect"


class Evidence(StrEnum):
    """Name what callers' packets show of a target."""

    ANSWER = "answer"
    SILENCE = "silence"


TRANSITIONS: dict[tuple[Standing, Evidence], Standing] = {
    (Standing.CLEAR, Evidence.ANSWER): Standing.CLEAR,
    (Standing.CLEAR, Evidence.SILENCE): Standing.SUSPECT,
    (Standing.SUSPECT, Evidence.ANSWER): Standing.CLEAR,
    (Standing.SUSPECT, Evidence.SILENCE): Standing.SUSPECT,
}


class TargetHealth:
    """Count silent opens in a row; a suspect gets single opens after growing pauses."""

    __slots__ = ("answered_ms", "pause_until_ms", "silences", "standing")

    def __init__(self) -> None:
        self.standing = Standing.CLEAR
        self.silences = 0
        self.pause_until_ms = 0
        self.answered_ms = 0

    @property
    def pause_ms(self) -> int:
        """Return the pause after the last silence."""
        if self.silences == 0:
            return 0
        return min(MAX_PAUSE_MS, FIRST_PAUSE_MS << min(self.silences - 1, 16))

    def is_preferred(self, now_ms: int) -> bool:
        """Return whether the target may be chosen while others answer."""
        return self.standing is Standing.CLEAR or now_ms >= self.pause_until_ms

    def start_open(self, now_ms: int) -> None:
        """Note an open; on a suspect it is the only one until its outcome is known."""
        if self.standing is Standing.SUSPECT:
            self.pause_until_ms = now_ms + self.pause_ms

    def note(self, now_ms: int, evidence: Evidence) -> bool:
        """Take evidence; return whether the standing changed."""
        before = self.standing
        self.standing = TRANSITIONS[before, evidence]
        match evidence:
            case Evidence.ANSWER:
                self.silences = 0
                self.answered_ms = now_ms
            case Evidence.SILENCE:
                self.silences += 1
                self.pause_until_ms = now_ms + self.pause_ms
        return self.standing is not before
