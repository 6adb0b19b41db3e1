"""Live members of the fleet, found by probes at constant cost (SWIM)."""

from dataclasses import replace
from typing import assert_never

from .configuration import Revision
from .control import NO_REVISION, PeerRevision, Probe, ProbeAnswer, ProbeRequest
from .effects import Notify, SendControl
from .events import ControlReceived, MembersPublished, StopRequested, Tick
from .identifiers import EntryName
from .internal.draws import Draws
from .internal.gossip import Gossip
from .internal.probe_ring import ProbeRing
from .internal.probes import (
    INDIRECT_TIMEOUT_MS,
    OpenProbe,
    ProbePhase,
    ProbeSignal,
    RelayedProbe,
    RelayedProbes,
)
from .internal.roster import STATE_TRANSITIONS, MemberSignal, Roster
from .internal.suspicions import Suspicions
from .members import Member, MembersChanged, MemberState
from .notices import MemberChanged
from .wakeup import BACKLOG_MS, GAP_LIMIT_MS

__all__ = ["MembersChanged", "Membership", "MembershipEffect", "MembershipEvent", "PeerRevision"]

# With 4 members, 3 intervals until the probe of a killed one, 250 ms without an answer and 500 ms
# of suspicion make up 1,950 ms. An interval must be longer than the timeout of indirect probes.
PROBE_INTERVAL_MS = 400
INDIRECT_PROBES = 3
# One dead member is probed in this time, however many there are.
DEAD_PROBE_INTERVAL_MS = 2000
# Members that hear at once of a new revision, a stop or a wake-up; the rest hear from them.
ANNOUNCEMENT_PROBES = 3
FORGET_INTERVAL_MS = 1000


MembershipEvent = MembersPublished | ControlReceived | StopRequested | Tick
MembershipEffect = SendControl | MembersChanged | PeerRevision | Notify


class Membership:
    """Probe one member in each interval and keep the own view of which members are live."""

    def __init__(self, local_member: Member, seeds: tuple[Member, ...], seed: int) -> None:
        self.revision = NO_REVISION
        self.newest_revision = NO_REVISION
        self._is_listed_as_leaving = False
        self._seeds = {one.name: one for one in seeds if one.name != local_member.name}
        self._draws = Draws(seed)
        self._roster = Roster()
        self._answering = ProbeRing(self._draws)
        self._dead = ProbeRing(self._draws)
        for name in self._seeds:
            self._dead.add(name)
        self._gossip = Gossip(local_member, self._roster, self._draws)
        self._suspicions = Suspicions()
        self._open: OpenProbe | None = None
        self._relayed = RelayedProbes()
        self._sequence = 0
        self._announced: tuple[Revision, Revision] = (NO_REVISION, NO_REVISION)
        self._live: tuple[Member, ...] = ()
        self._is_view_changed = True
        self._effects: list[MembershipEffect] = []
        self._last_tick_ms: int | None = None
        self._probe_due_ms = self._dead_probe_due_ms = 0
        self._announce_due_ms: int | None = None
        self._announce_allowed_ms = self._forget_due_ms = 0

    @property
    def local_member(self) -> Member:
        """Return the own record as it is passed on."""
        return self._gossip.me

    @property
    def leaving(self) -> tuple[Member, ...]:
        """Return the other members that are leaving but still answer, sorted by name."""
        return self._roster.in_state(MemberState.LEAVING)

    @property
    def dead(self) -> tuple[Member, ...]:
        """Return the members that do not answer, sorted by name."""
        return self._roster.in_state(MemberState.DEAD)

    def find(self, name: EntryName) -> Member | None:
        """Return the record of a member or seed in any state, for its addresses."""
        entry = self._roster.get(name)
        return entry.member if entry is not None else self._seeds.get(name)

    def handle(self, now_ms: int, event: MembershipEvent) -> list[MembershipEffect]:
        """Take an event at its time and return what follows from it."""
        self._effects = []
        match event:
            case MembersPublished(members=members):
                self._take_list(now_ms, members)
            case ControlReceived():
                self._take_message(now_ms, event)
            case StopRequested():
                self._restate(replace(self.local_member, state=MemberState.LEAVING))
                self._announce(now_ms)
            case Tick():
                self._tick(now_ms)
            case _:
                assert_never(event)
        if self._is_view_changed:
            self._publish_view()
        return self._effects

    # Time

    def _tick(self, now_ms: int) -> None:
        if self._last_tick_ms is None:
            self._probe_due_ms = now_ms + self._draws.below(PROBE_INTERVAL_MS)
            self._dead_probe_due_ms = now_ms + self._draws.below(DEAD_PROBE_INTERVAL_MS)
        elif now_ms - self._last_tick_ms > GAP_LIMIT_MS:
            self._resume(now_ms, now_ms - self._last_tick_ms)
        self._last_tick_ms = now_ms
        self._relayed.expire(now_ms)
        self._check_open_probe(now_ms)
        for name in self._suspicions.expired(now_ms):
            self._observe(now_ms, name, MemberSignal.SUSPICION_EXPIRED)
        for name in self._suspicions.take_probes(now_ms):
            # Carries the suspicion to its subject, which can refute it at once.
            self._send_probe(name, is_extra=True)
        if now_ms >= self._forget_due_ms:
            self._forget_due_ms = now_ms + FORGET_INTERVAL_MS
            for member in self._roster.forget_unlisted(now_ms):
                self._drop(member.name)
        self._send_due_probes(now_ms)
        self._announce_if_due(now_ms)

    def _resume(self, now_ms: int, gap_ms: int) -> None:
        """Discard what timed out during a pause of the own process: nobody else was at fault."""
        self._open = None
        self._suspicions.postpone(gap_ms)
        # The others may count this entry VM as dead; their answers say so and are refuted. They are
        # asked once the backlog is read, so that these answers count as a fresh view.
        self._announce_due_ms = self._probe_due_ms = now_ms + BACKLOG_MS

    def _send_due_probes(self, now_ms: int) -> None:
        if now_ms >= self._probe_due_ms:
            self._probe_due_ms = now_ms + PROBE_INTERVAL_MS
            assert self._open is None, "a probe ends before the next interval starts"
            name = self._answering.next()
            if name is not None:
                self._open = OpenProbe(name, self._send_probe(name), now_ms)
                return
            self._dead_probe_due_ms = now_ms
        if now_ms >= self._dead_probe_due_ms:
            self._dead_probe_due_ms = now_ms + DEAD_PROBE_INTERVAL_MS
            name = self._dead.next()
            if name is not None:
                self._send_probe(name, is_extra=True)

    def _check_open_probe(self, now_ms: int) -> None:
        probe = self._open
        while probe is not None and self._open is probe and probe.is_due(now_ms):
            entry = self._roster.get(probe.target)
            if entry is None or entry.member.state in (MemberState.SUSPECTED, MemberState.DEAD):
                # Silence adds nothing to a suspicion, so asking others would only cost messages.
                self._open = None
            elif probe.signal(ProbeSignal.TIMEOUT) is ProbePhase.INDIRECT:
                self._gossip.note_silence(probe.target)
                # With 10% loss, the retry avoids four of five false suspicions.
                self._send_probe(probe.target, probe.sequence, is_extra=True)
                for helper in self._answering.sample(INDIRECT_PROBES, frozenset({probe.target})):
                    self._ask_to_probe(helper, probe)
            else:
                self._open = None
                self._observe(now_ms, probe.target, MemberSignal.UNANSWERED)

    def _observe(self, now_ms: int, name: EntryName, signal: MemberSignal) -> None:
        entry = self._roster.get(name)
        if entry is None:
            return
        state = STATE_TRANSITIONS.get((entry.member.state, signal))
        if state is None:
            return
        self._hear(now_ms, replace(entry.member, state=state))
        if state is MemberState.SUSPECTED:
            self._suspicions.raise_own(now_ms, name)

    # Messages

    def _take_message(self, now_ms: int, event: ControlReceived) -> None:
        sender, message = event.sender, event.message
        for update in message.updates:
            self._hear(now_ms, update)
        if self._roster.get(sender) is None:
            # Without the sender's own record there is no address to answer to.
            return
        self._gossip.note_message(sender, message)
        self._effects.append(PeerRevision(sender, message.revision, message.newest))
        match message:
            case Probe():
                self._answer(sender, message.sequence, self._gossip.sync_for(now_ms, sender))
            case ProbeRequest():
                self._relay_probe(now_ms, sender, message)
            case ProbeAnswer():
                self._take_answer(sender, message)
            case _:
                assert_never(message)

    def _take_answer(self, sender: EntryName, answer: ProbeAnswer) -> None:
        if answer.subject == sender:
            relayed = self._relayed.pop(answer.sequence, sender)
            if relayed is not None:
                self._answer(relayed.requester, relayed.sequence, (), relayed.subject)
        probe = self._open
        if probe is None or (probe.sequence, probe.target) != (answer.sequence, answer.subject):
            return
        if probe.signal(ProbeSignal.ANSWER) is ProbePhase.ANSWERED:
            self._open = None

    def _relay_probe(self, now_ms: int, requester: EntryName, request: ProbeRequest) -> None:
        if self._roster.get(request.subject) is None:
            return
        until_ms = now_ms + INDIRECT_TIMEOUT_MS
        relayed = RelayedProbe(requester, request.sequence, request.subject, until_ms)
        self._relayed.add(self._send_probe(request.subject, is_extra=True), relayed)

    def _send_probe(
        self, name: EntryName, retried_sequence: int | None = None, is_extra: bool = False
    ) -> int:
        if retried_sequence is None:
            self._sequence += 1
        sequence = self._sequence if retried_sequence is None else retried_sequence
        updates = self._gossip.updates_for(name, is_extra)
        probe = Probe(sequence, self.revision, updates, self.newest_revision)
        self._effects.append(SendControl(name, probe))
        return sequence

    def _ask_to_probe(self, helper: EntryName, probe: OpenProbe) -> None:
        updates = self._gossip.updates_for(helper, is_extra=True)
        request = ProbeRequest(
            probe.sequence, probe.target, self.revision, updates, self.newest_revision
        )
        self._effects.append(SendControl(helper, request))

    def _answer(
        self,
        name: EntryName,
        sequence: int,
        sync: tuple[Member, ...],
        subject: EntryName | None = None,
    ) -> None:
        updates = self._gossip.updates_for(name)
        known = {update.name for update in updates}
        updates += tuple(member for member in sync if member.name not in known)
        answer = ProbeAnswer(
            sequence,
            subject or self.local_member.name,
            self.revision,
            updates,
            self.newest_revision,
        )
        self._effects.append(SendControl(name, answer))

    # Announcements

    def _announce_if_due(self, now_ms: int) -> None:
        stated = (self.revision, self.newest_revision)
        is_due = self._announce_due_ms is not None and now_ms >= self._announce_due_ms
        is_changed = stated != self._announced and now_ms >= self._announce_allowed_ms
        if is_due or is_changed:
            self._announce(now_ms)

    def _announce(self, now_ms: int) -> None:
        self._announced = (self.revision, self.newest_revision)
        self._announce_due_ms = None
        self._announce_allowed_ms = now_ms + PROBE_INTERVAL_MS
        for name in self._answering.sample(ANNOUNCEMENT_PROBES, frozenset()):
            self._send_probe(name)

    # The view

    def _take_list(self, now_ms: int, members: tuple[Member, ...]) -> None:
        if not members:
            # An empty list names nobody, not even this entry VM: a fault, and no information.
            return
        own = next((one for one in members if one.name == self.local_member.name), None)
        is_leaving = own is not None and own.state is MemberState.LEAVING
        self._is_view_changed |= is_leaving != self._is_listed_as_leaving
        self._is_listed_as_leaving = is_leaving
        others = [one for one in members if one.name != self.local_member.name]
        for name in sorted(self._roster.take_list(now_ms, others)):
            self._follow(now_ms, name)
        for name in self._seeds:
            if self._roster.get(name) is None:
                self._dead.discard(name)

    def _hear(self, now_ms: int, update: Member) -> None:
        if update.name == self.local_member.name:
            self._hear_of_self(update)
            return
        if not self._roster.apply(now_ms, update):
            self._gossip.note_repeated(update)
            return
        self._gossip.spread(update.name)
        if update.state is MemberState.SUSPECTED:
            self._suspicions.start(now_ms, update.name, len(self._answering))
        else:
            self._suspicions.end(update.name)
        self._follow(now_ms, update.name)

    def _hear_of_self(self, update: Member) -> None:
        """Refute a statement of others about this entry VM by a higher incarnation."""
        me = self.local_member
        is_other_address = (update.peer, update.control) != (me.peer, me.control)
        is_graver = update.state > me.state or is_other_address
        if update.incarnation > me.incarnation or (
            update.incarnation == me.incarnation and is_graver
        ):
            self._restate(replace(me, incarnation=update.incarnation + 1))

    def _restate(self, me: Member) -> None:
        self._gossip.restate(me)
        self._is_view_changed = True

    def _follow(self, now_ms: int, name: EntryName) -> None:
        """Bring rings, notices and the published view in line with a changed entry."""
        entry = self._roster.get(name)
        assert entry is not None, "only a held entry can change"
        is_dead = entry.state is MemberState.DEAD
        (self._answering if is_dead else self._dead).discard(name)
        (self._dead if is_dead else self._answering).add(name)
        self._is_view_changed = True
        if entry.state is not entry.reported:
            entry.reported = entry.state
            self._effects.append(Notify(MemberChanged(name, entry.state.name.lower())))

    def _drop(self, name: EntryName) -> None:
        for ring in (self._answering, self._dead):
            ring.discard(name)
        self._gossip.forget(name)
        self._suspicions.end(name)
        self._is_view_changed = True
        self._effects.append(Notify(MemberChanged(name, "forgotten")))

    def _publish_view(self) -> None:
        self._is_view_changed = False
        members = self._roster.in_state(MemberState.LIVE, MemberState.SUSPECTED)
        if self.local_member.state is not MemberState.LEAVING and not self._is_listed_as_leaving:
            members += (self.local_member,)
        # Without incarnation and suspicion, which are no change of the view.
        plain = (replace(one, incarnation=0, state=MemberState.LIVE) for one in members)
        live = tuple(sorted(plain, key=lambda member: member.name))
        if live != self._live:
            self._live = live
            self._effects.append(MembersChanged(live))
