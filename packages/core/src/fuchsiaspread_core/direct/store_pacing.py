"""Delays between the calls of one entry VM to the store."""

INITIAL_BACKOFF_MS = 100
# Short enough to apply changes soon after an outage, long enough to limit refused calls.
MAX_BACKOFF_MS = 1_000
# The pause after changes takes this part of the time in which a change must be in force. The rest
# is for a call that fails, its backoff and the next call.
PAUSE_PARTS = 3
MIN_PAUSE_MS = 400
# New targets stay without flows for this long.
MAX_PAUSE_MS = 2_000
# Part of a pause that is random, so that a fleet woken by one change does not call all at once.
PAUSE_JITTER = 0.25
# Part of a backoff that is random, so that a fleet does not reconnect all at once.
BACKOFF_JITTER = 0.5


def pause_for(change_bound_ms: int) -> int:
    """Return the pause after changes, given the time in which a change must be in force."""
    return min(MAX_PAUSE_MS, max(MIN_PAUSE_MS, change_bound_ms // PAUSE_PARTS))


class StorePacing:
    """Decide how long to wait before the next call.

    Changes that are made during a pause arrive in one call, so the calls of an entry VM are bounded
    by the pause and do not grow with the number of targets. `jitter` is random, from 0 to 1.
    """

    def __init__(self, pause_ms: int) -> None:
        self._pause_ms = pause_ms
        self._backoff_ms = INITIAL_BACKOFF_MS

    def after_answer(self, has_changes: bool, jitter: float) -> int:
        """Return the delay in ms after an answer of the store."""
        self._backoff_ms = INITIAL_BACKOFF_MS
        return round(self._pause_ms * (1 - PAUSE_JITTER * jitter)) if has_changes else 0

    def after_failure(self, jitter: float) -> int:
        """Return the delay in ms after a failed call; it doubles with each further failure."""
        delay_ms = round(self._backoff_ms * (1 - BACKOFF_JITTER * jitter))
        self._backoff_ms = min(MAX_BACKOFF_MS, self._backoff_ms * 2)
        return delay_ms
