"""How long targets take to answer an open, as seen through the entry VMs on the way."""

# A SYN-ACK comes from the target's kernel within a round trip of a few ms.
SHORTEST_LIMIT_MS = 250
# Weights of a new sample, as in TCP's retransmission timer (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# A quarter of the time that the caller allows leaves room for two more targets.
ALLOWED_PARTS = 4


class AnswerTime:
    """Learn the time after which an open counts as silent.

    On busy machines each hop between processes takes tens of ms. A fixed limit then counts every
    target as silent, and all are asked one open at a time.
    """

    def __init__(self) -> None:
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0
        self._limit_ms = float(SHORTEST_LIMIT_MS)

    def observe(self, answer_ms: int) -> None:
        """Take the time of an answered open."""
        if self._mean_ms is None:
            self._mean_ms, self._deviation_ms = float(answer_ms), answer_ms / 2
        else:
            error = answer_ms - self._mean_ms
            self._deviation_ms += DEVIATION_WEIGHT * (abs(error) - self._deviation_ms)
            self._mean_ms += MEAN_WEIGHT * error
        self._limit_ms = max(SHORTEST_LIMIT_MS, self._mean_ms + DEVIATIONS * self._deviation_ms)

    def limit_ms(self, allowed_ms: int) -> int:
        """Return how long an open may be unanswered when its caller allows so much in all."""
        return max(1, min(int(self._limit_ms), allowed_ms // ALLOWED_PARTS))
