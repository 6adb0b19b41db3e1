"""What one entry VM knows of the others: probed state, and what the platform's list says."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum, auto

from ..identifiers import EntryName
from ..members import Member, MemberState

# A list that is read from a stale replica may lack a live member for minutes.
UNLISTED_STAY_MS = 300_000
MAX_FORGOTTEN = 1024


class MemberSignal(Enum):
    """Name what an entry VM itself observes of a member."""

    UNANSWERED = auto()
    SUSPICION_EXPIRED = auto()


# A pair without an entry leaves the state as it is. Only the member itself leads back to LIVE, by
# a higher incarnation. A leaving member said that it would go, so its silence needs no suspicion.
STATE_TRANSITIONS: dict[tuple[MemberState, MemberSignal], MemberState] = {
    (MemberState.LIVE, MemberSignal.UNANSWERED): MemberState.SUSPECTED,
    (MemberState.SUSPECTED, MemberSignal.SUSPICION_EXPIRED): MemberState.DEAD,
    (MemberState.LEAVING, MemberSignal.UNANSWERED): MemberState.DEAD,
}


@dataclass(slots=True)
class Entry:
    """Hold the newest statement about a member beside its place on the platform's list."""

    member: Member
    is_listed: bool = False
    is_listed_as_leaving: bool = False
    unlisted_since_ms: int | None = None
    # The state that the last notice named.
    reported: MemberState | None = None

    @property
    def state(self) -> MemberState:
        """Return the state that counts: a member listed as leaving leaves while it answers."""
        held = self.member.state
        return max(held, MemberState.LEAVING) if self.is_listed_as_leaving else held


def does_supersede(heard: Member, held: Member) -> bool:
    """Return whether a statement replaces the held one: newer incarnation, then graver state."""
    return (heard.incarnation, heard.state) > (held.incarnation, held.state)


class Roster:
    """Hold the entries of all members but the own one."""

    def __init__(self) -> None:
        self._entries: dict[EntryName, Entry] = {}
        self._unlisted: set[EntryName] = set()
        # Removed members, which must not come back by gossip of those that still hold them.
        self._forgotten: dict[EntryName, None] = {}
        self.has_list = False

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._entries.values())

    def get(self, name: EntryName) -> Entry | None:
        """Return the entry of a name, or None."""
        return self._entries.get(name)

    def in_state(self, *states: MemberState) -> tuple[Member, ...]:
        """Return the members in the states, sorted by name, each with the state that counts."""
        members = (replace(one.member, state=one.state) for one in self if one.state in states)
        return tuple(sorted(members, key=lambda member: member.name))

    def apply(self, now_ms: int, heard: Member) -> bool:
        """Take a statement if it is newer than the held one; return whether it was taken."""
        entry = self._entries.get(heard.name)
        if entry is None:
            # A death of someone unknown changes nothing and would only fill the memory.
            if heard.name in self._forgotten or heard.state is MemberState.DEAD:
                return False
            self._entries[heard.name] = Entry(heard)
            return True
        if not does_supersede(heard, entry.member):
            return False
        entry.member = heard
        if heard.state is MemberState.DEAD and self.has_list and not entry.is_listed:
            self._mark_unlisted(now_ms, entry)
        return True

    def take_list(self, now_ms: int, members: Iterable[Member]) -> set[EntryName]:
        """Take the platform's list; return the names whose entry changed.

        The list only names members: it neither revives a dead member nor ends a live one.
        """
        self.has_list = True
        listed = {member.name: member for member in members}
        changed = {name for name, member in listed.items() if self._list_one(member)}
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
        """Remove and return the members that have been off the list for too long."""
        due = []
        for name in sorted(self._unlisted):
            since_ms = self._entries[name].unlisted_since_ms
            assert since_ms is not None, "an unlisted member has the time since when"
            if now_ms - since_ms >= UNLISTED_STAY_MS:
                due.append(name)
        return [self._forget(name) for name in due]

    def _list_one(self, member: Member) -> bool:
        is_leaving = member.state is MemberState.LEAVING
        self._forgotten.pop(member.name, None)
        self._unlisted.discard(member.name)
        entry = self._entries.get(member.name)
        if entry is None:
            live = replace(member, state=MemberState.LIVE, incarnation=0)
            self._entries[member.name] = Entry(live, True, is_leaving)
            return True
        is_changed = entry.is_listed_as_leaving != is_leaving
        entry.is_listed, entry.is_listed_as_leaving = True, is_leaving
        entry.unlisted_since_ms = None
        if entry.member.state is MemberState.DEAD:
            # A replacement under the same name may have other addresses; it is probed there.
            entry.member = replace(
                entry.member, zone=member.zone, peer=member.peer, control=member.control
            )
        return is_changed

    def _mark_unlisted(self, now_ms: int, entry: Entry) -> None:
        if entry.unlisted_since_ms is None:
            entry.unlisted_since_ms = now_ms
            self._unlisted.add(entry.member.name)

    def _forget(self, name: EntryName) -> Member:
        self._unlisted.discard(name)
        if len(self._forgotten) >= MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]
        self._forgotten[name] = None
        return self._entries.pop(name).member
