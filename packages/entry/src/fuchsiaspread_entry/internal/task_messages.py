"""Messages that the tasks of the daemon send to each other."""

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
    """Send a batch of packet events to the core task."""

    events: Sequence[PacketEvent]


@dataclass(frozen=True, slots=True)
class EventsReceived:
    """Send a batch of other events to the core task."""

    events: Sequence[Event]


@dataclass(frozen=True, slots=True)
class TickDue:
    """Notify the core task that its timer has expired."""


@dataclass(frozen=True, slots=True)
class PartsAsked:
    """Request the parts in force and the newest parts from the core task."""

    reply: Future[tuple[tuple[Part, ...], tuple[Part, ...]]]


@dataclass(frozen=True, slots=True)
class StatusAsked:
    """Request the body of the status report from the core task."""

    reply: Future[dict[str, object]]


@dataclass(frozen=True, slots=True)
class ReadinessAsked:
    """Query whether a configuration is in force and the view is fresh."""

    reply: Future[bool]


@dataclass(frozen=True, slots=True)
class BurnAsked:
    """Request the counters of the error budget (burn) report from the core task."""

    reply: Future[dict[str, object]]


@dataclass(frozen=True, slots=True)
class FlowAsked:
    """Request an explanation from the core task of how it treats a flow."""

    flow: FlowKey
    reply: Future[dict[str, object] | None]


@dataclass(frozen=True, slots=True)
class TargetAsked:
    """Request an explanation from the core task of how it treats a target."""

    target: TargetName
    reply: Future[dict[str, object] | None]


class QuestionFailed(Exception):
    """Raised in the requesting task when the core task failed to answer; the log has the cause."""


CoreQuestion = PartsAsked | StatusAsked | ReadinessAsked | BurnAsked | FlowAsked | TargetAsked
CoreMessage = PacketsReceived | EventsReceived | TickDue | CoreQuestion


@dataclass(frozen=True, slots=True)
class PacketsReady:
    """Send datagrams with their destinations to the fabric task."""

    datagrams: Sequence[tuple[bytes, Endpoint]]


@dataclass(frozen=True, slots=True)
class ServiceHostsChanged:
    """Send the packed IPv4 addresses of all services to the fabric task."""

    hosts: frozenset[bytes]


FabricMessage = PacketsReady | ServiceHostsChanged


@dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """Send the addresses of the known entry VMs to the tasks that call them."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class KeysChanged:
    """Send new keys to the tasks that authenticate messages between entry VMs."""

    keyring: Keyring


@dataclass(frozen=True, slots=True)
class PeerSends:
    """Send relayed packets and control messages to the peer task."""

    sends: Sequence[SendToPeer | SendControl]


@dataclass(frozen=True, slots=True)
class BootHeard:
    """Report the authenticated boot number of another entry VM."""

    peer: EntryName
    boot: int


@dataclass(frozen=True, slots=True)
class TransfersAwaited:
    """Request a reply from the peer service task once no transfer of records is running."""

    reply: Future[None]


PeerTaskMessage = PeerSends | DirectoryChanged | KeysChanged
PeerServiceMessage = (
    FetchParts | SendRecords | TransfersAwaited | BootHeard | DirectoryChanged | KeysChanged
)


@dataclass(frozen=True, slots=True)
class LoadEndpointsChanged:
    """Send the load endpoints of the targets that this entry VM manages to the load task."""

    endpoints: tuple[tuple[TargetName, Endpoint], ...]


@dataclass(frozen=True, slots=True)
class RefreshAsked:
    """Request that the platform task read all keys now, without waiting for a change."""


@dataclass(frozen=True, slots=True)
class CountsReported:
    """Send the counts since the last report to the admin task."""

    counts: Counts


@dataclass(frozen=True, slots=True)
class PlatformReached:
    """Notify the admin task whether the platform responds."""

    is_reachable: bool


AdminMessage = CountsReported | PlatformReached
