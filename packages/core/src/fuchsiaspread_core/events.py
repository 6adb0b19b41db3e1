"""Events that the entry core handles.

The payload of a packet event is opaque to the core and is forwarded unchanged.
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
    """Report a caller's packet on an open flow; `ack_number` is TCP's acknowledgment number."""

    flow: FlowKey
    ack_number: int
    payload: bytes
    relay: Relay | None = None


@dataclass(frozen=True, slots=True)
class CallerReset:
    """Report that a caller reset a flow (RST)."""

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
    """Report that a target closed its side of a flow (FIN)."""

    flow: FlowKey
    source_host: str
    payload: bytes
    relay: Relay | None = None


@dataclass(frozen=True, slots=True)
class TargetReset:
    """Report that a target reset a flow (RST); `sequence` is the reset's sequence number."""

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
    """Report a part of the configuration that was read from the platform."""

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
    """Report the load that a target's own endpoint states; it is used only as a hint."""

    target: TargetName
    busy_slots: int
    is_shedding: bool


@dataclass(frozen=True, slots=True)
class RecordsReceived:
    """Report flow records from a former manager; `is_last` marks the end of the transfer."""

    sender: EntryName
    records: tuple[FlowRecord, ...]
    is_last: bool
    former_targets: tuple[FormerTarget, ...] = ()


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Request a graceful stop."""


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
