"""What this entry VM's calls show about outages of the store."""

from .known_target import REMOVAL_GRACE_MS, SETTLED_GRACE_MS


class StoreContact:
    """Remember the last failed call, since entries of live targets may expire in an outage."""

    def __init__(self) -> None:
        self._is_lost = False
        self._returned_ms: int | None = None

    def record(self, now_ms: int, is_reachable: bool) -> None:
        """Record whether a call was answered."""
        if is_reachable and self._is_lost:
            self._returned_ms = now_ms
        self._is_lost = not is_reachable

    def removal_grace_ms(self, now_ms: int) -> int:
        """Return for how long a target whose entry is removed now may receive new flows."""
        if self._returned_ms is None or now_ms - self._returned_ms > REMOVAL_GRACE_MS:
            return SETTLED_GRACE_MS
        return REMOVAL_GRACE_MS
