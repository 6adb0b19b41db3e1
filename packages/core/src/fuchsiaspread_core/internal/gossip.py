"""Member changes that are piggybacked on control messages."""

from ..control import ControlMessage, ProbeAnswer
from ..identifiers import EntryName
from ..members import Member, MemberState
from .pseudo_random import PseudoRandom
from .roster import Roster
from .update_queue import MAX_UPDATES, UpdateQueue

# A member's first answer to another one carries this many extra records, since a new member may
# have no list.
MAX_SYNC_UPDATES = 8
# Limits these extra records, so that many new members at once do not multiply the traffic.
SYNC_INTERVAL_MS = 1000


class Gossip:
    """Choose a bounded number of updates for each message."""

    def __init__(self, local_member: Member, roster: Roster, random: PseudoRandom) -> None:
        self.local_member = local_member
        self._roster = roster
        self._random = random
        self._queue = UpdateQueue()
        self._queue.add(local_member.name)
        # Members that have answered since the local record last changed.
        self._acknowledged_by: set[EntryName] = set()
        self._seen_senders: set[EntryName] = set()
        # Members whose record of themselves is older than the one held here.
        self._outdated: set[EntryName] = set()
        self._sync_allowed_ms = 0

    def add_update(self, name: EntryName) -> None:
        """Queue the changed record of a member for gossip."""
        self._queue.add(name)

    def note_repeated(self, update: Member) -> None:
        """Count an update that repeats the known record, which then needs fewer sends from here."""
        entry = self._roster.get(update.name)
        if entry is not None and entry.member == update:
            self._queue.count(update.name, len(self._roster) + 1)

    def replace_local_member(self, local_member: Member) -> None:
        """Replace the local record and queue it for gossip."""
        self.local_member = local_member
        self._queue.add(local_member.name)
        self._acknowledged_by.clear()

    def note_message(self, sender: EntryName, message: ControlMessage) -> None:
        """Track whether the sender knows the local record and whether its own is outdated."""
        entry = self._roster.get(sender)
        if entry is not None and any(
            update.name == sender and update != entry.member for update in message.updates
        ):
            # A restarted process begins with an incarnation that the others ignore. It announces a
            # higher one as soon as it receives its newer record from here.
            self._outdated.add(sender)
        if any(
            update.name == self.local_member.name and update != self.local_member
            for update in message.updates
        ):
            # Otherwise a member with an outdated record, such as a death, is never corrected.
            self._acknowledged_by.discard(sender)
        elif isinstance(message, ProbeAnswer) and message.subject == sender:
            self._acknowledged_by.add(sender)

    def note_silence(self, name: EntryName) -> None:
        """Include the local record again: a silent member may have restarted and lost it."""
        self._acknowledged_by.discard(name)

    def forget(self, name: EntryName) -> None:
        """Drop all state of a removed member."""
        self._queue.discard(name)
        self._acknowledged_by.discard(name)
        self._seen_senders.discard(name)
        self._outdated.discard(name)

    def updates_for(self, name: EntryName, is_extra: bool = False) -> tuple[Member, ...]:
        """Return the updates of one message, first those that the receiver must react to.

        Extra messages, sent because a member does not answer, carry only these. They are most
        frequent when many members fail at once, and must not multiply the traffic then.
        """
        chosen: dict[EntryName, Member] = {}
        entry = self._roster.get(name)
        if entry is not None and (
            entry.member.state is not MemberState.LIVE or name in self._outdated
        ):
            chosen[name] = entry.member
            self._outdated.discard(name)
        if name not in self._acknowledged_by or self.local_member.state is not MemberState.LIVE:
            chosen[self.local_member.name] = self.local_member
        limit = 0 if is_extra else MAX_UPDATES - len(chosen)
        for queued in self._queue.take(len(self._roster) + 1, limit):
            chosen.setdefault(queued, self._record_of(queued))
        return tuple(chosen.values())

    def sync_for(self, now_ms: int, sender: EntryName) -> tuple[Member, ...]:
        """Return records that the sender of a first message may lack, dead and leaving first."""
        is_first = sender not in self._seen_senders
        self._seen_senders.add(sender)
        if not is_first or now_ms < self._sync_allowed_ms:
            return ()
        self._sync_allowed_ms = now_ms + SYNC_INTERVAL_MS
        others = [entry.member for entry in self._roster if entry.member.name != sender]
        if not others:
            return ()
        start = self._random.randbelow(len(others))
        rotated = others[start:] + others[:start]
        rotated.sort(key=lambda member: -member.state)
        return tuple(rotated[:MAX_SYNC_UPDATES])

    def _record_of(self, name: EntryName) -> Member:
        entry = self._roster.get(name)
        return self.local_member if entry is None else entry.member
