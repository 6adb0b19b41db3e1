"""Rendezvous hashing (highest random weight) with xxhash."""

import math
from collections.abc import Iterable, Mapping
from typing import TypeVar

from xxhash import xxh3_64_intdigest

Name = TypeVar("Name", bound=str)

HASH_RANGE = 2**64


def rank(key: bytes, names: Iterable[Name]) -> list[Name]:
    """Return the names in rendezvous order for a key; equal hashes are ordered by name."""
    return sorted(names, key=lambda name: (-xxh3_64_intdigest(name.encode() + key), name))


def rank_weighted(key: bytes, weights: Mapping[Name, int]) -> list[Name]:
    """Return the names in weighted rendezvous order; names of weight 0 come last."""
    return sorted(weights, key=lambda name: (-_score(key, name, weights[name]), name))


def _score(key: bytes, name: str, weight: int) -> float:
    if weight <= 0:
        return 0.0
    # Adding 1 keeps the argument of the logarithm strictly between 0 and 1.
    fraction = (xxh3_64_intdigest(name.encode() + key) + 1) / (HASH_RANGE + 1)
    return weight / -math.log(min(fraction, 1 - 2**-53))
