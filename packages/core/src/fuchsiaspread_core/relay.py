"""Headers of packets that one entry VM hands to another."""

from dataclasses import dataclass

from .configuration import Revision
from .flow_table import FlowRecord
from .identifiers import Endpoint, EntryName, ServiceName, TargetName, ZoneName

# Receiver to home manager, two rounds of asking former managers, and the way back.
MAX_RELAY_HOPS = 8


@dataclass(frozen=True, slots=True)
class ShardKey:
    """Name the targets of one service in one availability zone."""

    service: ServiceName
    zone: ZoneName


@dataclass(frozen=True, slots=True)
class FormerTarget:
    """Name a target that is no longer in the configuration but may have open flows."""

    name: TargetName
    shard: ShardKey
    tunnel: Endpoint


@dataclass(frozen=True, slots=True)
class RelayOpen:
    """Hand an open to the manager of a shard; `tried` lists the zones that had no capacity."""

    shard: ShardKey
    tried: tuple[ZoneName, ...]
    revision: Revision
    hops: int


@dataclass(frozen=True, slots=True)
class RelayUnknown:
    """Hand a packet of a flow without a record to the manager of its home shard."""

    hops: int


@dataclass(frozen=True, slots=True)
class RelayToManager:
    """Hand a caller's reset to the manager of the target's shard."""

    hops: int


@dataclass(frozen=True, slots=True)
class RelayAsk:
    """Ask a former manager for a flow's record; `next_asked` lists whom to ask after it."""

    home: EntryName
    next_asked: tuple[EntryName, ...]
    hops: int


@dataclass(frozen=True, slots=True)
class RelayReturn:
    """Return an asked packet to the home manager with the record, or None if nobody has it."""

    record: FlowRecord | None
    hops: int


@dataclass(frozen=True, slots=True)
class RelayReply:
    """Hand a target's reply to the manager of the target's shard."""

    target: TargetName
    hops: int


@dataclass(frozen=True, slots=True)
class RelayCopy:
    """Carry a reply past the holders of copies; the last stop sends it to the caller."""

    record: FlowRecord
    next_stops: tuple[EntryName, ...]
    hops: int


Relay = RelayOpen | RelayUnknown | RelayToManager | RelayAsk | RelayReturn | RelayReply | RelayCopy
