"""Time limits of suspicions."""

import math

from ..identifiers import EntryName

# A suspicion and its refutation each need O(log n) intervals to get round.
SUSPICION_MS_PER_DOUBLING = 250


class Suspicions:
    """Hold until when each suspected member may refute the suspicion."""

    def __init__(self) -> None:
        self._until_ms: dict[EntryName, int] = {}

    def start(self, now_ms: int, name: EntryName, member_count: int) -> None:
        """Start the time limit of a suspicion; it grows with the logarithm of the fleet."""
        doublings = math.ceil(math.log2(member_count + 1))
        self._until_ms[name] = now_ms + SUSPICION_MS_PER_DOUBLING * doublings

    def end(self, name: EntryName) -> None:
        """End a suspicion if there is one."""
        self._until_ms.pop(name, None)

    def due(self, now_ms: int) -> list[EntryName]:
        """Return the members whose time limit has passed."""
        return [name for name, until_ms in self._until_ms.items() if until_ms <= now_ms]

    def postpone(self, gap_ms: int) -> None:
        """Extend all time limits by a pause of the own process."""
        for name in self._until_ms:
            self._until_ms[name] += gap_ms
