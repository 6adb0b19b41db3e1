"""Entries of targets whose service no route names."""

from ..identifiers import ServiceName, TargetName
from .known_target import PublishedTarget


class UnroutedTargets:
    """Keep these entries apart until a configuration names their service.

    Until then they describe no target to use, so that they have no say about the address, the
    cookie or the packet id of another one.
    """

    def __init__(self) -> None:
        self._by_name: dict[TargetName, PublishedTarget] = {}

    def put(self, published: PublishedTarget) -> None:
        """Keep an entry."""
        self._by_name[published.name] = published

    def remove(self, name: TargetName) -> None:
        """Forget an entry, if it is here."""
        self._by_name.pop(name, None)

    def clear(self) -> None:
        """Forget all entries, before a complete list of them."""
        self._by_name.clear()

    def take(self, services: frozenset[ServiceName]) -> list[PublishedTarget]:
        """Remove the entries of the given services and return them."""
        taken = [one for one in self._by_name.values() if one.service in services]
        for published in taken:
            del self._by_name[published.name]
        return taken
