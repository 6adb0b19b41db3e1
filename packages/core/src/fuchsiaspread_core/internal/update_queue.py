"""Member changes that are still to be passed on."""

import math

from ..identifiers import EntryName

# Each change is sent 2 * log2(n) times by each member, which is 2.9 * ln(n): the SWIM paper needs a
# small multiple of the logarithm for a change to reach all members with high probability.
SENDS_PER_DOUBLING = 2
# Keeps a control datagram under about 350 bytes, so that churn does not multiply the traffic.
MAX_UPDATES = 3


class UpdateQueue:
    """Choose the changes that ride on a message, those sent least often first."""

    def __init__(self) -> None:
        self._sent: dict[EntryName, int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, name: EntryName) -> None:
        """Pass a member's state on, starting anew if an older state was being passed on."""
        self._sent[name] = 0

    def discard(self, name: EntryName) -> None:
        """Stop passing a member's state on."""
        self._sent.pop(name, None)

    def take(self, member_count: int, room: int) -> list[EntryName]:
        """Return up to `room` names for the next message and count them as sent."""
        names = sorted(self._sent, key=self._sent.__getitem__)[:room]
        for name in names:
            self.count(name, member_count)
        return names

    def count(self, name: EntryName, member_count: int) -> None:
        """Count a state as passed on once more, by this member or by another one."""
        if name not in self._sent:
            return
        self._sent[name] += 1
        if self._sent[name] >= SENDS_PER_DOUBLING * math.ceil(math.log2(member_count + 1)):
            del self._sent[name]
