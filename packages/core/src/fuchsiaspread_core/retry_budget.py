"""Retry budget: limits retries to a small share of first attempts."""

# One retry per five first attempts: if a whole shard fails, retries add at most 20% load.
TOKENS_PER_ATTEMPT = 0.2
# Lets a shard that has seen little traffic retry the opens of one dead target.
INITIAL_TOKENS = 10.0
# Limits a burst of retries. When a target dies silently, the opens sent to it in about a quarter of
# a second (the answer timeout) fail together; 500 of them can be retried.
MAX_TOKENS = 500.0


class RetryBudget:
    """Token bucket that each first attempt fills by a fraction of a token; a retry spends one."""

    def __init__(self, tokens_per_attempt: float = TOKENS_PER_ATTEMPT) -> None:
        self._tokens = INITIAL_TOKENS
        self._tokens_per_attempt = tokens_per_attempt

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._tokens_per_attempt)

    def spend(self) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
