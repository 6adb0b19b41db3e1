"""State shared by the modules of the entry core."""

from collections import deque
from dataclasses import dataclass, field

from ..admission import ShardAdmission
from ..configuration import RequestKind, Target, TargetState
from ..effects import Effect, Notify, SendToTarget
from ..flow_table import COUNTED_PHASES, FlowRecord, FlowTable
from ..identifiers import Endpoint, EntryName, FlowKey, TargetName, ZoneName
from ..notices import DropReason, FlowEnd, FlowEnded, FlowOpened, PacketDropped
from ..relay import FormerTarget, ShardKey
from ..routing import ManagerRanks, RouteTable, ServiceIndex, TargetRoute
from .address_history import AddressHistory
from .expiry import RecordExpiry

# Former managers are looked up in this many earlier tables. By the time a table is dropped, the
# records of its flows have reached later managers.
MAX_FORMER_ROUTES = 6
# Bounds a transfer; the latest former targets are the most likely to have open flows.
MAX_FORMER_TARGETS = 500


@dataclass(slots=True)
class BufferedOpen:
    """Hold an open and its packet until a target has accepted it or it was refused."""

    payload: bytes
    caller_token: int
    shard: ShardKey
    tried: tuple[ZoneName, ...]
    # When the first packet of the open arrived, and when it was last offered to a shard.
    received_ms: int
    offered_ms: int
    # Hops so far. They keep counting when the open spills to another shard, so that spills cannot
    # loop.
    hops: int


@dataclass(slots=True)
class EntryState:
    """Hold flow records, routes and the admission pool of each managed shard.

    Owned by one `EntryCore`.
    """

    local_name: EntryName
    history: AddressHistory
    table: FlowTable = field(default_factory=FlowTable)
    routes: RouteTable = field(
        default_factory=lambda: RouteTable(ServiceIndex(None), ManagerRanks(()))
    )
    former_routes: deque[RouteTable] = field(
        default_factory=lambda: deque(maxlen=MAX_FORMER_ROUTES)
    )
    pools: dict[ShardKey, ShardAdmission] = field(default_factory=dict)
    pending: dict[FlowKey, BufferedOpen] = field(default_factory=dict)
    # When the opens of accepted requests arrived here; never more entries than slots.
    request_starts_ms: dict[FlowKey, int] = field(default_factory=dict)
    # Targets of this and earlier configurations, since a flow can outlive the configuration of its
    # target.
    targets: dict[TargetName, TargetRoute] = field(default_factory=dict)
    tunnels: dict[TargetName, Endpoint] = field(default_factory=dict)
    target_by_host: dict[str, TargetRoute] = field(default_factory=dict)
    # Live and leaving entry VMs; both can answer record lookups.
    reachable: frozenset[EntryName] = frozenset()
    # Whether the process was paused and no peer or platform has answered since.
    is_stale: bool = False
    expiry: RecordExpiry = field(init=False)

    def __post_init__(self) -> None:
        self.expiry = RecordExpiry(self.table)

    def is_manager(self, shard: ShardKey) -> bool:
        """Return whether this entry VM is the manager of a shard."""
        return self.routes.manager(shard) == self.local_name

    def store(self, now_ms: int, record: FlowRecord) -> None:
        """Store a record, and count the flow if this entry VM manages the target's shard."""
        self.table.put(record, now_ms)
        route = self.targets.get(record.target)
        address = self.routes.address(record.flow)
        if route is None or address is None or record.phase not in COUNTED_PHASES:
            return
        pool = self.pools.get(route.shard)
        if pool is not None:
            pool.adopt(now_ms, record, address.kind)

    def note_accept(self, now_ms: int, flow: FlowKey, route: TargetRoute) -> list[Effect]:
        """Record and report that a target accepted a flow that was opened here."""
        pending = self.pending.pop(flow, None)
        address = self.routes.address(flow)
        if pending is None or address is None:
            return []
        if isinstance(address.kind, RequestKind):
            self.request_starts_ms[flow] = pending.received_ms
        waited_ms = now_ms - pending.received_ms
        return [Notify(FlowOpened(route.shard.service, route.target.name, waited_ms))]

    def note_end(
        self, now_ms: int, flow: FlowKey, route: TargetRoute, end: FlowEnd
    ) -> list[Effect]:
        """Report the end of a flow and let its record expire."""
        self.expiry.note_end(now_ms, flow)
        started_ms = self.request_starts_ms.pop(flow, None)
        address = self.routes.address(flow)
        is_in_time = True
        if started_ms is not None and address and isinstance(address.kind, RequestKind):
            is_in_time = now_ms - started_ms <= address.kind.deadline_ms
        return [Notify(FlowEnded(route.shard.service, route.target.name, end, is_in_time, flow))]

    def to_target(self, target: TargetName, payload: bytes) -> list[Effect]:
        """Send a caller's packet to a target."""
        tunnel = self.tunnels.get(target)
        if tunnel is None:
            return drop(DropReason.UNKNOWN_TARGET)
        return [SendToTarget(tunnel, payload)]

    def former_targets(self) -> tuple[FormerTarget, ...]:
        """Return the targets that left the configuration, for entry VMs that do not know them."""
        routes = self.targets.items()
        former = [route for name, route in routes if name not in self.routes.index.targets]
        return tuple(
            FormerTarget(route.target.name, route.shard, route.target.tunnel)
            for route in former[-MAX_FORMER_TARGETS:]
        )

    def add_former_target(self, former: FormerTarget) -> None:
        """Add a former target from another entry VM, unless its name or host is known here."""
        if former.name in self.targets or former.tunnel.host in self.target_by_host:
            return
        state = TargetState.DRAINING
        zone = former.shard.zone
        target = Target(former.name, former.tunnel, zone, 0, state, slots=0, connections=0)
        route = TargetRoute(target, former.shard)
        self.targets[former.name] = route
        self.tunnels[former.name] = former.tunnel
        self.target_by_host[former.tunnel.host] = route

    def add_targets(self, index: ServiceIndex) -> None:
        """Add the targets of a new configuration and replace former targets on the same hosts."""
        for host, route in index.target_by_host.items():
            known = self.target_by_host.get(host)
            if known is not None and known.target.name != route.target.name:
                # Packets of the old target's flows must not reach the new target on its host.
                self.tunnels.pop(known.target.name, None)
                self.targets.pop(known.target.name, None)
            self.target_by_host[host] = route
        for name, route in index.targets.items():
            self.targets[name] = route
            self.tunnels[name] = route.target.tunnel


_DROPS: dict[DropReason, Notify] = {reason: Notify(PacketDropped(reason)) for reason in DropReason}


def drop(reason: DropReason) -> list[Effect]:
    """Drop a packet and count it."""
    return [_DROPS[reason]]
