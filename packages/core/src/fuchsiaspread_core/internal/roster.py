"""The other members as one entry VM knows them: by gossip and by the platform's member list."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum, auto

from ..identifiers import EntryName
from ..members import Member, MemberState

# A list that was read from a stale replica may lack a live member for minutes.
UNLISTED_RETENTION_MS = 300_000
MAX_FORGOTTEN = 1024


class MemberSignal(Enum):
    """What an entry VM observes itself of another member: a failed probe or suspicion timeout."""

    UNANSWERED = auto()
    SUSPICION_EXPIRED = auto()


# A pair without an entry does not change the state. Only the member itself can return to LIVE, by a
# higher incarnation. A leaving member has announced its exit, so it is declared dead without a
# suspicion.
STATE_TRANSITIONS: dict[tuple[MemberState, MemberSignal], MemberState] = {
    (MemberState.LIVE, MemberSignal.UNANSWERED): MemberState.SUSPECTED,
    (MemberState.SUSPECTED, MemberSignal.SUSPICION_EXPIRED): MemberState.DEAD,
    (MemberState.LEAVING, MemberSignal.UNANSWERED): MemberState.DEAD,
}


@dataclass(slots=True)
class RosterEntry:
    """Hold the newest record of a member and whether the platform's list contains it."""

    member: Member
    is_listed: bool = False
    is_listed_as_leaving: bool = False
    unlisted_since_ms: int | None = None
    # The state in the last `MemberChanged` notice about this member; None before the first one.
    reported: MemberState | None = None

    @property
    def state(self) -> MemberState:
        """Return the effective state: a member listed as leaving is at least LEAVING."""
        held = self.member.state
        return max(held, MemberState.LEAVING) if self.is_listed_as_leaving else held


def supersedes(received: Member, held: Member) -> bool:
    """Return whether a record replaces the held one: by incarnation first, then by state."""
    return (received.incarnation, received.state) > (held.incarnation, held.state)


class Roster:
    """Hold the entries of all other members."""

    def __init__(self) -> None:
        self._entries: dict[EntryName, RosterEntry] = {}
        self._unlisted: set[EntryName] = set()
        # Removed members. Other members may still hold their records, and gossip of these records
        # must not add them again; only the platform's list can.
        self._forgotten: dict[EntryName, None] = {}
        self.has_list = False

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[RosterEntry]:
        return iter(self._entries.values())

    def get(self, name: EntryName) -> RosterEntry | None:
        """Return the entry of a member, or None."""
        return self._entries.get(name)

    def in_state(self, *states: MemberState) -> tuple[Member, ...]:
        """Return the members in any of the states, sorted by name, with their effective state."""
        members = (
            replace(entry.member, state=entry.state) for entry in self if entry.state in states
        )
        return tuple(sorted(members, key=lambda member: member.name))

    def apply(self, now_ms: int, received: Member) -> bool:
        """Apply a record if it is newer than the held one; return whether it was applied."""
        entry = self._entries.get(received.name)
        if entry is None:
            # The death of an unknown member changes nothing and would only take up memory.
            if received.name in self._forgotten or received.state is MemberState.DEAD:
                return False
            self._entries[received.name] = RosterEntry(received)
            return True
        if not supersedes(received, entry.member):
            return False
        entry.member = received
        if received.state is MemberState.DEAD and self.has_list and not entry.is_listed:
            self._mark_unlisted(now_ms, entry)
        return True

    def apply_list(self, now_ms: int, members: Iterable[Member]) -> set[EntryName]:
        """Apply the platform's list; return the names whose entry changed.

        The list adds unknown members, marks members as leaving, and updates the zone and the
        addresses of dead ones, which it does not revive. A member that was listed or is dead, and
        is missing from it, is not removed here, but by `forget_unlisted` after 300 s.
        """
        self.has_list = True
        listed = {member.name: member for member in members}
        changed = {name for name, member in listed.items() if self._apply_listed(member)}
        for name, entry in self._entries.items():
            if name in listed:
                continue
            if entry.is_listed or entry.member.state is MemberState.DEAD:
                self._mark_unlisted(now_ms, entry)
            if entry.is_listed_as_leaving:
                changed.add(name)
            entry.is_listed = entry.is_listed_as_leaving = False
        return changed

    def forget_unlisted(self, now_ms: int) -> list[Member]:
        """Remove and return the members that have been missing from the list for too long."""
        due = []
        for name in sorted(self._unlisted):
            since_ms = self._entries[name].unlisted_since_ms
            assert (
                since_ms is not None
            ), "an unlisted member must have the time when it went missing"
            if now_ms - since_ms >= UNLISTED_RETENTION_MS:
                due.append(name)
        return [self._forget(name) for name in due]

    def _apply_listed(self, member: Member) -> bool:
        is_leaving = member.state is MemberState.LEAVING
        self._forgotten.pop(member.name, None)
        self._unlisted.discard(member.name)
        entry = self._entries.get(member.name)
        if entry is None:
            live = replace(member, state=MemberState.LIVE, incarnation=0)
            self._entries[member.name] = RosterEntry(live, True, is_leaving)
            return True
        is_changed = entry.is_listed_as_leaving != is_leaving
        entry.is_listed, entry.is_listed_as_leaving = True, is_leaving
        entry.unlisted_since_ms = None
        if entry.member.state is MemberState.DEAD:
            # A replacement with the same name may have other addresses and must be probed there.
            entry.member = replace(
                entry.member, zone=member.zone, peer=member.peer, control=member.control
            )
        return is_changed

    def _mark_unlisted(self, now_ms: int, entry: RosterEntry) -> None:
        if entry.unlisted_since_ms is None:
            entry.unlisted_since_ms = now_ms
            self._unlisted.add(entry.member.name)

    def _forget(self, name: EntryName) -> Member:
        self._unlisted.discard(name)
        if len(self._forgotten) >= MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]
        self._forgotten[name] = None
        return self._entries.pop(name).member
