"""Addresses of the known entry VMs."""

from collections.abc import Iterable

from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_core.members import Member, MemberState

# A site has a few hundred entry VMs at most; the limit keeps a faulty peer from filling memory.
MAX_MEMBERS = 4096


class Directory:
    """Merge seeds, the platform's list and peers' gossip; the latest update of a name wins.

    A member that disappears from the list keeps its address: the list lags behind, and the core
    decides whether an entry VM is live.
    """

    def __init__(self, seeds: Iterable[Member]) -> None:
        self._members = {member.name: member for member in seeds}
        self._listed: dict[EntryName, Member] = {}

    def apply_listed(self, members: Iterable[Member]) -> bool:
        """Apply the platform's list; return whether an address changed."""
        listed = {member.name: member for member in members}
        has_changed = False
        for name, member in listed.items():
            # Skip an entry that is unchanged since the previous list: the entry VM may meanwhile
            # have been replaced at another address and have announced that itself.
            if not _has_same_addresses(self._listed.get(name), member):
                has_changed |= self._put(member)
        self._listed = listed
        return has_changed

    def apply_updates(self, sender: EntryName, updates: Iterable[Member]) -> bool:
        """Apply a peer's gossip about members; return whether an address changed."""
        has_changed = False
        for member in updates:
            known = self._members.get(member.name)
            is_newer = known is None or member.incarnation > known.incarnation
            if member.state is not MemberState.DEAD and (is_newer or member.name == sender):
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
        return not _has_same_addresses(known, member)


def _has_same_addresses(known: Member | None, member: Member) -> bool:
    return known is not None and (known.peer, known.control) == (member.peer, member.control)
