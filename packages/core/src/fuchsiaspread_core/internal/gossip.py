"""Member changes that ride on control messages."""

from ..control import ControlMessage, ProbeAnswer
from ..identifiers import EntryName
from ..members import Member, MemberState
from .draws import Draws
from .roster import Roster
from .update_queue import MAX_UPDATES, UpdateQueue

# A newcomer without a list learns this many members from each answer to its first message.
MAX_SYNC_UPDATES = 8
# Many newcomers at once must not multiply the traffic of those who answer them.
SYNC_INTERVAL_MS = 1000


class Gossip:
    """Choose the updates of each message, within a bound for each message."""

    def __init__(self, me: Member, roster: Roster, draws: Draws) -> None:
        self.me = me
        self._roster = roster
        self._draws = draws
        self._queue = UpdateQueue()
        self._queue.add(me.name)
        # Members that have answered since the own record last changed.
        self._introduced: set[EntryName] = set()
        self._heard: set[EntryName] = set()
        # Members whose own statement of themselves is older than the held one.
        self._outdated: set[EntryName] = set()
        self._sync_allowed_ms = 0

    def spread(self, name: EntryName) -> None:
        """Pass on the changed record of a member."""
        self._queue.add(name)

    def note_repeated(self, update: Member) -> None:
        """Note that a peer passed on what is held already: it needs less passing on."""
        entry = self._roster.get(update.name)
        if entry is not None and entry.member == update:
            self._queue.count(update.name, len(self._roster) + 1)

    def restate(self, me: Member) -> None:
        """Replace the own record and pass it on."""
        self.me = me
        self._queue.add(me.name)
        self._introduced.clear()

    def note_message(self, sender: EntryName, message: ControlMessage) -> None:
        """Note whether the sender of a message knows the own record and states its own one anew."""
        entry = self._roster.get(sender)
        if entry is not None and any(
            one.name == sender and one != entry.member for one in message.updates
        ):
            # A new process under a known name states an incarnation that the others ignore. It
            # goes beyond the held one as soon as it hears of that.
            self._outdated.add(sender)
        if any(one.name == self.me.name and one != self.me for one in message.updates):
            # Without this, a member that holds an outdated death of this one was never corrected.
            self._introduced.discard(sender)
        elif isinstance(message, ProbeAnswer) and message.subject == sender:
            self._introduced.add(sender)

    def note_silence(self, name: EntryName) -> None:
        """Note that a member may be a new process that ignores senders without their record."""
        self._introduced.discard(name)

    def forget(self, name: EntryName) -> None:
        """Forget a removed member."""
        self._queue.discard(name)
        self._introduced.discard(name)
        self._heard.discard(name)
        self._outdated.discard(name)

    def updates_for(self, name: EntryName, is_extra: bool = False) -> tuple[Member, ...]:
        """Return the updates of one message: what its receiver must answer to comes first.

        Messages that are extra, since a member does not answer, carry nothing else. They are most
        frequent when many members fail at once, and must not multiply the traffic then.
        """
        chosen: dict[EntryName, Member] = {}
        entry = self._roster.get(name)
        if entry is not None and (
            entry.member.state is not MemberState.LIVE or name in self._outdated
        ):
            chosen[name] = entry.member
            self._outdated.discard(name)
        if name not in self._introduced or self.me.state is not MemberState.LIVE:
            chosen[self.me.name] = self.me
        room = 0 if is_extra else MAX_UPDATES - len(chosen)
        for queued in self._queue.take(len(self._roster) + 1, room):
            chosen.setdefault(queued, self._record_of(queued))
        return tuple(chosen.values())

    def sync_for(self, now_ms: int, sender: EntryName) -> tuple[Member, ...]:
        """Return what a member that sends its first message may lack: dead and leaving first."""
        is_first = sender not in self._heard
        self._heard.add(sender)
        if not is_first or now_ms < self._sync_allowed_ms:
            return ()
        self._sync_allowed_ms = now_ms + SYNC_INTERVAL_MS
        others = [entry.member for entry in self._roster if entry.member.name != sender]
        if not others:
            return ()
        start = self._draws.below(len(others))
        rotated = others[start:] + others[:start]
        rotated.sort(key=lambda member: -member.state)
        return tuple(rotated[:MAX_SYNC_UPDATES])

    def _record_of(self, name: EntryName) -> Member:
        entry = self._roster.get(name)
        return self.me if entry is None else entry.member
