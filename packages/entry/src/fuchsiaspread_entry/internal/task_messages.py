"""Messages that the tasks of the daemon pass to each other."""

from asyncio import Future
from collections.abc import Sequence
from dataclasses import dataclass

from fuchsiaspread_core.effects import FetchParts, SendControl, SendRecords, SendToPeer
from fuchsiaspread_core.events import Event, PacketEvent
from fuchsiaspread_core.identifiers import Endpoint, EntryName, FlowKey, TargetName
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.parts import Part

from .authentication import Keyring
from .counts import Counts


@dataclass(frozen=True, slots=True)
class PacketsReceived:
    """Hand a batch of packet events to the core task."""

    events: Sequence[PacketEvent]


@dataclass(frozen=True, slots=True)
class EventsReceived:
    """Hand a batch of other events to the core task."""

    events: Sequence[Event]


@dataclass(frozen=True, slots=True)
class TickDue:
    """Tell the core task that its timer has expired."""


@dataclass(frozen=True, slots=True)
class PartsAsked:
    """Ask the core task for the parts in force and the newest parts."""

    reply: Future[tuple[tuple[Part, ...], tuple[Part, ...]]]


@dataclass(frozen=True, slots=True)
class StatusAsked:
    """Ask the core task for the body of the status report."""

    reply: Future[dict[str, object]]


@dataclass(frozen=True, slots=True)
class ReadinessAsked:
    """Ask the core task whether a configuration is in force and the view is fresh."""

    reply: Future[bool]


@dataclass(frozen=True, slots=True)
class BurnAsked:
    """Ask the core task for the counters of the burn report."""

    reply: Future[dict[str, object]]


@dataclass(frozen=True, slots=True)
class FlowAsked:
    """Ask the core task how it treats a flow."""

    flow: FlowKey
    reply: Future[dict[str, object] | None]


@dataclass(frozen=True, slots=True)
class TargetAsked:
    """Ask the core task how it treats a target."""

    target: TargetName
    reply: Future[dict[str, object] | None]


class QuestionFailed(Exception):
    """Tell the asker that the core task could not answer; the log has the cause."""


CoreQuestion = PartsAsked | StatusAsked | ReadinessAsked | BurnAsked | FlowAsked | TargetAsked
CoreMessage = PacketsReceived | EventsReceived | TickDue | CoreQuestion


@dataclass(frozen=True, slots=True)
class PacketsReady:
    """Hand datagrams with their destinations to the fabric task."""

    datagrams: Sequence[tuple[bytes, Endpoint]]


@dataclass(frozen=True, slots=True)
class ServiceHostsChanged:
    """Tell the fabric task which packed hosts belong to services."""

    hosts: frozenset[bytes]


FabricMessage = PacketsReady | ServiceHostsChanged


@dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """Tell the addresses of the known entry VMs."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class KeysChanged:
    """Tell the keys that prove messages between entry VMs."""

    keyring: Keyring


@dataclass(frozen=True, slots=True)
class PeerSends:
    """Hand relays and control messages to the peer task."""

    sends: Sequence[SendToPeer | SendControl]


@dataclass(frozen=True, slots=True)
class BootHeard:
    """Tell the boot number that another entry VM has proven."""

    peer: EntryName
    boot: int


@dataclass(frozen=True, slots=True)
class TransfersAwaited:
    """Ask the peer service task to tell when no transfer of records is running."""

    reply: Future[None]


PeerTaskMessage = PeerSends | DirectoryChanged | KeysChanged
PeerServiceMessage = (
    FetchParts | SendRecords | TransfersAwaited | BootHeard | DirectoryChanged | KeysChanged
)


@dataclass(frozen=True, slots=True)
class LoadEndpointsChanged:
    """Tell the load task which targets this entry VM manages."""

    endpoints: tuple[tuple[TargetName, Endpoint], ...]


@dataclass(frozen=True, slots=True)
class RefreshAsked:
    """Ask the platform task to read all keys now, without waiting for a change."""


@dataclass(frozen=True, slots=True)
class CountsReported:
    """Hand counts since the last report to the admin task."""

    counts: Counts


@dataclass(frozen=True, slots=True)
class PlatformReached:
    """Tell the admin task whether the platform answers."""

    is_reachable: bool


AdminMessage = CountsReported | PlatformReached
