"""Directory of the targets in the store, by name, cookie and service."""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from ..identifiers import ServiceName, TargetName
from .address_claims import AddressClaims
from .first_holders import FirstHolders
from .known_target import (
    REMOVAL_GRACE_MS,
    SETTLED_GRACE_MS,
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
        self._cookies = FirstHolders()
        self._packet_ids = FirstHolders()
        self._claims = AddressClaims()
        self._removed: dict[TargetName, KnownTarget] = {}

    def __iter__(self) -> Iterator[KnownTarget]:
        return iter(self._by_name.values())

    def by_name(self, name: TargetName) -> KnownTarget | None:
        """Return the target with a name, or None."""
        return self._by_name.get(name)

    def by_cookie(self, cookie: int) -> KnownTarget | None:
        """Return the target with a cookie, or None."""
        return self._cookies.get(cookie)

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

    def remove(self, now_ms: int, name: TargetName, use_ms: int = SETTLED_GRACE_MS) -> bool:
        """Mark an entry as removed; return whether it was present.

        A target that was ready may receive new flows for `use_ms` longer.
        """
        known = self._by_name.get(name)
        if known is None or known.published.phase is TargetPhase.REMOVED:
            return False
        before = known.published.phase
        known.update(now_ms, replace(known.published, phase=TargetPhase.REMOVED, cold_ms=0))
        self._claims.retract(known)
        self._removed[name] = known
        if before is TargetPhase.READY:
            known.used_until_ms = now_ms + use_ms
        if before is TargetPhase.DRAINING:
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

    def has_own_numbers(self, known: KnownTarget) -> bool:
        """Return whether a target's cookie and packet id are its own.

        Otherwise it gets no new flows: their packets would go to another target.
        """
        packet_id = known.published.packet_id
        is_named = not packet_id or self._packet_ids.get(packet_id) is known
        return is_named and self._cookies.get(known.cookie) is known

    def _add(self, now_ms: int, published: PublishedTarget) -> None:
        known = KnownTarget(published, cookie_of(published.name), now_ms)
        self._by_name[published.name] = known
        self._by_service.setdefault(published.service, []).append(known)
        self._cookies.add(known.cookie, known)
        if published.packet_id:
            self._packet_ids.add(published.packet_id, known)
        self._claims.add(known)

    def _drop(self, known: KnownTarget) -> None:
        published = known.published
        del self._by_name[known.name]
        self._by_service[published.service].remove(known)
        self._cookies.discard(known.cookie, known)
        if published.packet_id:
            self._packet_ids.discard(published.packet_id, known)
        self._claims.discard(known, published.endpoint)


def _place(published: PublishedTarget) -> tuple[object, ...]:
    """Return what an entry says of the target's address and of the start that it speaks of."""
    return published.endpoint, published.started_ms
