"""A target's entry in the store, and what this entry VM has observed of the target."""

from dataclasses import dataclass
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
# Without a sign of an outage a removed target gets new flows for this long. Together with the pause
# between calls to the store this stays within the bound for drains, which holds for removals too.
SETTLED_GRACE_MS = 1_500
# A target that has just started is slower by about this factor.
COLD_FACTOR = 1.6


class TargetPhase(StrEnum):
    """Phase of a target according to the store.

    `WITHDRAWN` is a target whose entry no longer describes one: it gets no new flows, but nothing
    shows that it has left. `REMOVED` is a target without an entry.
    """

    READY = "ready"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"
    REMOVED = "removed"


class AddressClaim(StrEnum):
    """Whether a target is at its address, as far as entries and answers show.

    `CONTESTED`: the entry of a target that started later names the address too. `LOST`: that target
    has answered from there, so that this one is gone.
    """

    SOLE = "sole"
    CONTESTED = "contested"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class PublishedTarget:
    """A target as published in the store.

    `started_ms` is the start time by the target's own wall clock; it differs after a restart under
    the same name. `packet_id` is the number by which packets name the target; 0 names none.
    """

    name: TargetName
    service: ServiceName
    endpoint: Endpoint
    zone: ZoneName
    slots: int
    phase: TargetPhase
    cold_ms: int
    started_ms: int
    packet_id: int = 0


def cookie_of(name: TargetName) -> int:
    """Return the cookie of a target; all entry VMs derive the same one without coordination."""
    return xxh3_64_intdigest(name.encode()) & COOKIE_MASK or 1


class KnownTarget:
    """One target; the directory decides which cookie, packet id and address are its own."""

    __slots__ = (
        "busy_requests",
        "claim",
        "cold_until_ms",
        "cookie",
        "flows",
        "health",
        "phase_since_ms",
        "published",
        "reachability",
        "used_until_ms",
    )

    def __init__(self, published: PublishedTarget, cookie: int, now_ms: int) -> None:
        self.published = published
        self.cookie = cookie
        self.claim = AddressClaim.SOLE
        self.health = TargetHealth()
        self.reachability = Reachability()
        self.busy_requests = 0
        # The records of its flows, so that the loss of a target does not search all flows.
        self.flows: set[Flow] = set()
        self.phase_since_ms = now_ms
        # Until when a removed target may receive new flows.
        self.used_until_ms = now_ms
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
        before = self.published
        if published.phase is not before.phase:
            self.phase_since_ms = now_ms
        if published.started_ms != before.started_ms:
            self.health = TargetHealth()
            self.reachability = Reachability()
        self.published = published
        self.cold_until_ms = now_ms + published.cold_ms

    def accepts_new_flows(self, now_ms: int) -> bool:
        """Return whether the target may receive new flows.

        A target whose address is contested is the last resort: its answer settles whose it is.
        """
        if self.claim is AddressClaim.LOST:
            return False
        match self.published.phase:
            case TargetPhase.READY:
                return True
            case TargetPhase.DRAINING | TargetPhase.WITHDRAWN:
                return False
            case TargetPhase.REMOVED:
                return now_ms < self.used_until_ms

    def is_gone(self, now_ms: int) -> bool:
        """Return whether another target is at its address, or its entry is missing for long."""
        if self.claim is AddressClaim.LOST:
            return True
        is_removed = self.published.phase is TargetPhase.REMOVED
        return is_removed and now_ms - self.phase_since_ms >= REMOVAL_GRACE_MS

    def capacity(self, now_ms: int) -> float:
        """Return the number of slots, reduced while the target is slow after its start."""
        slots = float(max(1, self.published.slots))
        return slots / COLD_FACTOR if now_ms < self.cold_until_ms else slots
