"""Delays between the calls of one entry VM to the store."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

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
# An answer of over half the size of the largest one is a large one.
LARGE_PARTS = 2


def pause_for(change_bound_ms: int) -> int:
    """Return the pause after changes, given the time in which a change must be in force."""
    return min(MAX_PAUSE_MS, max(MIN_PAUSE_MS, change_bound_ms // PAUSE_PARTS))


class View(StrEnum):
    """Whether the store may hold changes that it has not passed on yet."""

    CURRENT = "current"
    BEHIND = "behind"


class Content(StrEnum):
    """What an answer to a watch holds: no changes, all there are, or possibly a part of them."""

    NOTHING = "nothing"
    COMPLETE = "complete"
    MAYBE_PARTIAL = "maybe_partial"


class Step(StrEnum):
    """How to go on after an answer: wait for changes, ask for those that exist, or pause first."""

    WATCH = "watch"
    POLL = "poll"
    PAUSE = "pause"


# A store may split its changes into answers of any size. After one that may be a part it is asked
# again at once, until an answer without changes shows that the view is current.
TRANSITIONS: dict[tuple[View, Content], tuple[View, Step]] = {
    (View.CURRENT, Content.NOTHING): (View.CURRENT, Step.WATCH),
    (View.CURRENT, Content.COMPLETE): (View.CURRENT, Step.PAUSE),
    (View.CURRENT, Content.MAYBE_PARTIAL): (View.BEHIND, Step.POLL),
    (View.BEHIND, Content.NOTHING): (View.CURRENT, Step.PAUSE),
    (View.BEHIND, Content.COMPLETE): (View.BEHIND, Step.POLL),
    (View.BEHIND, Content.MAYBE_PARTIAL): (View.BEHIND, Step.POLL),
}


@dataclass(frozen=True, slots=True)
class NextCall:
    """When to call the store again, and whether the call may wait for changes."""

    delay_ms: int
    may_wait: bool


class _FullestAnswer:
    """The most that the store has put into one answer, as far as this entry VM has seen.

    A store that cuts its answers fills each of them up while it holds changes back. One that has
    put more into an answer before would have done so now.
    """

    def __init__(self) -> None:
        self._change_count = 0
        self._size_bytes = 0
        self._change_bytes = 0

    def content_of(self, sizes_bytes: Sequence[int]) -> Content:
        """Return what an answer with changes of these sizes holds."""
        if not sizes_bytes:
            return Content.NOTHING
        size_bytes, change_bytes = sum(sizes_bytes), max(*sizes_bytes, self._change_bytes)
        if len(sizes_bytes) > self._change_count and size_bytes > self._size_bytes:
            # None of the answers before was full.
            return Content.COMPLETE
        is_full = len(sizes_bytes) == self._change_count
        # The next change may have been too large to fit. Small answers count as complete all the
        # same: if one is not, the large answer that follows shows it.
        is_large = size_bytes * LARGE_PARTS > self._size_bytes
        has_no_room = is_large and size_bytes + change_bytes > self._size_bytes
        return Content.MAYBE_PARTIAL if is_full or has_no_room else Content.COMPLETE

    def add(self, change_count: int, size_bytes: int, change_bytes: int) -> None:
        """Add an answer with its number of changes, its size and the size of its largest change."""
        self._change_count = max(self._change_count, change_count)
        self._size_bytes = max(self._size_bytes, size_bytes)
        self._change_bytes = max(self._change_bytes, change_bytes)


class StorePacing:
    """Decide when to make the next call.

    Changes that are made during a pause arrive in one call, so the calls of an entry VM are bounded
    by the pause and do not grow with the number of targets. `jitter` is random, from 0 to 1.
    """

    def __init__(self, pause_ms: int) -> None:
        self._pause_ms = pause_ms
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._view = View.CURRENT
        self._fullest = _FullestAnswer()
        # Whether a watch has been answered since the last read.
        self._is_read_followed = True

    def after_read(self, largest_bytes: int) -> NextCall:
        """Return the next call after everything was read, of which one value was the largest.

        Changes made during the read wait to be watched.
        """
        self._view = View.CURRENT
        self._fullest.add(0, largest_bytes, largest_bytes)
        self._is_read_followed = False
        return NextCall(0, may_wait=True)

    def after_answer(self, sizes_bytes: Sequence[int], jitter: float) -> NextCall:
        """Return the next call after an answer to a watch, given the sizes of its changes."""
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._is_read_followed = True
        content = self._fullest.content_of(sizes_bytes)
        self._fullest.add(len(sizes_bytes), sum(sizes_bytes), max(sizes_bytes, default=0))
        self._view, step = TRANSITIONS[self._view, content]
        match step:
            case Step.WATCH:
                return NextCall(0, may_wait=True)
            case Step.POLL:
                return NextCall(0, may_wait=False)
            case Step.PAUSE:
                pause_ms = round(self._pause_ms * (1 - PAUSE_JITTER * jitter))
                return NextCall(pause_ms, may_wait=True)

    def after_lost_history(self, jitter: float) -> NextCall:
        """Return when to read everything anew.

        A store that forgets its history faster than it can be followed is read with backoff.
        """
        if not self._is_read_followed:
            return self.after_failure(jitter)
        self._is_read_followed = False
        return NextCall(0, may_wait=True)

    def after_failure(self, jitter: float) -> NextCall:
        """Return the next call after a failed one; the delay doubles with each further failure."""
        delay_ms = round(self._backoff_ms * (1 - BACKOFF_JITTER * jitter))
        self._backoff_ms = min(MAX_BACKOFF_MS, self._backoff_ms * 2)
        return NextCall(delay_ms, may_wait=self._view is not View.BEHIND)
