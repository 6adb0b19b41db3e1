"""What a target's answers say about its health: probation and ejection."""

from ..identifiers import FlowKey

# Three failures in a row are needed, so that one lost packet or one crash does not eject.
EJECTION_FAILURES = 3
FIRST_EJECTION_MS = 1_000
MAX_EJECTION_MS = 60_000
# From the second failure in a row on a target gets single opens only. After the first it does
# not: when each target had lost one stream, reconnecting callers would be let in one by one.
SUSPECT_FAILURES = 2
# Failures further apart are no row: a host that loses a stream an hour works.
FAILURE_MEMORY_MS = 30_000
# An ejection that long ago no longer lengthens the next one.
EJECTION_MEMORY_MS = 120_000
# Pause between attempts on a failing target that may not be ejected.
FIRST_PAUSE_MS = 50
MAX_PAUSE_MS = 1_000


class TargetHealth:
    """Count a target's failures in a row; after two it gets single opens until one succeeds.

    Failures of an open (silence, reset) end with the next accept. Failures after an accept
    (reset, hang) end only with a complete answer, since the kernel of a host whose server
    hangs still accepts connections.
    """

    def __init__(self) -> None:
        self.open_failures = 0
        self.run_failures = 0
        self.ejected_until_ms = 0
        self.probe: FlowKey | None = None
        self._failed_ms = 0
        self._ejection_count = 0
        self._paused_until_ms = 0
        self._is_returning = False

    @property
    def failures(self) -> int:
        """Return the failures in a row."""
        return self.open_failures + self.run_failures

    @property
    def is_suspect(self) -> bool:
        """Return whether the target gets only one open at a time."""
        return self.failures >= SUSPECT_FAILURES or self._is_returning

    def is_ejected(self, now_ms: int) -> bool:
        """Return whether the target gets nothing new for now."""
        return now_ms < self.ejected_until_ms

    def may_open(self, now_ms: int) -> bool:
        """Return whether the target's answers allow a further open."""
        if self.is_ejected(now_ms):
            return False
        return not self.is_suspect or (self.probe is None and now_ms >= self._paused_until_ms)

    def start(self, flow: FlowKey) -> None:
        """Note an admitted open; on a suspect target it is the probe."""
        if self.is_suspect:
            assert self.probe is None
            self.probe = flow

    def finish(self, flow: FlowKey) -> None:
        """Note that an open or request is over, whatever its outcome."""
        if self.probe == flow:
            self.probe = None

    def note_open_failure(self, now_ms: int) -> bool:
        """Note an unanswered or reset open; return whether the target should be ejected."""
        self.open_failures += 1
        return self._pause(now_ms)

    def fail_run(self, now_ms: int, count: int = 1) -> bool:
        """Note work that failed after the accept; return whether to eject the target."""
        self.run_failures += count
        return self._pause(now_ms)

    def note_accept(self) -> bool:
        """Note an accepted open; return whether the target is back after an ejection."""
        self.open_failures = 0
        return self._recover()

    def note_answer(self) -> bool:
        """Note a complete answer; return whether the target is back after an ejection."""
        self.run_failures = 0
        return self._recover()

    def eject(self, now_ms: int) -> int:
        """Eject the target and return for how long; each time doubles it up to a bound."""
        if now_ms - self.ejected_until_ms > EJECTION_MEMORY_MS:
            self._ejection_count = 0
        duration_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(self._ejection_count, 16))
        self._ejection_count += 1
        self.ejected_until_ms = now_ms + duration_ms
        self._is_returning = True
        return duration_ms

    def end_ejection(self, now_ms: int) -> None:
        """Take the target back into use at once, as a suspect."""
        self.ejected_until_ms = min(self.ejected_until_ms, now_ms)

    def forget_old_failures(self, now_ms: int) -> None:
        """Start a new row of failures when the last one is long ago."""
        if not self._is_returning and now_ms - self._failed_ms > FAILURE_MEMORY_MS:
            self.open_failures = self.run_failures = 0
            self.probe = None

    def _pause(self, now_ms: int) -> bool:
        self._failed_ms = now_ms
        if self.failures > 1:
            pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS << min(self.failures - 2, 16))
            self._paused_until_ms = now_ms + pause_ms
        return self.failures >= EJECTION_FAILURES

    def _recover(self) -> bool:
        is_back = self._is_returning and self.failures == 0
        if is_back:
            self._is_returning = False
        if not self.is_suspect:
            self.probe = None
        return is_back
