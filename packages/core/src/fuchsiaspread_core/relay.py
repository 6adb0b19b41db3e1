"""Headers of packets that one entry VM relays to another."""

from dataclasses import dataclass

from .configuration import Revision
from .flow_table import FlowRecord
from .identifiers import Endpoint, EntryName, ServiceName, TargetName, ZoneName

# Enough for the way to the home manager, two rounds of record lookups at former managers, and the
# way back.
MAX_RELAY_HOPS = 8


@dataclass(frozen=True, slots=True)
class ShardKey:
    """Identify a shard: the targets of one service in one availability zone."""

    service: ServiceName
    zone: ZoneName


@dataclass(frozen=True, slots=True)
class FormerTarget:
    """Describe a target that is no longer in the configuration but may have open flows."""

    name: TargetName
    shard: ShardKey
    tunnel: Endpoint


@dataclass(frozen=True, slots=True)
class RelayOpen:
    """Relay an open to the manager of a shard; `tried` lists the zones that had no capacity."""

    shard: ShardKey
    tried: tuple[ZoneName, ...]
    revision: Revision
    hops: int


@dataclass(frozen=True, slots=True)
class RelayUnknown:
    """Relay a packet of a flow without a record to the manager of the flow's home shard."""

    hops: int


@dataclass(frozen=True, slots=True)
class RelayToManager:
    """Relay a caller's reset to the manager of the target's shard."""

    hops: int


@dataclass(frozen=True, slots=True)
class RelayAsk:
    """Look up a flow's record, and pass its packet along, at entry VMs that may hold the record.

    `home` is the home manager, which gets the result. `next_asked` lists the entry VMs to try after
    the receiver: the managers of other shards, then the current and earlier managers and backups of
    the home shard.
    """

    home: EntryName
    next_asked: tuple[EntryName, ...]
    hops: int


@dataclass(frozen=True, slots=True)
class RelayReturn:
    """Return the packet of a lookup to the home manager, with the record if one was found."""

    record: FlowRecord | None
    hops: int


@dataclass(frozen=True, slots=True)
class RelayReply:
    """Relay a target's reply to the manager of the target's shard."""

    target: TargetName
    hops: int


@dataclass(frozen=True, slots=True)
class RelayCopy:
    """Relay a reply and its flow's record through the entry VMs that keep a replica of the record.

    These are the manager and the backup of the target's shard and the home manager. `next_stops`
    lists those still to visit after the receiver; the last one sends the reply to the caller.
    """

    record: FlowRecord
    next_stops: tuple[EntryName, ...]
    hops: int


Relay = RelayOpen | RelayUnknown | RelayToManager | RelayAsk | RelayReturn | RelayReply | RelayCopy
