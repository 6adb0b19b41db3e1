"""Addresses of the known entry VMs."""

from collections.abc import Iterable

from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_core.members import Member, MemberState

# A site has a few hundred entry VMs at most; the bound keeps a faulty peer from filling memory.
MAX_MEMBERS = 4096


class Directory:
    """Merge seeds, the platform's list and what peers tell; the latest news of a name counts.

    A member that leaves the list keeps its address: the list lags, and whether an entry VM is
    live is for the core to decide.
    """

    def __init__(self, seeds: Iterable[Member]) -> None:
        self._members = {member.name: member for member in seeds}
        self._listed: dict[EntryName, Member] = {}

    def publish(self, members: Iterable[Member]) -> bool:
        """Take the platform's list; return whether an address changed."""
        listed = {member.name: member for member in members}
        has_changed = False
        for name, member in listed.items():
            # An entry that repeats what the list said before is no news: the entry VM may have
            # been replaced at another address since, and have said so itself.
            if not _is_same_place(self._listed.get(name), member):
                has_changed |= self._put(member)
        self._listed = listed
        return has_changed

    def hear(self, sender: EntryName, updates: Iterable[Member]) -> bool:
        """Take what a peer tells of members; return whether an address changed."""
        has_changed = False
        for member in updates:
            known = self._members.get(member.name)
            is_news = known is None or member.incarnation > known.incarnation
            if member.state is not MemberState.DEAD and (is_news or member.name == sender):
                has_changed |= self._put(member)
        return has_changed

    def members(self) -> tuple[Member, ...]:
        """Return all known members."""
        return tuple(self._members.values())

    def _put(self, member: Member) -> bool:
        known = self._members.get(member.name)
        if known is None and len(self._members) >= MAX_MEMBERS:
            return False
        self._members[member.name] = member
        return not _is_same_place(known, member)


def _is_same_place(known: Member | None, member: Member) -> bool:
    return known is not None and (known.peer, known.control) == (member.peer, member.control)
