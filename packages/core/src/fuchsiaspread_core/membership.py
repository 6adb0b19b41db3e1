"""SWIM membership: probes detect failed entry VMs at a constant cost per member."""

from dataclasses import replace
from typing import assert_never

from .control import NO_REVISION, PeerRevision, Probe, ProbeAnswer, ProbeRequest
from .effects import Notify, SendControl
from .events import ControlReceived, MembersPublished, StopRequested, Tick
from .identifiers import EntryName
from .internal.announcements import Announcements, Revisions
from .internal.gossip import Gossip
from .internal.probe_ring import ProbeRing
from .internal.probes import (
    INDIRECT_TIMEOUT_MS,
    PendingProbe,
    ProbePhase,
    ProbeSignal,
    RelayedProbe,
    RelayedProbes,
)
from .internal.pseudo_random import PseudoRandom
from .internal.refutation import refute
from .internal.roster import STATE_TRANSITIONS, MemberSignal, Roster
from .internal.suspicions import Suspicions
from .members import Member, MembersChanged, MemberState
from .notices import MemberChanged
from .wakeup import BACKLOG_MS, GAP_LIMIT_MS

__all__ = ["MembersChanged", "Membership", "MembershipEffect", "MembershipEvent", "PeerRevision"]

# With 4 members, a killed one is detected within 1,950 ms: 3 intervals until it is probed, 250 ms
# without an answer and 500 ms of suspicion. The interval must exceed the timeout of indirect
# probes.
PROBE_INTERVAL_MS = 400
INDIRECT_PROBES = 3
# One dead member is probed in each of these intervals, regardless of how many there are.
DEAD_PROBE_INTERVAL_MS = 2000
# How many members are probed at once to announce a new revision, a stop or the end of a pause;
# the others receive it by gossip.
ANNOUNCEMENT_PROBES = 3
FORGET_INTERVAL_MS = 1000


MembershipEvent = MembersPublished | ControlReceived | StopRequested | Tick
MembershipEffect = SendControl | MembersChanged | PeerRevision | Notify


class Membership:
    """Probe one member in each interval and maintain the local view of the live members."""

    def __init__(self, local_member: Member, seeds: tuple[Member, ...], seed: int) -> None:
        self.revision = NO_REVISION
        self.newest_revision = NO_REVISION
        self._is_listed_as_leaving = False
        self._seeds = {
            seed_member.name: seed_member
            for seed_member in seeds
            if seed_member.name != local_member.name
        }
        self._random = PseudoRandom(seed)
        self._roster = Roster()
        self._alive_ring = ProbeRing(self._random)
        self._dead_ring = ProbeRing(self._random)
        for name in self._seeds:
            self._dead_ring.add(name)
        self._gossip = Gossip(local_member, self._roster, self._random)
        self._suspicions = Suspicions()
        self._pending_probe: PendingProbe | None = None
        self._relayed = RelayedProbes()
        self._sequence = 0
        self._announcements = Announcements(PROBE_INTERVAL_MS)
        self._live: tuple[Member, ...] = ()
        self._is_view_changed = True
        self._effects: list[MembershipEffect] = []
        self._last_tick_ms: int | None = None
        self._probe_due_ms = self._dead_probe_due_ms = 0
        self._forget_due_ms = 0

    @property
    def local_member(self) -> Member:
        """Return the record of this member, as it is gossiped."""
        return self._gossip.local_member

    @property
    def leaving(self) -> tuple[Member, ...]:
        """Return the members that are leaving but still answer, sorted by name."""
        return self._roster.in_state(MemberState.LEAVING)

    @property
    def dead(self) -> tuple[Member, ...]:
        """Return the members declared dead, sorted by name."""
        return self._roster.in_state(MemberState.DEAD)

    def find(self, name: EntryName) -> Member | None:
        """Return the record of a member or seed in any state, or None; used for its addresses."""
        entry = self._roster.get(name)
        return entry.member if entry is not None else self._seeds.get(name)

    def handle(self, now_ms: int, event: MembershipEvent) -> list[MembershipEffect]:
        """Handle an event and return its effects."""
        self._effects = []
        match event:
            case MembersPublished(members=members):
                self._handle_list(now_ms, members)
            case ControlReceived():
                self._handle_message(now_ms, event)
            case StopRequested():
                self._replace_local_member(replace(self.local_member, state=MemberState.LEAVING))
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
            self._probe_due_ms = now_ms + self._random.randbelow(PROBE_INTERVAL_MS)
            self._dead_probe_due_ms = now_ms + self._random.randbelow(DEAD_PROBE_INTERVAL_MS)
        elif now_ms - self._last_tick_ms > GAP_LIMIT_MS:
            self._resume(now_ms, now_ms - self._last_tick_ms)
        self._last_tick_ms = now_ms
        self._relayed.expire(now_ms)
        self._check_pending_probe(now_ms)
        for name in self._suspicions.expired(now_ms):
            self._observe(now_ms, name, MemberSignal.SUSPICION_EXPIRED)
        for name in self._suspicions.pop_due_probes(now_ms):
            # The probe carries the suspicion to its subject, which can refute it at once.
            self._send_probe(name, is_extra=True)
        if now_ms >= self._forget_due_ms:
            self._forget_due_ms = now_ms + FORGET_INTERVAL_MS
            for member in self._roster.forget_unlisted(now_ms):
                self._remove_member(member.name)
        self._send_due_probes(now_ms)
        if self._announcements.is_due(now_ms, self._revisions):
            self._announce(now_ms)

    def _resume(self, now_ms: int, gap_ms: int) -> None:
        """Discard timeouts that passed during a pause of this process; no peer was at fault."""
        self._pending_probe = None
        self._suspicions.postpone(gap_ms)
        # Others may have declared this entry VM dead; their answers carry that and are refuted.
        # They are probed once the backlog has been read, so that the answers make the view fresh.
        self._probe_due_ms = now_ms + BACKLOG_MS
        self._announcements.schedule(now_ms + BACKLOG_MS)

    def _send_due_probes(self, now_ms: int) -> None:
        if now_ms >= self._probe_due_ms:
            self._probe_due_ms = now_ms + PROBE_INTERVAL_MS
            assert self._pending_probe is None, "a probe must end before the next interval starts"
            name = self._alive_ring.next()
            if name is not None:
                self._pending_probe = PendingProbe(name, self._send_probe(name), now_ms)
                return
            self._dead_probe_due_ms = now_ms
        if now_ms >= self._dead_probe_due_ms:
            self._dead_probe_due_ms = now_ms + DEAD_PROBE_INTERVAL_MS
            name = self._dead_ring.next()
            if name is not None:
                self._send_probe(name, is_extra=True)

    def _check_pending_probe(self, now_ms: int) -> None:
        probe = self._pending_probe
        while probe is not None and self._pending_probe is probe and probe.is_due(now_ms):
            entry = self._roster.get(probe.target)
            if entry is None or entry.member.state in (MemberState.SUSPECTED, MemberState.DEAD):
                # The member is already suspected or dead, so indirect probes would be wasted.
                self._pending_probe = None
            elif probe.signal(ProbeSignal.TIMEOUT) is ProbePhase.INDIRECT:
                self._gossip.note_silence(probe.target)
                # With 10% packet loss, this retry prevents four out of five false suspicions.
                self._send_probe(probe.target, probe.sequence, is_extra=True)
                for helper in self._alive_ring.sample(INDIRECT_PROBES, frozenset({probe.target})):
                    self._request_probe(helper, probe)
            else:
                self._pending_probe = None
                self._observe(now_ms, probe.target, MemberSignal.UNANSWERED)

    def _observe(self, now_ms: int, name: EntryName, signal: MemberSignal) -> None:
        entry = self._roster.get(name)
        if entry is None:
            return
        state = STATE_TRANSITIONS.get((entry.member.state, signal))
        if state is None:
            return
        self._apply_update(now_ms, replace(entry.member, state=state))
        if state is MemberState.SUSPECTED:
            self._suspicions.schedule_probes(now_ms, name)

    # Messages

    def _handle_message(self, now_ms: int, event: ControlReceived) -> None:
        sender, message = event.sender, event.message
        for update in message.updates:
            self._apply_update(now_ms, update)
        if self._roster.get(sender) is None:
            # Without a record of the sender, there is no address to answer to.
            return
        self._gossip.note_message(sender, message)
        self._effects.append(PeerRevision(sender, message.revision, message.newest))
        match message:
            case Probe():
                self._answer(sender, message.sequence, self._gossip.sync_for(now_ms, sender))
            case ProbeRequest():
                self._relay_probe(now_ms, sender, message)
            case ProbeAnswer():
                self._handle_answer(sender, message)
            case _:
                assert_never(message)

    def _handle_answer(self, sender: EntryName, answer: ProbeAnswer) -> None:
        if answer.subject == sender:
            relayed = self._relayed.pop(answer.sequence, sender)
            if relayed is not None:
                self._answer(relayed.requester, relayed.sequence, (), relayed.subject)
        probe = self._pending_probe
        if probe is None or (probe.sequence, probe.target) != (answer.sequence, answer.subject):
            return
        if probe.signal(ProbeSignal.ANSWER) is ProbePhase.ANSWERED:
            self._pending_probe = None

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

    def _request_probe(self, helper: EntryName, probe: PendingProbe) -> None:
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

    @property
    def _revisions(self) -> Revisions:
        return self.revision, self.newest_revision

    def _announce(self, now_ms: int) -> None:
        self._announcements.record(now_ms, self._revisions)
        for name in self._alive_ring.sample(ANNOUNCEMENT_PROBES, frozenset()):
            self._send_probe(name)

    # The view

    def _handle_list(self, now_ms: int, members: tuple[Member, ...]) -> None:
        if not members:
            # An empty list lacks even this entry VM, so it is a fault and is ignored.
            return
        own = next((member for member in members if member.name == self.local_member.name), None)
        is_leaving = own is not None and own.state is MemberState.LEAVING
        self._is_view_changed |= is_leaving != self._is_listed_as_leaving
        self._is_listed_as_leaving = is_leaving
        others = [member for member in members if member.name != self.local_member.name]
        for name in sorted(self._roster.apply_list(now_ms, others)):
            self._sync_with_entry(now_ms, name)
        for name in self._seeds:
            if self._roster.get(name) is None:
                self._dead_ring.discard(name)

    def _apply_update(self, now_ms: int, update: Member) -> None:
        if update.name == self.local_member.name:
            refuted = refute(self.local_member, update)
            if refuted is not None:
                self._replace_local_member(refuted)
            return
        if not self._roster.apply(now_ms, update):
            self._gossip.note_repeated(update)
            return
        self._gossip.add_update(update.name)
        if update.state is MemberState.SUSPECTED:
            self._suspicions.start(now_ms, update.name, len(self._alive_ring))
        else:
            self._suspicions.end(update.name)
        self._sync_with_entry(now_ms, update.name)

    def _replace_local_member(self, member: Member) -> None:
        self._gossip.replace_local_member(member)
        self._is_view_changed = True

    def _sync_with_entry(self, now_ms: int, name: EntryName) -> None:
        """Update probe rings, notices and the published view after a roster entry changed."""
        entry = self._roster.get(name)
        assert entry is not None, "a changed entry must be in the roster"
        is_dead = entry.state is MemberState.DEAD
        (self._alive_ring if is_dead else self._dead_ring).discard(name)
        (self._dead_ring if is_dead else self._alive_ring).add(name)
        self._is_view_changed = True
        if entry.state is not entry.reported:
            entry.reported = entry.state
            self._effects.append(Notify(MemberChanged(name, entry.state.name.lower())))

    def _remove_member(self, name: EntryName) -> None:
        for ring in (self._alive_ring, self._dead_ring):
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
        # Incarnations and suspicions are left out, since they do not change the view.
        reported = (replace(member, incarnation=0, state=MemberState.LIVE) for member in members)
        live = tuple(sorted(reported, key=lambda member: member.name))
        if live != self._live:
            self._live = live
            self._effects.append(MembersChanged(live))
