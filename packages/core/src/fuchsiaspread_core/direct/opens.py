"""Opens that wait for their caller's next packet, in the order of their deadlines."""

from collections import deque

from ..identifiers import FlowKey

# Callers answer a target's acceptance within a few milliseconds. An open that is not answered
# for this long goes to a second target, well before the caller's own copy after 200 ms.
ANSWER_TIMEOUT_MS = 50
# The caller gives an open up after this time.
OPEN_LIFETIME_MS = 1_400


class PendingOpens:
    """Queue the moments at which opens count as unanswered."""

    def __init__(self) -> None:
        self._due: deque[tuple[int, FlowKey, int]] = deque()

    @property
    def deadline_ms(self) -> int | None:
        """Return when the next open is due, or None."""
        return self._due[0][0] if self._due else None

    def add(self, now_ms: int, flow: FlowKey) -> None:
        """Wait for the answer to an open that is sent now."""
        self._due.append((now_ms + ANSWER_TIMEOUT_MS, flow, now_ms))

    def due(self, now_ms: int) -> list[tuple[FlowKey, int]]:
        """Return the flows whose time is over, with the moment of the attempt that is due."""
        flows = []
        while self._due and self._due[0][0] <= now_ms:
            _, flow, attempt_ms = self._due.popleft()
            flows.append((flow, attempt_ms))
        return flows

    def clear(self) -> None:
        """Forget all waiting opens: after a pause their silence proves nothing."""
        self._due.clear()
