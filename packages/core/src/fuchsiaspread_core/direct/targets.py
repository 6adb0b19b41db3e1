"""Directory of the targets in the store, by name, cookie and service."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from ..identifiers import Endpoint, ServiceName, TargetName, ZoneName
from .reachability import Reachability
from .target_health import TargetHealth

if TYPE_CHECKING:
    from .flows import Flow

# The cookie field of a packet has 32 bits; 0 means that the packet carries no cookie.
COOKIE_MASK = 2**32 - 1
# After an outage the store may lack entries of live targets, which register again within 2 s.
REMOVAL_GRACE_MS = 2_200
# A target that has just started is slower by about this factor.
COLD_FACTOR = 1.6


class TargetPhase(StrEnum):
    """Phase of a target according to the store."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class PublishedTarget:
    """A target as published in the store.

    `started_ms` is the start time by the target's own wall clock; it differs after a restart under
    the same name.
    """

    name: TargetName
    service: ServiceName
    endpoint: Endpoint
    zone: ZoneName
    slots: int
    phase: TargetPhase
    cold_ms: int
    started_ms: int


def cookie_of(name: TargetName) -> int:
    """Return the cookie of a target; all entry VMs derive the same one without coordination."""
    return xxh3_64_intdigest(name.encode()) & COOKIE_MASK or 1


class KnownTarget:
    """A target's entry in the store, and what this entry VM has observed of the target."""

    __slots__ = (
        "busy_requests",
        "cold_until_ms",
        "cookie",
        "flows",
        "health",
        "phase_since_ms",
        "published",
        "reachability",
    )

    def __init__(self, published: PublishedTarget, cookie: int, now_ms: int) -> None:
        self.published = published
        self.cookie = cookie
        self.health = TargetHealth()
        self.reachability = Reachability()
        self.busy_requests = 0
        # The records of its flows, so that the loss of a target does not search all flows.
        self.flows: set[Flow] = set()
        self.phase_since_ms = now_ms
        self.cold_until_ms = now_ms + published.cold_ms

    @property
    def name(self) -> TargetName:
        """Return the target's name."""
        return self.published.name

    @property
    def open_flows(self) -> int:
        """Return the number of flow records of this target."""
        return len(self.flows)

    def update(self, now_ms: int, published: PublishedTarget) -> None:
        """Apply a changed entry."""
        if published.phase is not self.published.phase:
            self.phase_since_ms = now_ms
        if published.started_ms != self.published.started_ms:
            self.health = TargetHealth()
            self.reachability = Reachability()
        self.published = published
        self.cold_until_ms = now_ms + published.cold_ms

    def accepts_new_flows(self, now_ms: int) -> bool:
        """Return whether the target may receive new flows."""
        match self.published.phase:
            case TargetPhase.READY:
                return True
            case TargetPhase.DRAINING:
                return False
            case TargetPhase.REMOVED:
                return now_ms - self.phase_since_ms < REMOVAL_GRACE_MS

    def is_gone(self, now_ms: int) -> bool:
        """Return whether the target's entry has been missing for longer than the grace period."""
        is_removed = self.published.phase is TargetPhase.REMOVED
        return is_removed and now_ms - self.phase_since_ms >= REMOVAL_GRACE_MS

    def capacity(self, now_ms: int) -> float:
        """Return the number of slots, reduced while the target is slow after its start."""
        slots = float(max(1, self.published.slots))
        return slots / COLD_FACTOR if now_ms < self.cold_until_ms else slots


class TargetDirectory:
    """Find targets; removed ones are kept for as long as a flow to them may live."""

    def __init__(self, retention_ms: int) -> None:
        self._retention_ms = retention_ms
        self._by_name: dict[TargetName, KnownTarget] = {}
        self._by_cookie: dict[int, KnownTarget] = {}
        self._by_service: dict[ServiceName, list[KnownTarget]] = {}
        self._by_endpoint: dict[Endpoint, KnownTarget] = {}
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
        if before.endpoint != published.endpoint:
            self._release_endpoint(known, before.endpoint)
            self._claim_endpoint(now_ms, known)
        return True

    def remove(self, now_ms: int, name: TargetName) -> bool:
        """Mark an entry as removed; return whether it was present."""
        known = self._by_name.get(name)
        if known is None or known.published.phase is TargetPhase.REMOVED:
            return False
        was_draining = known.published.phase is TargetPhase.DRAINING
        known.update(now_ms, replace(known.published, phase=TargetPhase.REMOVED, cold_ms=0))
        self._removed[name] = known
        if was_draining:
            # A draining target leaves on purpose, so it needs no grace period for a store outage.
            known.phase_since_ms = now_ms - REMOVAL_GRACE_MS
        return True

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
                del self._by_name[known.name]
                if self._by_cookie.get(known.cookie) is known:
                    del self._by_cookie[known.cookie]
                self._release_endpoint(known, known.published.endpoint)
                self._by_service[known.published.service].remove(known)

    def _add(self, now_ms: int, published: PublishedTarget) -> None:
        known = KnownTarget(published, cookie_of(published.name), now_ms)
        self._by_name[published.name] = known
        other = self._by_cookie.get(known.cookie)
        # All entry VMs must resolve a colliding cookie alike, whatever the order of the updates.
        if other is None or published.name < other.name:
            self._by_cookie[known.cookie] = known
        self._by_service.setdefault(published.service, []).append(known)
        self._claim_endpoint(now_ms, known)

    def _claim_endpoint(self, now_ms: int, known: KnownTarget) -> None:
        """Give a target its address; an older target that had the address is gone for good."""
        former = self._by_endpoint.get(known.published.endpoint)
        if former is not None and former.published.started_ms >= known.published.started_ms:
            return
        self._by_endpoint[known.published.endpoint] = known
        if former is not None:
            self.remove(now_ms, former.name)
            former.phase_since_ms = min(former.phase_since_ms, now_ms - REMOVAL_GRACE_MS)

    def _release_endpoint(self, known: KnownTarget, endpoint: Endpoint) -> None:
        if self._by_endpoint.get(endpoint) is known:
            del self._by_endpoint[endpoint]

    def owns_cookie(self, known: KnownTarget) -> bool:
        """Return whether a target's cookie resolves to it; otherwise it gets no new flows."""
        return self._by_cookie.get(known.cookie) is known
