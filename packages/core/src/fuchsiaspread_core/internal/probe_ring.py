"""Round-robin order of probes."""

from bisect import bisect_right, insort

from ..identifiers import EntryName
from .draws import Draws


class ProbeRing:
    """Go through names in a shuffled cycle; a name joins at its own random place.

    The order stays the same from cycle to cycle. A new shuffle for each cycle would let 2n - 1
    intervals pass between two probes of one member instead of n.
    """

    def __init__(self, draws: Draws) -> None:
        self._draws = draws
        self._places: list[tuple[int, EntryName]] = []
        self._names: set[EntryName] = set()
        self._last = (draws.place(""), EntryName(""))

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, name: object) -> bool:
        return name in self._names

    def add(self, name: EntryName) -> None:
        """Add a name unless it is there."""
        if name not in self._names:
            self._names.add(name)
            insort(self._places, (self._draws.place(name), name))

    def discard(self, name: EntryName) -> None:
        """Remove a name if it is there."""
        if name in self._names:
            self._names.remove(name)
            self._places.remove((self._draws.place(name), name))

    def next(self) -> EntryName | None:
        """Return the next name of the cycle, or None when there is no name."""
        if not self._places:
            return None
        self._last = self._places[bisect_right(self._places, self._last) % len(self._places)]
        return self._last[1]

    def sample(self, count: int, excluded: frozenset[EntryName]) -> list[EntryName]:
        """Return up to `count` different names, drawn without a pass over all of them."""
        size = len(self._places)
        if size == 0:
            return []
        start = self._draws.below(size)
        chosen: list[EntryName] = []
        for step in range(min(size, count + len(excluded))):
            name = self._places[(start + step) % size][1]
            if name not in excluded and len(chosen) < count:
                chosen.append(name)
        return chosen
