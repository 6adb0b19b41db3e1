"""Repeatable pseudo-random draws from a seed."""

from xxhash import xxh3_64_intdigest

SEED_MASK = 2**64 - 1


class Draws:
    """Derive draws from xxhash, since the core imports no random module."""

    def __init__(self, seed: int) -> None:
        self._seed = seed & SEED_MASK
        self._count = 0

    def below(self, limit: int) -> int:
        """Return the next draw from 0 to `limit` - 1."""
        self._count += 1
        return xxh3_64_intdigest(self._count.to_bytes(8, "big"), seed=self._seed) % limit

    def place(self, name: str) -> int:
        """Return the fixed random place of a name; the same name always gets the same place."""
        return xxh3_64_intdigest(name.encode(), seed=self._seed)
