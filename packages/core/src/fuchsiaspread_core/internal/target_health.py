"""Passive health checks: probation and ejection of targets that fail."""

from ..identifiers import FlowKey

# Three consecutive failures are required, so that one lost packet or one crash does not eject a
# target.
EJECTION_FAILURES = 3
BASE_EJECTION_MS = 1_000
MAX_EJECTION_MS = 60_000
# From the second consecutive failure on, a target gets one open at a time. It does not after the
# first: if each target had lost one stream, callers could only reconnect one by one.
SUSPECT_FAILURES = 2
# Failures further apart than this do not count as consecutive: a host that loses one stream an hour
# is healthy.
FAILURE_MEMORY_MS = 30_000
# An ejection that ended longer ago does not lengthen the next one.
EJECTION_MEMORY_MS = 120_000
# Backoff between opens to a failing target that must not be ejected.
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000


class TargetHealth:
    """Count consecutive failures; after two, the target gets one open at a time until it recovers.

    The count of open failures (silence, reset) is cleared by the next accept. The count of
    failures after an accept (reset, hang) is cleared only by a complete answer, since the kernel
    of a host whose server hangs still accepts connections.
    """

    def __init__(self) -> None:
        self.open_failures = 0
        self.run_failures = 0
        self.ejected_until_ms = 0
        self.probe: FlowKey | None = None
        self._failed_ms = 0
        self._ejection_count = 0
        self._backoff_until_ms = 0
        self._is_returning = False

    @property
    def failures(self) -> int:
        """Return the number of consecutive failures."""
        return self.open_failures + self.run_failures

    @property
    def is_suspect(self) -> bool:
        """Return whether the target gets only one open at a time."""
        return self.failures >= SUSPECT_FAILURES or self._is_returning

    def is_ejected(self, now_ms: int) -> bool:
        """Return whether the target is ejected and gets no new work."""
        return now_ms < self.ejected_until_ms

    def may_open(self, now_ms: int) -> bool:
        """Return whether the target's health allows another open."""
        if self.is_ejected(now_ms):
            return False
        return not self.is_suspect or (self.probe is None and now_ms >= self._backoff_until_ms)

    def start(self, flow: FlowKey) -> None:
        """Record an admitted open; at a suspect target it becomes the probe."""
        if self.is_suspect:
            assert self.probe is None
            self.probe = flow

    def finish(self, flow: FlowKey) -> None:
        """Record that an open or request is over, regardless of its outcome."""
        if self.probe == flow:
            self.probe = None

    def note_open_failure(self, now_ms: int) -> bool:
        """Record an unanswered or reset open; return whether to eject the target."""
        self.open_failures += 1
        return self._record_failure(now_ms)

    def note_run_failure(self, now_ms: int, count: int = 1) -> bool:
        """Record work that failed after the accept; return whether to eject the target."""
        self.run_failures += count
        return self._record_failure(now_ms)

    def note_accept(self) -> bool:
        """Record an accepted open; return whether the target has recovered from an ejection."""
        self.open_failures = 0
        return self._recover()

    def note_answer(self) -> bool:
        """Record a complete answer; return whether the target has recovered from an ejection."""
        self.run_failures = 0
        return self._recover()

    def eject(self, now_ms: int) -> int:
        """Eject the target and return for how long; the time doubles each time, up to a limit."""
        if now_ms - self.ejected_until_ms > EJECTION_MEMORY_MS:
            self._ejection_count = 0
        duration_ms = min(MAX_EJECTION_MS, BASE_EJECTION_MS << min(self._ejection_count, 16))
        self._ejection_count += 1
        self.ejected_until_ms = now_ms + duration_ms
        self._is_returning = True
        return duration_ms

    def end_ejection(self, now_ms: int) -> None:
        """End the ejection early; the target returns as suspect."""
        self.ejected_until_ms = min(self.ejected_until_ms, now_ms)

    def forget_old_failures(self, now_ms: int) -> None:
        """Clear the failure counts if the last failure was long ago."""
        if not self._is_returning and now_ms - self._failed_ms > FAILURE_MEMORY_MS:
            self.open_failures = self.run_failures = 0
            self.probe = None

    def _record_failure(self, now_ms: int) -> bool:
        self._failed_ms = now_ms
        if self.failures > 1:
            backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << min(self.failures - 2, 16))
            self._backoff_until_ms = now_ms + backoff_ms
        return self.failures >= EJECTION_FAILURES

    def _recover(self) -> bool:
        is_back = self._is_returning and self.failures == 0
        if is_back:
            self._is_returning = False
        if not self.is_suspect:
            self.probe = None
        return is_back
