"""Routes from service addresses to shards, targets and managers.

The manager of a shard is the entry VM that decides the opens for its targets. Its backup keeps
replicas of the flow records and becomes the manager if the manager is lost.
"""

from dataclasses import dataclass

from .configuration import (
    AddressKind,
    Configuration,
    Revision,
    Service,
    Target,
    TargetState,
)
from .identifiers import (
    AddressKey,
    EntryName,
    FlowKey,
    ServiceName,
    TargetName,
    ZoneName,
    address_key,
    address_of,
)
from .members import Member
from .relay import ShardKey
from .rendezvous import rank, rank_weighted

# Only the first two ranks are used, for the manager and the backup.
RANKS_KEPT = 2
# Each packet of a flow that has no record here needs the flow's home manager. Without the cache,
# computing the shard order took a third of the time to relay a packet. 65,536 entries take about
# 8 MB.
MAX_CACHED_HOMES = 65_536


@dataclass(frozen=True, slots=True)
class AddressRoute:
    """Hold the service behind an address and the kind of its flows."""

    service: ServiceName
    kind: AddressKind


@dataclass(frozen=True, slots=True)
class TargetRoute:
    """Hold a target and the shard that it belongs to."""

    target: Target
    shard: ShardKey


class ServiceIndex:
    """Index one configuration by address, target and shard."""

    def __init__(self, configuration: Configuration | None) -> None:
        self.revision = configuration.revision if configuration else Revision(0, 0)
        self.addresses: dict[AddressKey, AddressRoute] = {}
        self.targets: dict[TargetName, TargetRoute] = {}
        self.target_by_host: dict[str, TargetRoute] = {}
        self.shards: dict[ShardKey, tuple[Target, ...]] = {}
        self.zone_weights: dict[ServiceName, dict[ZoneName, int]] = {}
        for service in configuration.services if configuration else ():
            self._add(service)

    def _add(self, service: Service) -> None:
        for address in service.addresses:
            route = AddressRoute(service.name, address.kind)
            self.addresses[address_key(address.endpoint)] = route
        weights = self.zone_weights.setdefault(service.name, {})
        for target in service.targets:
            shard = ShardKey(service.name, target.zone)
            route = TargetRoute(target, shard)
            self.targets[target.name] = route
            self.target_by_host[target.tunnel.host] = route
            self.shards[shard] = (*self.shards.get(shard, ()), target)
            active = target.weight if target.state is TargetState.ACTIVE else 0
            weights[target.zone] = weights.get(target.zone, 0) + active


class ManagerRanks:
    """Rank the live entry VMs for each shard; ranks are computed on first use."""

    def __init__(self, members: tuple[Member, ...]) -> None:
        self._zones = {member.name: member.zone for member in members}
        self._by_zone: dict[ZoneName, list[EntryName]] = {}
        for name, zone in self._zones.items():
            self._by_zone.setdefault(zone, []).append(name)
        self._ranks: dict[ShardKey, tuple[EntryName, ...]] = {}

    def ranks(self, shard: ShardKey) -> tuple[EntryName, ...]:
        """Return the manager and the backup of a shard, or fewer if too few are live."""
        ranks = self._ranks.get(shard)
        if ranks is None:
            ranks = self._ranks[shard] = self._rank(shard)
        return ranks

    def with_members(self, members: tuple[Member, ...]) -> "ManagerRanks":
        """Return the ranks for a new member list, reusing those that cannot have changed.

        Ranking every shard again costs the number of shards times the members of a zone, and in
        a large fleet some member changes every few minutes.
        """
        changed = ManagerRanks(members)
        added = {name for name in changed._zones if self._zones.get(name) != changed._zones[name]}
        for shard, ranks in self._ranks.items():
            if all(changed._zones.get(name) == shard.zone for name in ranks):
                changed._reuse_ranks(shard, ranks, added)
        return changed

    def _reuse_ranks(
        self, shard: ShardKey, ranks: tuple[EntryName, ...], added: set[EntryName]
    ) -> None:
        if len(ranks) < RANKS_KEPT or not added.isdisjoint(ranks):
            return
        candidates = [name for name in added if self._zones[name] == shard.zone]
        if candidates:
            ranks = tuple(rank(_key_of(shard), (*ranks, *candidates))[:RANKS_KEPT])
        self._ranks[shard] = ranks

    def _rank(self, shard: ShardKey) -> tuple[EntryName, ...]:
        key = _key_of(shard)
        ranked = rank(key, self._by_zone.get(shard.zone, ()))
        if len(ranked) < RANKS_KEPT:
            # A shard whose zone has a single entry VM gets its backup from another zone, so that
            # losing that entry VM does not lose the flow records of the shard.
            ranked += [name for name in rank(key, self._zones) if name not in ranked]
        return tuple(ranked[:RANKS_KEPT])


def _key_of(shard: ShardKey) -> bytes:
    return f"{shard.service}/{shard.zone}".encode()


class RouteTable:
    """Combine a configuration's index with the ranks of the live entry VMs."""

    def __init__(self, index: ServiceIndex, ranks: ManagerRanks) -> None:
        self.index = index
        self._ranks = ranks
        self._homes: dict[FlowKey, EntryName] = {}

    @property
    def revision(self) -> Revision:
        """Return the revision of the configuration."""
        return self.index.revision

    def address(self, flow: FlowKey) -> AddressRoute | None:
        """Return the route of the address that a flow was opened to, or None if it is unknown."""
        return self.index.addresses.get(address_of(flow))

    def shard_order(self, flow: FlowKey, service: ServiceName) -> list[ShardKey]:
        """Return the service's shards in the order in which a flow tries them, home shard first."""
        weights = self.index.zone_weights.get(service, {})
        return [ShardKey(service, zone) for zone in rank_weighted(flow, weights)]

    def ranks(self, shard: ShardKey) -> tuple[EntryName, ...]:
        """Return the manager and the backup of a shard."""
        return self._ranks.ranks(shard)

    def manager(self, shard: ShardKey) -> EntryName | None:
        """Return the manager of a shard, or None if no entry VM is live."""
        ranks = self._ranks.ranks(shard)
        return ranks[0] if ranks else None

    def home_manager(self, flow: FlowKey) -> EntryName | None:
        """Return the manager of a flow's home shard, or None if there is none."""
        cached = self._homes.get(flow)
        if cached is not None:
            return cached
        route = self.address(flow)
        order = self.shard_order(flow, route.service) if route is not None else []
        home = self.manager(order[0]) if order else None
        if home is not None:
            if len(self._homes) >= MAX_CACHED_HOMES:
                self._homes.clear()
            self._homes[flow] = home
        return home

    def drop_cache(self) -> None:
        """Free the cache of home managers; for a former table that is kept only for its ranks."""
        self._homes.clear()
