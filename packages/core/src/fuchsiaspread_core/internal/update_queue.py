"""Queue of member changes to gossip."""

import math

from ..identifiers import EntryName

# Each member sends each change 2 * log2(n) times, which is 2.9 * ln(n). According to the SWIM
# paper, a small multiple of the logarithm reaches all members with high probability.
SENDS_PER_DOUBLING = 2
# Keeps control datagrams below about 350 bytes, so that churn does not multiply the traffic.
MAX_UPDATES = 3


class UpdateQueue:
    """Choose the changes to piggyback on a message, those sent least often first."""

    def __init__(self) -> None:
        self._sent: dict[EntryName, int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, name: EntryName) -> None:
        """Queue a member's new state; the send count restarts if an older state was queued."""
        self._sent[name] = 0

    def discard(self, name: EntryName) -> None:
        """Remove a member from the queue."""
        self._sent.pop(name, None)

    def take(self, member_count: int, limit: int) -> list[EntryName]:
        """Return up to `limit` names for the next message and count them as sent."""
        names = sorted(self._sent, key=self._sent.__getitem__)[:limit]
        for name in names:
            self.count(name, member_count)
        return names

    def count(self, name: EntryName, member_count: int) -> None:
        """Count one more send of a state, by this member or by another one."""
        if name not in self._sent:
            return
        self._sent[name] += 1
        if self._sent[name] >= SENDS_PER_DOUBLING * math.ceil(math.log2(member_count + 1)):
            del self._sent[name]
