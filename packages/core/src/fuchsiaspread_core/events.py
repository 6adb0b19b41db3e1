"""Events that the entry core takes.

The payload of a packet event is opaque to the core: it is handed on as it came.
"""

from dataclasses import dataclass

from .control import ControlMessage
from .flow_table import FlowRecord
from .identifiers import EntryName, FlowKey, TargetName
from .members import Member
from .parts import Part
from .relay import FormerTarget, Relay


@dataclass(frozen=True, slots=True)
class CallerOpen:
    """Report a caller's packet that opens a flow (SYN)."""

    flow: FlowKey
    caller_token: int
    payload: bytes
    relay: Relay | None = None


@dataclass(frozen=True, slots=True)
class CallerData:
    """Report a caller's packet on an open flow; `ack_number` is the next byte it expects."""

    flow: FlowKey
    ack_number: int
    payload: bytes
    relay: Relay | None = None


@dataclass(frozen=True, slots=True)
class CallerReset:
    """Report that a caller gave up a flow."""

    flow: FlowKey
    payload: bytes
    relay: Relay | None = None


@dataclass(frozen=True, slots=True)
class TargetAccept:
    """Report a target's answer to an open (SYN-ACK)."""

    flow: FlowKey
    target_token: int
    ack_number: int
    source_host: str
    payload: bytes
    relay: Relay | None = None


@dataclass(frozen=True, slots=True)
class TargetData:
    """Report a target's packet on an open flow."""

    flow: FlowKey
    source_host: str
    payload: bytes
    relay: Relay | None = None


@dataclass(frozen=True, slots=True)
class TargetClose:
    """Report that a target ended its side of a flow (FIN)."""

    flow: FlowKey
    source_host: str
    payload: bytes
    relay: Relay | None = None


@dataclass(frozen=True, slots=True)
class TargetReset:
    """Report that a target reset a flow; `sequence` is the position that the reset states."""

    flow: FlowKey
    sequence: int
    source_host: str
    payload: bytes
    relay: Relay | None = None


@dataclass(frozen=True, slots=True)
class ControlReceived:
    """Report an authenticated control message of another entry VM."""

    sender: EntryName
    message: ControlMessage


@dataclass(frozen=True, slots=True)
class PartPublished:
    """Report a part of the configuration that the platform answered with."""

    part: Part


@dataclass(frozen=True, slots=True)
class PartsReceived:
    """Report the parts that a peer has in force and the newest parts that it has seen."""

    sender: EntryName
    in_force: tuple[Part, ...]
    newest: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class MembersPublished:
    """Report the platform's list of entry VMs, which may lag."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Report what a target's own load endpoint says; a hint only."""

    target: TargetName
    busy_slots: int
    is_shedding: bool


@dataclass(frozen=True, slots=True)
class RecordsReceived:
    """Report flow records that a former manager handed over; `is_last` ends the transfer."""

    sender: EntryName
    records: tuple[FlowRecord, ...]
    is_last: bool
    former_targets: tuple[FormerTarget, ...] = ()


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Ask for a graceful stop."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Report that time has passed."""


CallerEvent = CallerOpen | CallerData | CallerReset
TargetEvent = TargetAccept | TargetData | TargetClose | TargetReset
PacketEvent = CallerEvent | TargetEvent
Event = (
    PacketEvent
    | ControlReceived
    | PartPublished
    | PartsReceived
    | MembersPublished
    | LoadReported
    | RecordsReceived
    | StopRequested
    | Tick
)
