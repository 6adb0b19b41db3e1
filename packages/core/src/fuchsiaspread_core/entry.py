"""The core of an entry VM: takes packets, control messages and ticks, and returns effects."""

from typing import assert_never

from .configuration import Configuration, Revision
from .control import NO_REVISION, PeerRevision
from .effects import Effect, FetchParts, Notify, SendControl, StopNow
from .events import (
    CallerData,
    CallerOpen,
    CallerReset,
    ControlReceived,
    Event,
    LoadReported,
    MembersPublished,
    PartPublished,
    PartsReceived,
    RecordsReceived,
    StopRequested,
    TargetAccept,
    TargetClose,
    TargetData,
    TargetReset,
    Tick,
)
from .flow_table import COUNTED_PHASES, Phase
from .identifiers import EntryName, FlowKey, TargetName
from .internal.address_history import FLOW_LIFETIME_LIMIT_MS, AddressHistory
from .internal.caller_handler import CallerHandler
from .internal.entry_state import EntryState
from .internal.explanation import Explanation
from .internal.handover import Handover
from .internal.open_handler import OpenHandler
from .internal.recovery import Recovery
from .internal.reply_handler import ReplyHandler
from .members import Member
from .membership import MembersChanged, Membership, MembershipEffect
from .notices import ConfigurationRefused, FlowEnd
from .parts import ConfigurationCompiler, Part
from .relay import RelayOpen
from .revisions import ApplyConfiguration, RevisionEffect, RevisionStore
from .routing import ManagerRanks, RouteTable, ServiceIndex
from .status import EntryStatus, FlowExplanation, PeerStatus, TargetExplanation
from .wakeup import WakeupGuard

# Peers and the fabric take about this long to notice that this entry VM is leaving.
MIN_STOP_MS = 1000
# A stopping entry VM is done when it has received no packets for this time.
QUIET_BEFORE_STOP_MS = 500


class EntryCore:
    """Make the decisions of one entry VM, without input or output of its own."""

    def __init__(
        self,
        member: Member,
        seeds: tuple[Member, ...],
        compile_parts: ConfigurationCompiler,
        seed: int,
        flow_lifetime_limit_ms: int = FLOW_LIFETIME_LIMIT_MS,
    ) -> None:
        self._member = member
        history = AddressHistory(flow_lifetime_limit_ms)
        self._state = EntryState(member.name, history)
        self._recovery = Recovery(self._state)
        self._opens = OpenHandler(self._state)
        self._callers = CallerHandler(self._state, self._opens, self._recovery)
        self._replies = ReplyHandler(self._state, self._opens, self._recovery)
        self._handover = Handover(self._state, seed)
        self._membership = Membership(member, seeds, seed)
        self._revisions = RevisionStore(compile_parts)
        self._wakeup = WakeupGuard()
        self._explanation = Explanation(self._state)
        self._ranks = ManagerRanks((member,))
        self._live: tuple[Member, ...] = (member,)
        self._peer_revisions: dict[EntryName, Revision] = {}
        self._configuration: Configuration | None = None
        self._in_force_ms: int | None = None
        self._refused: ConfigurationRefused | None = None
        self._stop_requested_ms: int | None = None
        self._last_packet_ms = 0

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self._revisions.revision

    @property
    def in_force_parts(self) -> tuple[Part, ...]:
        """Return the parts in force, for other entry VMs to fetch."""
        return tuple(self._revisions.in_force_parts)

    @property
    def newest_parts(self) -> tuple[Part, ...]:
        """Return the newest parts seen, valid or not, for other entry VMs to fetch."""
        return tuple(self._revisions.newest_parts)

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self._configuration

    @property
    def is_ready(self) -> bool:
        """Return whether this entry VM may decide opens."""
        is_stopping = self._stop_requested_ms is not None
        return self._configuration is not None and not self._wakeup.is_stale and not is_stopping

    def handle(self, now_ms: int, event: Event) -> list[Effect]:
        """Handle an event and return the effects for the daemon to carry out."""
        match event:
            case CallerData():
                self._last_packet_ms = now_ms
                return self._callers.receive_data(now_ms, event)
            case TargetData() | TargetAccept() | TargetClose() | TargetReset():
                self._last_packet_ms = now_ms
                return self._replies.receive(now_ms, event)
            case CallerOpen():
                self._last_packet_ms = now_ms
                return self._open(now_ms, event)
            case CallerReset():
                return self._callers.receive_reset(now_ms, event)
            case Tick():
                return self._tick(now_ms, event)
            case ControlReceived():
                effects = self._check_pause(now_ms, event)
                return effects + self._handle_membership(now_ms, event)
            case MembersPublished():
                return self._handle_membership(now_ms, event)
            case PartPublished():
                effects = self._check_pause(now_ms, event)
                return effects + self._handle_revisions(now_ms, event)
            case PartsReceived():
                return self._handle_revisions(now_ms, event)
            case LoadReported():
                return self._report_load(now_ms, event)
            case RecordsReceived():
                return self._take_records(now_ms, event)
            case StopRequested():
                self._stop_requested_ms = now_ms
                return self._handle_membership(now_ms, event)
            case _:
                assert_never(event)

    def status(self, now_ms: int) -> EntryStatus:
        """Return the status of this entry VM for operators."""
        since = None if self._in_force_ms is None else now_ms - self._in_force_ms
        return EntryStatus(
            name=self._member.name,
            zone=self._member.zone,
            revision=self.revision,
            in_force_since_ms_ago=since,
            refused=self._refused,
            is_stale=self._wakeup.is_stale,
            is_stopping=self._stop_requested_ms is not None,
            peers=self._peer_statuses(),
            targets=self._explanation.target_statuses(now_ms),
            flow_count=len(self._state.table),
            queued_count=sum(pool.queued_count for pool in self._state.pools.values()),
        )

    def explain_flow(self, flow: FlowKey) -> FlowExplanation:
        """Return where a flow goes and why."""
        return self._explanation.flow(flow)

    def explain_target(self, now_ms: int, target: TargetName) -> TargetExplanation:
        """Return why a target does or does not get new work."""
        return self._explanation.target(now_ms, target)

    def _peer_statuses(self) -> tuple[PeerStatus, ...]:
        known = (*self._live, *self._membership.leaving, *self._membership.dead)
        return tuple(
            PeerStatus(m.name, m.zone, m.state.name.lower(), self._peer_revisions.get(m.name))
            for m in known
            if m.name != self._member.name
        )

    def _open(self, now_ms: int, event: CallerOpen) -> list[Effect]:
        shard = event.relay.shard if isinstance(event.relay, RelayOpen) else None
        if shard is None:
            shard = self._opens.home_shard(event.flow)
        if shard is not None and self._handover.is_warming(now_ms, shard):
            self._handover.hold(event)
            return []
        return self._opens.receive(now_ms, event)

    def _check_pause(
        self, now_ms: int, event: Tick | ControlReceived | PartPublished
    ) -> list[Effect]:
        effects: list[Effect] = list(self._wakeup.handle(now_ms, event))
        self._state.is_stale = self._wakeup.is_stale
        return effects

    def _tick(self, now_ms: int, event: Tick) -> list[Effect]:
        effects = self._check_pause(now_ms, event)
        effects += self._handle_membership(now_ms, event)
        effects += self._handle_revisions(now_ms, event)
        for pool in tuple(self._state.pools.values()):
            effects += self._opens.apply(now_ms, pool.tick(now_ms))
        for flow in self._state.expiry.due(now_ms):
            effects += self._expire(now_ms, flow)
        self._recovery.tick(now_ms)
        effects += self._release_held(now_ms)
        if self._is_stop_complete(now_ms):
            effects.append(StopNow())
        return effects

    def _expire(self, now_ms: int, flow: FlowKey) -> list[Effect]:
        record = self._state.table.record(flow)
        self._state.table.remove(flow)
        withdrawn = self._opens.withdraw(now_ms, flow)
        route = self._state.targets.get(record.target) if record else None
        pool = self._state.pools.get(route.shard) if route else None
        if record is None or route is None or pool is None or record.phase is Phase.CANCELLED:
            # The slot of a cancelled request is held longer than its record, until the target ends.
            return withdrawn
        ended = withdrawn
        if record.phase in COUNTED_PHASES:
            ended += self._state.note_end(now_ms, flow, route, FlowEnd.EXPIRED)
        return ended + self._opens.apply(now_ms, pool.release(now_ms, flow, FlowEnd.EXPIRED))

    def _take_records(self, now_ms: int, event: RecordsReceived) -> list[Effect]:
        effects: list[Effect] = []
        for former in event.former_targets:
            self._state.add_former_target(former)
        for record in event.records:
            # A record that is already held here is newer than the transferred one.
            if self._state.table.row(record.flow) < 0:
                effects += self._opens.adopt(now_ms, record)
        if event.is_last:
            self._handover.note_transfer_end(event.sender)
        return effects + self._release_held(now_ms)

    def _release_held(self, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for event in self._handover.take_held(now_ms):
            effects += self._opens.receive(now_ms, event)
        return effects

    def _report_load(self, now_ms: int, event: LoadReported) -> list[Effect]:
        route = self._state.targets.get(event.target)
        pool = self._state.pools.get(route.shard) if route else None
        if pool is None:
            return []
        pool.report_load(now_ms, event.target, event.busy_slots, event.is_shedding)
        return []

    def _handle_membership(
        self, now_ms: int, event: MembersPublished | ControlReceived | StopRequested | Tick
    ) -> list[Effect]:
        effects: list[Effect] = []
        for effect in self._membership.handle(now_ms, event):
            effects += self._apply_membership(now_ms, effect)
        return effects

    def _apply_membership(self, now_ms: int, effect: MembershipEffect) -> list[Effect]:
        match effect:
            case SendControl() | Notify():
                return [effect]
            case PeerRevision(peer, revision):
                return self._note_revision(now_ms, peer, revision) + self._handle_revisions(
                    now_ms, effect
                )
            case MembersChanged(live):
                self._live = live
                return self._rank_members(now_ms)
            case _:
                assert_never(effect)

    def _note_revision(self, now_ms: int, peer: EntryName, revision: Revision) -> list[Effect]:
        was_configured = self._is_configured(peer)
        self._peer_revisions[peer] = revision
        if self._is_configured(peer) == was_configured:
            return []
        return self._rank_members(now_ms)

    def _rank_members(self, now_ms: int) -> list[Effect]:
        """Rank the live members that have a configuration; others would drop relayed packets."""
        leaving = frozenset(member.name for member in self._membership.leaving)
        self._state.reachable = frozenset(member.name for member in self._live) | leaving
        ranked = tuple(member for member in self._live if self._is_configured(member.name))
        self._ranks = self._ranks.with_members(ranked)
        return self._change_routes(now_ms, self._state.routes.index)

    def _is_configured(self, name: EntryName) -> bool:
        return self._peer_revisions.get(name) != NO_REVISION

    def _handle_revisions(
        self, now_ms: int, event: PartPublished | PartsReceived | PeerRevision | Tick
    ) -> list[Effect]:
        effects: list[Effect] = []
        for effect in self._revisions.handle(now_ms, event):
            effects += self._apply_revisions(now_ms, effect)
        self._membership.newest_revision = self._revisions.newest_revision
        return effects

    def _apply_revisions(self, now_ms: int, effect: RevisionEffect) -> list[Effect]:
        match effect:
            case FetchParts():
                return [effect]
            case Notify(notice):
                if isinstance(notice, ConfigurationRefused):
                    self._refused = notice
                return [effect]
            case ApplyConfiguration(configuration):
                return self._put_in_force(now_ms, configuration)
            case _:
                assert_never(effect)

    def _put_in_force(self, now_ms: int, configuration: Configuration) -> list[Effect]:
        index = ServiceIndex(configuration)
        self._configuration = configuration
        self._in_force_ms = now_ms
        self._refused = None
        self._membership.revision = configuration.revision
        self._state.history.observe(now_ms, index)
        self._state.add_targets(index)
        effects = self._change_routes(now_ms, index)
        for shard, pool in tuple(self._state.pools.items()):
            decisions = pool.configure(now_ms, index.shards.get(shard, ()))
            effects += self._opens.apply(now_ms, decisions)
        return effects

    def _change_routes(self, now_ms: int, index: ServiceIndex) -> list[Effect]:
        former = self._state.routes
        former.drop_cache()
        self._state.former_routes.append(former)
        self._state.routes = RouteTable(index, self._ranks)
        return self._handover.change_routes(now_ms, former, self._state.reachable)

    def _is_stop_complete(self, now_ms: int) -> bool:
        if self._stop_requested_ms is None or now_ms - self._stop_requested_ms < MIN_STOP_MS:
            return False
        return now_ms - self._last_packet_ms >= QUIET_BEFORE_STOP_MS
