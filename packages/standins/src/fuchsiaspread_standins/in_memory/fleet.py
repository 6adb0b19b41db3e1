"""A few entry cores, targets and callers joined in memory, on a virtual clock.

Packets are data classes: the core never looks into a payload, so this front end needs no
encoding. Delivery takes a fixed delay; links between entry VMs can be cut.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import assert_never

from fuchsiaspread_core.effects import (
    Effect,
    FetchParts,
    Notify,
    RefuseOpen,
    SendControl,
    SendRecords,
    SendToCaller,
    SendToPeer,
    SendToTarget,
    StopNow,
)
from fuchsiaspread_core.entry import EntryCore
from fuchsiaspread_core.events import (
    ControlReceived,
    Event,
    LoadReported,
    MembersPublished,
    PartPublished,
    PartsReceived,
    RecordsReceived,
    StopRequested,
    Tick,
)
from fuchsiaspread_core.identifiers import EntryName
from fuchsiaspread_core.internal.address_history import FLOW_LIFETIME_LIMIT_MS
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.parts import ConfigurationCompiler, Part, PartName

from .caller import FleetCaller, FlowOutcome
from .packet import CallerPacket, TargetPacket, to_event
from .target import FleetTarget

TICK_MS = 20
LINK_DELAY_MS = 1
DUPLICATE_DELAY_MS = 40
# How often entry VMs read the targets' load endpoints.
LOAD_INTERVAL_MS = 500
# How long the fabric goes on to send packets to an entry VM that is leaving.
FABRIC_LAG_MS = 700


@dataclass(slots=True)
class FleetEntry:
    """Hold one entry VM of the fleet."""

    member: Member
    core: EntryCore
    is_frozen: bool = False
    backlog: list[Event] = field(default_factory=list)


class Fleet:
    """Run entry cores, targets and callers against each other."""

    def __init__(
        self,
        compile_parts: ConfigurationCompiler,
        seed: int,
        flow_lifetime_limit_ms: int = FLOW_LIFETIME_LIMIT_MS,
    ) -> None:
        self._flow_lifetime_limit_ms = flow_lifetime_limit_ms
        self.now_ms = 0
        self.entries: dict[EntryName, FleetEntry] = {}
        self.targets: dict[str, FleetTarget] = {}
        self.callers: list[FleetCaller] = []
        self.notices: Counter[str] = Counter()
        self.outcomes: Counter[FlowOutcome] = Counter()
        self.cuts: set[tuple[str, str]] = set()
        self.sprayed: list[EntryName] = []
        self.loss_share = 0.0
        self.duplicate_share = 0.0
        # Up to so much is each packet late, as between processes of a busy machine.
        self.lateness_limit_ms = 0
        # Called with each message between entry VMs, for measurements.
        self.observe: Callable[[EntryName, SendToPeer | SendControl | SendRecords], None] = (
            lambda sender, effect: None
        )
        self._by_flow: dict[bytes, FleetCaller] = {}
        self._parts: dict[PartName, Part] = {}
        self._compile = compile_parts
        self._random = random.Random(seed)
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0

    def at(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._sequence, action))

    def run(self, duration_ms: int) -> None:
        """Let virtual time pass."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def publish(self, part: Part) -> None:
        """Publish a part of the configuration on the platform."""
        self._parts[part.name] = part
        for name in self.entries:
            self._deliver(name, PartPublished(part))

    def add_entry(self, member: Member, is_sprayed: bool = True) -> None:
        """Start an entry VM, which hears of the configuration and of the members."""
        seed = len(self.entries) + 1
        core = EntryCore(member, (), self._compile, seed, self._flow_lifetime_limit_ms)
        self.entries[member.name] = FleetEntry(member, core)
        if is_sprayed:
            self.sprayed.append(member.name)
        for part in self._parts.values():
            self._deliver(member.name, PartPublished(part))
        self.list_members()
        self._tick(member.name, core)

    def list_members(self) -> None:
        """Publish the present entry VMs as the platform's list."""
        members = tuple(entry.member for entry in self.entries.values())
        for name in self.entries:
            self._deliver(name, MembersPublished(members))

    def kill_entry(self, name: EntryName) -> None:
        """End an entry VM without notice; the fabric notices at once, the platform does not."""
        del self.entries[name]
        self._leave_fabric(name)

    def stop_entry(self, name: EntryName) -> None:
        """Ask an entry VM to stop gracefully; the fabric follows a little later."""
        self._deliver(name, StopRequested())
        self.at(FABRIC_LAG_MS, lambda: self._leave_fabric(name))

    def _leave_fabric(self, name: EntryName) -> None:
        if name in self.sprayed:
            self.sprayed.remove(name)

    def freeze_entry(self, name: EntryName) -> None:
        """Pause an entry VM; what reaches it waits."""
        self.entries[name].is_frozen = True

    def thaw_entry(self, name: EntryName) -> None:
        """Let a paused entry VM go on with its backlog."""
        entry = self.entries[name]
        entry.is_frozen = False
        # The daemon, too, hands a late tick to the core before the packets that waited.
        self._handle(entry, Tick())
        backlog, entry.backlog = entry.backlog, []
        for event in backlog:
            self._handle(entry, event)

    def cut(self, one_side: Iterable[str], other_side: Iterable[str]) -> None:
        """Cut all links between two groups of entry VMs and targets."""
        others = tuple(other_side)
        for name in one_side:
            for other in others:
                self.cuts |= {(name, other), (other, name)}

    def add_caller(self, caller: FleetCaller) -> None:
        """Start a caller's flow."""
        self.callers.append(caller)
        self._by_flow[caller.flow] = caller
        self._act(caller)

    def _act(self, caller: FleetCaller) -> None:
        if caller.outcome is not None:
            return
        for packet in caller.due(self.now_ms):
            self.spray(packet)
        self._schedule(caller)

    def _schedule(self, caller: FleetCaller) -> None:
        if caller.outcome is not None:
            self.outcomes[caller.outcome] += 1
        elif caller.next_ms is not None and caller.scheduled_ms != caller.next_ms:
            caller.scheduled_ms = caller.next_ms
            self.at(max(1, caller.next_ms - self.now_ms), lambda: self._act(caller))

    def spray(self, packet: CallerPacket | TargetPacket, source_host: str = "") -> None:
        """Hand a packet to any entry VM, as the fabric does."""
        if self.sprayed:
            name = self._random.choice(self.sprayed)
            if (source_host, name) not in self.cuts:
                event = to_event(packet, source_host, None)
                self._transmit(lambda: self._receive(name, event))

    def _deliver(self, name: EntryName, event: Event) -> None:
        self.at(LINK_DELAY_MS, lambda: self._receive(name, event))

    def _transmit(self, action: Callable[[], None]) -> None:
        """Let a packet arrive once, or, by chance, not at all or twice in any order."""
        if self._random.random() < self.loss_share:
            return
        lateness_ms = self._random.randint(0, self.lateness_limit_ms)
        self.at(LINK_DELAY_MS + lateness_ms, action)
        if self._random.random() < self.duplicate_share:
            self.at(self._random.randint(LINK_DELAY_MS, DUPLICATE_DELAY_MS), action)

    def _receive(self, name: EntryName, event: Event) -> None:
        entry = self.entries.get(name)
        if entry is None:
            return
        if entry.is_frozen:
            entry.backlog.append(event)
            return
        self._handle(entry, event)

    def _tick(self, name: EntryName, core: EntryCore) -> None:
        entry = self.entries.get(name)
        if entry is None or entry.core is not core:
            return
        if not entry.is_frozen:
            self._handle(entry, Tick())
            if self.now_ms % LOAD_INTERVAL_MS < TICK_MS:
                self._report_loads(entry)
        self.at(TICK_MS, lambda: self._tick(name, core))

    def _report_loads(self, entry: FleetEntry) -> None:
        for host, target in self.targets.items():
            if not target.is_silent and (entry.member.name, host) not in self.cuts:
                busy = target.busy_slots(self.now_ms)
                self._handle(entry, LoadReported(target.name, busy, False))

    def _handle(self, entry: FleetEntry, event: Event) -> None:
        for effect in entry.core.handle(self.now_ms, event):
            self._carry_out(entry, effect)

    def _carry_out(self, entry: FleetEntry, effect: Effect) -> None:
        me = entry.member.name
        if isinstance(effect, SendToPeer | SendControl | SendRecords):
            self.observe(me, effect)
        match effect:
            case SendToTarget(tunnel, payload):
                if (me, tunnel.host) not in self.cuts:
                    self._transmit(lambda: self._reach_target(tunnel.host, payload))
            case SendToCaller(payload):
                self._transmit(lambda: self._reach_caller(payload))
            case RefuseOpen(flow, token):
                refusal = TargetPacket.refusal(flow, token)
                self._transmit(lambda: self._reach_caller(refusal))
            case SendToPeer(peer, relay, payload):
                self._to_peer(me, peer, to_event(payload, "", relay))
            case SendControl(peer, message):
                self._to_peer(me, peer, ControlReceived(me, message))
            case SendRecords(peer, records, is_last, former):
                self._to_peer(me, peer, RecordsReceived(me, records, is_last, former))
            case FetchParts(peer):
                self._fetch(me, peer)
            case Notify(notice):
                self.notices[type(notice).__name__] += 1
                reason = getattr(notice, "reason", None)
                if reason is not None:
                    self.notices[f"{type(notice).__name__}.{reason}"] += 1
            case StopNow():
                self.entries.pop(me, None)
                self._leave_fabric(me)
            case _:
                assert_never(effect)

    def _to_peer(self, me: EntryName, peer: EntryName, event: Event) -> None:
        if (me, peer) in self.cuts:
            return
        if isinstance(event, RecordsReceived):
            # Transfers go over a stream transport.
            self._deliver(peer, event)
        else:
            self._transmit(lambda: self._receive(peer, event))

    def _fetch(self, me: EntryName, peer: EntryName) -> None:
        entry = self.entries.get(peer)
        if entry is None or entry.is_frozen or (me, peer) in self.cuts:
            return
        core = entry.core
        self._deliver(me, PartsReceived(peer, core.in_force_parts, core.newest_parts))

    def _reach_target(self, host: str, packet: CallerPacket) -> None:
        target = self.targets.get(host)
        if target is None:
            return
        for delay_ms, reply in target.receive(self.now_ms, packet):
            self.at(delay_ms + LINK_DELAY_MS, lambda reply=reply: self.spray(reply, host))

    def _reach_caller(self, packet: TargetPacket) -> None:
        caller = self._by_flow.get(packet.flow)
        if caller is None or caller.outcome is not None:
            return
        for reply in caller.receive(self.now_ms, packet):
            self.spray(reply)
        self._schedule(caller)
