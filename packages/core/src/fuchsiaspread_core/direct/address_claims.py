"""Addresses that more than one entry names, and which of these entries is true.

The entry of a target that has ended may still be there when a new target gets the address, and
another writer may name the address of a live target. A packet names the target that is meant, and
another one at the address ignores it. So an answer proves which target is at the address; an entry
alone proves nothing.
"""

from ..identifiers import Endpoint
from .known_target import AddressClaim, KnownTarget, TargetPhase


class AddressClaims:
    """The entries at each address."""

    def __init__(self) -> None:
        self._by_endpoint: dict[Endpoint, list[KnownTarget]] = {}

    def add(self, known: KnownTarget) -> None:
        """Add an entry; it puts those of targets that started earlier in doubt."""
        known.claim = AddressClaim.SOLE
        others = self._by_endpoint.setdefault(known.published.endpoint, [])
        for other in others:
            if _supersedes(known, other) and other.claim is AddressClaim.SOLE:
                other.claim = AddressClaim.CONTESTED
            elif _supersedes(other, known):
                known.claim = AddressClaim.CONTESTED
        others.append(known)

    def retract(self, known: KnownTarget) -> None:
        """Trust the targets again that only the entry of this one had put in doubt."""
        _trust_uncontested(self._by_endpoint[known.published.endpoint])

    def contested_by(self, known: KnownTarget) -> list[KnownTarget]:
        """Return the targets whose address is in doubt because of an entry."""
        others = self._by_endpoint.get(known.published.endpoint, [])
        contested = [one for one in others if one.claim is AddressClaim.CONTESTED]
        return [one for one in contested if _supersedes(known, one)]

    def discard(self, known: KnownTarget, endpoint: Endpoint) -> None:
        """Remove an entry; targets that only this entry had put in doubt are trusted again."""
        others = self._by_endpoint[endpoint]
        others.remove(known)
        _trust_uncontested(others)
        if not others:
            del self._by_endpoint[endpoint]

    def record_answer(self, known: KnownTarget) -> None:
        """Record that a target answered: it is at its address, and those before it are gone."""
        known.claim = AddressClaim.SOLE
        others = self._by_endpoint.get(known.published.endpoint, [])
        if len(others) > 1:
            for other in others:
                if _supersedes(known, other):
                    other.claim = AddressClaim.LOST


def _supersedes(known: KnownTarget, other: KnownTarget) -> bool:
    """Return whether the entry of a target says that it has followed another one.

    An unknown start is 0 and supersedes nothing.
    """
    is_present = known.published.phase is not TargetPhase.REMOVED
    return is_present and known.published.started_ms > other.published.started_ms


def _trust_uncontested(claimants: list[KnownTarget]) -> None:
    for known in claimants:
        if known.claim is AddressClaim.CONTESTED:
            is_contested = any(_supersedes(other, known) for other in claimants)
            known.claim = AddressClaim.CONTESTED if is_contested else AddressClaim.SOLE
