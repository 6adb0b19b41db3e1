"""Rendezvous (highest random weight) order by xxhash."""

import math
from collections.abc import Iterable, Mapping
from typing import TypeVar

from xxhash import xxh3_64_intdigest

Name = TypeVar("Name", bound=str)

HASH_RANGE = 2**64


def rank(key: bytes, names: Iterable[Name]) -> list[Name]:
    """Return the names in rendezvous order for a key; equal hashes fall back to the name."""
    return sorted(names, key=lambda name: (-xxh3_64_intdigest(name.encode() + key), name))


def rank_weighted(key: bytes, weights: Mapping[Name, int]) -> list[Name]:
    """Return the names in weighted rendezvous order; a weight of 0 comes last."""
    return sorted(weights, key=lambda name: (-_score(key, name, weights[name]), name))


def _score(key: bytes, name: str, weight: int) -> float:
    if weight <= 0:
        return 0.0
    # Adding 1 keeps the logarithm's argument between 0 and 1, both excluded.
    fraction = (xxh3_64_intdigest(name.encode() + key) + 1) / (HASH_RANGE + 1)
    return weight / -math.log(min(fraction, 1 - 2**-53))
