"""Adaptive timeout for targets' answers to opens, including the hops through entry VMs."""

# A SYN-ACK comes from the target's kernel within a round trip of a few ms.
MIN_TIMEOUT_MS = 250
# Weights of a new sample, as in TCP's retransmission timer (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# A quarter of the caller's deadline leaves time for two more targets.
DEADLINE_DIVISOR = 4


class AnswerTimeout:
    """Estimate the time after which an unanswered open counts as failed.

    On busy machines, each hop between processes takes tens of ms. With a fixed limit, every target
    would then count as failing and would get only one open at a time.
    """

    def __init__(self) -> None:
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0
        self._timeout_ms = float(MIN_TIMEOUT_MS)

    def observe(self, answer_ms: int) -> None:
        """Record how long a target took to answer an open."""
        if self._mean_ms is None:
            self._mean_ms, self._deviation_ms = float(answer_ms), answer_ms / 2
        else:
            error = answer_ms - self._mean_ms
            self._deviation_ms += DEVIATION_WEIGHT * (abs(error) - self._deviation_ms)
            self._mean_ms += MEAN_WEIGHT * error
        self._timeout_ms = max(MIN_TIMEOUT_MS, self._mean_ms + DEVIATIONS * self._deviation_ms)

    def timeout_ms(self, allowed_ms: int) -> int:
        """Return how long an open may stay unanswered, given the caller's total deadline."""
        return max(1, min(int(self._timeout_ms), allowed_ms // DEADLINE_DIVISOR))
