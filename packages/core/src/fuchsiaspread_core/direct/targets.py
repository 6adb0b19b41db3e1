"""Directory of the targets in the store, by name, cookie and service."""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from ..identifiers import ServiceName, TargetName
from .address_claims import AddressClaims
from .known_target import (
    REMOVAL_GRACE_MS,
    KnownTarget,
    PublishedTarget,
    TargetPhase,
    cookie_of,
)


class TargetDirectory:
    """Find targets; removed ones are kept for as long as a flow to them may live."""

    def __init__(self, retention_ms: int) -> None:
        self._retention_ms = retention_ms
        self._by_name: dict[TargetName, KnownTarget] = {}
        self._by_service: dict[ServiceName, list[KnownTarget]] = {}
        self._by_cookie: dict[int, KnownTarget] = {}
        self._claims = AddressClaims()
        self._removed: dict[TargetName, KnownTarget] = {}

    def __iter__(self) -> Iterator[KnownTarget]:
        return iter(self._by_name.values())

    def by_name(self, name: TargetName) -> KnownTarget | None:
        """Return the target with a name, or None."""
        return self._by_name.get(name)

    def by_cookie(self, cookie: int) -> KnownTarget | None:
        """Return the target with a cookie, or None."""
        return self._by_cookie.get(cookie)

    def of_service(self, service: ServiceName) -> list[KnownTarget]:
        """Return the targets of a service, removed ones included."""
        return self._by_service.get(service, [])

    def put(self, now_ms: int, published: PublishedTarget) -> bool:
        """Add or update an entry; return whether it changed."""
        known = self._by_name.get(published.name)
        if known is None:
            self._add(now_ms, published)
            return True
        if known.published == published:
            return False
        before = known.published
        known.update(now_ms, published)
        if before.service != published.service:
            self._by_service[before.service].remove(known)
            self._by_service.setdefault(published.service, []).append(known)
        was_removed = before.phase is TargetPhase.REMOVED
        if was_removed or _place(before) != _place(published):
            self._claims.discard(known, before.endpoint)
            self._claims.add(known)
        return True

    def remove(self, now_ms: int, name: TargetName) -> bool:
        """Mark an entry as removed; return whether it was present."""
        known = self._by_name.get(name)
        if known is None or known.published.phase is TargetPhase.REMOVED:
            return False
        was_draining = known.published.phase is TargetPhase.DRAINING
        known.update(now_ms, replace(known.published, phase=TargetPhase.REMOVED, cold_ms=0))
        self._claims.retract(known)
        self._removed[name] = known
        if was_draining:
            # A draining target leaves on purpose, so it needs no grace period for a store outage.
            known.phase_since_ms = now_ms - REMOVAL_GRACE_MS
        return True

    def withdraw(self, now_ms: int, name: TargetName) -> bool:
        """Mark an entry as no longer describing a target; return whether it did before."""
        known = self._by_name.get(name)
        if known is None or known.published.phase in (TargetPhase.REMOVED, TargetPhase.WITHDRAWN):
            return False
        known.update(now_ms, replace(known.published, phase=TargetPhase.WITHDRAWN, cold_ms=0))
        return True

    def contested_by(self, known: KnownTarget) -> list[KnownTarget]:
        """Return the targets whose address an entry puts in doubt."""
        return self._claims.contested_by(known)

    def record_answer(self, known: KnownTarget) -> None:
        """Record that a target answered a caller, which proves that it is at its address."""
        self._claims.record_answer(known)

    def missing_from(self, names: Iterable[TargetName]) -> list[TargetName]:
        """Return the names of present targets that are missing from a complete list."""
        listed = set(names)
        return [
            name
            for name, known in self._by_name.items()
            if name not in listed and known.published.phase is not TargetPhase.REMOVED
        ]

    def remove_expired(self, now_ms: int) -> None:
        """Drop removed targets that no flow can use any more."""
        for known in list(self._removed.values()):
            if known.published.phase is not TargetPhase.REMOVED:
                del self._removed[known.name]
            elif now_ms - known.phase_since_ms > self._retention_ms:
                del self._removed[known.name]
                self._drop(known)

    def owns_cookie(self, known: KnownTarget) -> bool:
        """Return whether a target's cookie resolves to it; otherwise it gets no new flows."""
        return self._by_cookie.get(known.cookie) is known

    def _add(self, now_ms: int, published: PublishedTarget) -> None:
        known = KnownTarget(published, cookie_of(published.name), now_ms)
        self._by_name[published.name] = known
        self._by_service.setdefault(published.service, []).append(known)
        other = self._by_cookie.get(known.cookie)
        # All entry VMs must resolve a colliding cookie alike, whatever the order of the updates.
        if other is None or published.name < other.name:
            self._by_cookie[known.cookie] = known
        self._claims.add(known)

    def _drop(self, known: KnownTarget) -> None:
        published = known.published
        del self._by_name[known.name]
        self._by_service[published.service].remove(known)
        if self._by_cookie.get(known.cookie) is known:
            del self._by_cookie[known.cookie]
        self._claims.discard(known, published.endpoint)


def _place(published: PublishedTarget) -> tuple[object, ...]:
    """Return what an entry says of the target's address and of the start that it speaks of."""
    return published.endpoint, published.started_ms
