"""Opens that await their caller's next packet, ordered by deadline."""

from collections import deque
from typing import NamedTuple

from ..identifiers import FlowKey

# Callers confirm a target's SYN-ACK within a few milliseconds. An open that is not confirmed for
# this long goes to a second target, well before the caller retransmits it after 200 ms.
ANSWER_TIMEOUT_MS = 50
# A timer that runs this late shows that the process was busy. Answers may then still be unread,
# so the deadline is extended.
LATE_TIMER_MS = 10
EXTENSION_MS = 20


class _PendingOpen(NamedTuple):
    due_ms: int
    flow: FlowKey
    attempt_ms: int


class PendingOpens:
    """Queue of the deadlines after which opens count as unanswered."""

    def __init__(self) -> None:
        self._waiting: deque[_PendingOpen] = deque()
        self._extended: deque[_PendingOpen] = deque()

    @property
    def deadline_ms(self) -> int | None:
        """Return the earliest deadline, or None."""
        deadlines = [queue[0].due_ms for queue in (self._waiting, self._extended) if queue]
        return min(deadlines, default=None)

    def add(self, now_ms: int, flow: FlowKey) -> None:
        """Add an open that is sent now."""
        self._waiting.append(_PendingOpen(now_ms + ANSWER_TIMEOUT_MS, flow, now_ms))

    def pop_due(self, now_ms: int) -> list[tuple[FlowKey, int]]:
        """Remove the opens past their deadline; return their flows and attempt times."""
        flows = []
        while self._extended and self._extended[0].due_ms <= now_ms:
            waiting = self._extended.popleft()
            flows.append((waiting.flow, waiting.attempt_ms))
        while self._waiting and self._waiting[0].due_ms <= now_ms:
            waiting = self._waiting.popleft()
            if now_ms - waiting.due_ms > LATE_TIMER_MS:
                self._extended.append(waiting._replace(due_ms=now_ms + EXTENSION_MS))
            else:
                flows.append((waiting.flow, waiting.attempt_ms))
        return flows

    def clear(self) -> None:
        """Discard all pending opens: after a process pause, a missing answer proves nothing."""
        self._waiting.clear()
        self._extended.clear()
