"""Effects that the entry core returns for the daemon around it to carry out."""

from dataclasses import dataclass

from .control import ControlMessage
from .flow_table import FlowRecord
from .identifiers import Endpoint, EntryName, FlowKey
from .notices import Notice
from .relay import FormerTarget, Relay


@dataclass(frozen=True, slots=True)
class SendToTarget:
    """Send a caller's packet to a target's tunnel endpoint."""

    tunnel: Endpoint
    payload: bytes


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send a target's packet to its caller through the fabric."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Forward a packet to another entry VM."""

    peer: EntryName
    relay: Relay
    payload: bytes


@dataclass(frozen=True, slots=True)
class RefuseOpen:
    """Refuse an open, which tells the caller that the work was not run."""

    flow: FlowKey
    caller_token: int


@dataclass(frozen=True, slots=True)
class SendControl:
    """Send a control message to another entry VM."""

    peer: EntryName
    message: ControlMessage


@dataclass(frozen=True, slots=True)
class FetchParts:
    """Fetch the configuration parts of another entry VM, which arrive as `PartsReceived`."""

    peer: EntryName


@dataclass(frozen=True, slots=True)
class SendRecords:
    """Send flow records to another entry VM; `is_last` marks the end of the transfer."""

    peer: EntryName
    records: tuple[FlowRecord, ...]
    is_last: bool
    former_targets: tuple[FormerTarget, ...] = ()


@dataclass(frozen=True, slots=True)
class Notify:
    """Pass a notice to logs and counters."""

    notice: Notice


@dataclass(frozen=True, slots=True)
class StopNow:
    """Signal that the graceful stop is complete and the process may exit."""


Effect = (
    SendToTarget
    | SendToCaller
    | SendToPeer
    | RefuseOpen
    | SendControl
    | FetchParts
    | SendRecords
    | Notify
    | StopNow
)
