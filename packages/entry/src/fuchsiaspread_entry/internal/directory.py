"""Addresses of the known entry VMs."""

from collections.abc import Iterable

from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_core.members import Member, MemberState

# A site has a few hundred entry VMs at most; the bound keeps a faulty peer from filling memory.
MAX_MEMBERS = 4096


class Directory:
    """Merge the seeds, the platform's list and what peers tell of new entry VMs."""

    def __init__(self, seeds: Iterable[Member]) -> None:
        self._seeds = {member.name: member for member in seeds}
        self._published: dict[EntryName, Member] = {}
        self._heard: dict[EntryName, Member] = {}

    def publish(self, members: Iterable[Member]) -> bool:
        """Take the platform's list; return whether an address changed."""
        before = self._addresses()
        self._published = {member.name: member for member in members}
        return self._addresses() != before

    def hear(self, updates: Iterable[Member]) -> bool:
        """Take what a peer tells of members; return whether an address changed."""
        has_changed = False
        for member in updates:
            known = self._heard.get(member.name)
            if member.state is MemberState.DEAD:
                has_changed |= self._heard.pop(member.name, None) is not None
            elif known is None and len(self._heard) >= MAX_MEMBERS:
                continue
            elif known is None or _addresses_of(known) != _addresses_of(member):
                # An older incarnation may carry the addresses of an entry VM that was replaced.
                if known is not None and member.incarnation < known.incarnation:
                    continue
                self._heard[member.name] = member
                has_changed = True
        return has_changed

    def members(self) -> tuple[Member, ...]:
        """Return all known members; the platform's list goes before what peers tell."""
        return tuple((self._seeds | self._heard | self._published).values())

    def _addresses(self) -> list[object]:
        return [_addresses_of(member) for member in self.members()]


def _addresses_of(member: Member) -> object:
    return (member.name, member.peer, member.control)
