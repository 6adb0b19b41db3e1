"""Numbers that belong to the first target that has them."""

from .known_target import KnownTarget


class FirstHolders:
    """Map each number to its first holder; the next one follows when that one is discarded.

    A later target with the number of a live one must not take over the packets of its open flows.
    """

    def __init__(self) -> None:
        self._holders: dict[int, KnownTarget] = {}
        # Targets that wait for a number; there are hardly any, since numbers seldom collide.
        self._waiting: dict[int, list[KnownTarget]] = {}

    def get(self, number: int) -> KnownTarget | None:
        """Return the holder of a number, or None."""
        return self._holders.get(number)

    def add(self, number: int, known: KnownTarget) -> None:
        """Give a target a number that nobody holds, or let it wait."""
        if self._holders.setdefault(number, known) is not known:
            self._waiting.setdefault(number, []).append(known)

    def discard(self, number: int, known: KnownTarget) -> None:
        """Take a number from a target, whether it holds it or waits for it."""
        waiting = self._waiting.get(number, [])
        if self._holders.get(number) is not known:
            waiting.remove(known)
        elif waiting:
            self._holders[number] = waiting.pop(0)
        else:
            del self._holders[number]
        if not waiting:
            self._waiting.pop(number, None)
