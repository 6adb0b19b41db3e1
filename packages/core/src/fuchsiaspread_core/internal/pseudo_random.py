"""Deterministic pseudo-random numbers from a seed."""

from xxhash import xxh3_64_intdigest

SEED_MASK = 2**64 - 1


class PseudoRandom:
    """Derive numbers from xxhash, since the core must not import the `random` module."""

    def __init__(self, seed: int) -> None:
        self._seed = seed & SEED_MASK
        self._count = 0

    def randbelow(self, limit: int) -> int:
        """Return the next number, from 0 to `limit` - 1."""
        self._count += 1
        return xxh3_64_intdigest(self._count.to_bytes(8, "big"), seed=self._seed) % limit

    def position_of(self, name: str) -> int:
        """Return a random position for a name, which is always the same for this seed."""
        return xxh3_64_intdigest(name.encode(), seed=self._seed)
