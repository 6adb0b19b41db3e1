"""Budget that keeps retries a small share of first attempts."""

# One retry for five first attempts: when a whole shard fails, retries add at most 20% load.
TOKENS_PER_ATTEMPT = 0.2
# A shard that has seen little traffic can still retry the opens that one dead target held.
FIRST_TOKENS = 10.0
# A target that dies silently holds a quarter of a second's opens; 500 of them can be retried.
TOKEN_LIMIT = 500.0


class RetryBudget:
    """Earn a fraction of a retry with each first attempt and spend one with each retry."""

    def __init__(self, tokens_per_attempt: float = TOKENS_PER_ATTEMPT) -> None:
        self._tokens = FIRST_TOKENS
        self._tokens_per_attempt = tokens_per_attempt

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(TOKEN_LIMIT, self._tokens + self._tokens_per_attempt)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
