"""Discrete-event simulation of a few entry cores, targets and callers on a virtual clock.

Packets are data classes: the core never reads a payload, so no wire encoding is needed. Each
delivery takes a fixed delay plus an optional random one; links can be cut.
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
# Interval at which entry VMs poll the load endpoints of the targets.
LOAD_INTERVAL_MS = 500
# Time for which the fabric keeps sending packets to an entry VM after its stop was requested.
FABRIC_LAG_MS = 700


@dataclass(slots=True)
class FleetEntry:
    """Hold one simulated entry VM; `backlog` collects its events while it is frozen."""

    member: Member
    core: EntryCore
    is_frozen: bool = False
    backlog: list[Event] = field(default_factory=list)


class Fleet:
    """Simulate entry cores, targets, callers and the network between them."""

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
        self.fabric_entries: list[EntryName] = []
        self.loss_probability = 0.0
        self.duplicate_probability = 0.0
        # Upper bound of the random extra delay of a packet, as between processes of a busy machine.
        self.max_jitter_ms = 0
        # Callback for each message between entry VMs, for measurements.
        self.observe: Callable[[EntryName, SendToPeer | SendControl | SendRecords], None] = (
            lambda sender, effect: None
        )
        self._by_flow: dict[bytes, FleetCaller] = {}
        self._parts: dict[PartName, Part] = {}
        self._compile = compile_parts
        self._random = random.Random(seed)
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_later(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._sequence, action))

    def run(self, duration_ms: int) -> None:
        """Advance the virtual clock and run the actions that are due."""
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

    def add_entry(self, member: Member, is_in_fabric: bool = True) -> None:
        """Start an entry VM and send it the published configuration and the member list."""
        seed = len(self.entries) + 1
        core = EntryCore(member, (), self._compile, seed, self._flow_lifetime_limit_ms)
        self.entries[member.name] = FleetEntry(member, core)
        if is_in_fabric:
            self.fabric_entries.append(member.name)
        for part in self._parts.values():
            self._deliver(member.name, PartPublished(part))
        self.publish_members()
        self._tick(member.name, core)

    def publish_members(self) -> None:
        """Publish the current entry VMs as the member list of the platform."""
        members = tuple(entry.member for entry in self.entries.values())
        for name in self.entries:
            self._deliver(name, MembersPublished(members))

    def kill_entry(self, name: EntryName) -> None:
        """Kill an entry VM; the fabric removes it at once, the member list keeps it."""
        del self.entries[name]
        self._leave_fabric(name)

    def stop_entry(self, name: EntryName) -> None:
        """Request a graceful stop of an entry VM; the fabric removes it after `FABRIC_LAG_MS`."""
        self._deliver(name, StopRequested())
        self.call_later(FABRIC_LAG_MS, lambda: self._leave_fabric(name))

    def _leave_fabric(self, name: EntryName) -> None:
        if name in self.fabric_entries:
            self.fabric_entries.remove(name)

    def freeze_entry(self, name: EntryName) -> None:
        """Pause an entry VM; events for it are queued in its backlog."""
        self.entries[name].is_frozen = True

    def thaw_entry(self, name: EntryName) -> None:
        """Resume a paused entry VM and process its backlog."""
        entry = self.entries[name]
        entry.is_frozen = False
        # As in the daemon, the core handles the late tick before the queued packets.
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
        self._run_caller(caller)

    def _run_caller(self, caller: FleetCaller) -> None:
        if caller.outcome is not None:
            return
        for packet in caller.take_due_packets(self.now_ms):
            self.spray(packet)
        self._schedule(caller)

    def _schedule(self, caller: FleetCaller) -> None:
        if caller.outcome is not None:
            self.outcomes[caller.outcome] += 1
        elif caller.next_ms is not None and caller.scheduled_ms != caller.next_ms:
            caller.scheduled_ms = caller.next_ms
            self.call_later(max(1, caller.next_ms - self.now_ms), lambda: self._run_caller(caller))

    def spray(self, packet: CallerPacket | TargetPacket, source_host: str = "") -> None:
        """Send a packet to a random entry VM, as the fabric does."""
        if self.fabric_entries:
            name = self._random.choice(self.fabric_entries)
            if (source_host, name) not in self.cuts:
                event = to_event(packet, source_host, None)
                self._transmit(lambda: self._receive(name, event))

    def _deliver(self, name: EntryName, event: Event) -> None:
        self.call_later(LINK_DELAY_MS, lambda: self._receive(name, event))

    def _transmit(self, action: Callable[[], None]) -> None:
        """Deliver a packet; drop, duplicate or delay it at random."""
        if self._random.random() < self.loss_probability:
            return
        jitter_ms = self._random.randint(0, self.max_jitter_ms)
        self.call_later(LINK_DELAY_MS + jitter_ms, action)
        if self._random.random() < self.duplicate_probability:
            self.call_later(self._random.randint(LINK_DELAY_MS, DUPLICATE_DELAY_MS), action)

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
        self.call_later(TICK_MS, lambda: self._tick(name, core))

    def _report_loads(self, entry: FleetEntry) -> None:
        for host, target in self.targets.items():
            if not target.is_silent and (entry.member.name, host) not in self.cuts:
                busy = target.busy_slots(self.now_ms)
                self._handle(entry, LoadReported(target.name, busy, False))

    def _handle(self, entry: FleetEntry, event: Event) -> None:
        for effect in entry.core.handle(self.now_ms, event):
            self._apply_effect(entry, effect)

    def _apply_effect(self, entry: FleetEntry, effect: Effect) -> None:
        name = entry.member.name
        if isinstance(effect, SendToPeer | SendControl | SendRecords):
            self.observe(name, effect)
        match effect:
            case SendToTarget(tunnel, payload):
                if (name, tunnel.host) not in self.cuts:
                    self._transmit(lambda: self._deliver_to_target(tunnel.host, payload))
            case SendToCaller(payload):
                self._transmit(lambda: self._deliver_to_caller(payload))
            case RefuseOpen(flow, token):
                refusal = TargetPacket.refusal(flow, token)
                self._transmit(lambda: self._deliver_to_caller(refusal))
            case SendToPeer(peer, relay, payload):
                self._send_to_peer(name, peer, to_event(payload, "", relay))
            case SendControl(peer, message):
                self._send_to_peer(name, peer, ControlReceived(name, message))
            case SendRecords(peer, records, is_last, former_targets):
                self._send_to_peer(
                    name, peer, RecordsReceived(name, records, is_last, former_targets)
                )
            case FetchParts(peer):
                self._fetch_parts(name, peer)
            case Notify(notice):
                self.notices[type(notice).__name__] += 1
                reason = getattr(notice, "reason", None)
                if reason is not None:
                    self.notices[f"{type(notice).__name__}.{reason}"] += 1
            case StopNow():
                self.entries.pop(name, None)
                self._leave_fabric(name)
            case _:
                assert_never(effect)

    def _send_to_peer(self, sender: EntryName, peer: EntryName, event: Event) -> None:
        if (sender, peer) in self.cuts:
            return
        if isinstance(event, RecordsReceived):
            # Record transfers use a reliable stream transport, so they are not lost or reordered.
            self._deliver(peer, event)
        else:
            self._transmit(lambda: self._receive(peer, event))

    def _fetch_parts(self, requester: EntryName, peer: EntryName) -> None:
        entry = self.entries.get(peer)
        if entry is None or entry.is_frozen or (requester, peer) in self.cuts:
            return
        core = entry.core
        self._deliver(requester, PartsReceived(peer, core.in_force_parts, core.newest_parts))

    def _deliver_to_target(self, host: str, packet: CallerPacket) -> None:
        target = self.targets.get(host)
        if target is None:
            return
        for delay_ms, reply in target.receive(self.now_ms, packet):
            self.call_later(delay_ms + LINK_DELAY_MS, lambda reply=reply: self.spray(reply, host))

    def _deliver_to_caller(self, packet: TargetPacket) -> None:
        caller = self._by_flow.get(packet.flow)
        if caller is None or caller.outcome is not None:
            return
        for reply in caller.receive(self.now_ms, packet):
            self.spray(reply)
        self._schedule(caller)
