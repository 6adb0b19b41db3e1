"""Round-robin order of probes."""

from bisect import bisect_right, insort

from ..identifiers import EntryName
from .pseudo_random import PseudoRandom


class ProbeRing:
    """Cycle through names in a shuffled order; a new name joins at a random position.

    The order is the same in every cycle. With a new shuffle for each cycle, up to 2n - 1 intervals
    could pass between two probes of one member, instead of n.
    """

    def __init__(self, random: PseudoRandom) -> None:
        self._random = random
        self._positions: list[tuple[int, EntryName]] = []
        self._names: set[EntryName] = set()
        self._last = (random.position_of(""), EntryName(""))

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, name: object) -> bool:
        return name in self._names

    def add(self, name: EntryName) -> None:
        """Add a name if it is not there."""
        if name not in self._names:
            self._names.add(name)
            insort(self._positions, (self._random.position_of(name), name))

    def discard(self, name: EntryName) -> None:
        """Remove a name if it is there."""
        if name in self._names:
            self._names.remove(name)
            self._positions.remove((self._random.position_of(name), name))

    def next(self) -> EntryName | None:
        """Return the next name of the cycle, or None if the ring is empty."""
        if not self._positions:
            return None
        self._last = self._positions[
            bisect_right(self._positions, self._last) % len(self._positions)
        ]
        return self._last[1]

    def sample(self, count: int, excluded: frozenset[EntryName]) -> list[EntryName]:
        """Return up to `count` distinct random names without a pass over all of them."""
        size = len(self._positions)
        if size == 0:
            return []
        start = self._random.randbelow(size)
        chosen: list[EntryName] = []
        for step in range(min(size, count + len(excluded))):
            name = self._positions[(start + step) % size][1]
            if name not in excluded and len(chosen) < count:
                chosen.append(name)
        return chosen
