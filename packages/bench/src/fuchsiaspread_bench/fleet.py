"""In-memory fleet of memberships of entry VMs, on a virtual network and clock."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import assert_never

from fuchsiaspread_core.control import ControlMessage, PeerRevision
from fuchsiaspread_core.effects import Notify, SendControl
from fuchsiaspread_core.events import ControlReceived, MembersPublished, Tick
from fuchsiaspread_core.identifiers import Endpoint, EntryName, ZoneName
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.membership import (
    MembersChanged,
    Membership,
    MembershipEffect,
    MembershipEvent,
)

TICK_MS = 50
DELAY_MS = 1
ZONE_COUNT = 3

SizeOf = Callable[[ControlMessage], int]
PeerRevisionCallback = Callable[[EntryName, PeerRevision], None]


class Clock:
    """Virtual clock that runs actions in order of time; ties run in the order of posting."""

    def __init__(self) -> None:
        self.now_ms = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._posted = 0

    def post(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._posted += 1
        heapq.heappush(self._due, (self.now_ms + delay_ms, self._posted, action))

    def repeat(self, delay_ms: int, interval_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay and then at every interval."""

        def run() -> None:
            self.post(interval_ms, run)
            action()

        self.post(delay_ms, run)

    def run(self, duration_ms: int) -> None:
        """Advance the time and run all actions that are due."""
        until_ms = self.now_ms + duration_ms
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._due)
            action()
        self.now_ms = until_ms


@dataclass(slots=True)
class SentTraffic:
    """Number and bytes of the messages that one entry VM sent."""

    messages: int = 0
    bytes: int = 0


@dataclass(slots=True)
class Node:
    """One entry VM: its membership, its view of the live members and its sent traffic."""

    membership: Membership
    live: tuple[Member, ...] = ()
    traffic: SentTraffic = field(default_factory=SentTraffic)
    is_running: bool = True


def make_member(number: int) -> Member:
    """Return the member record of a numbered entry VM."""
    host = f"127.1.{number // 250}.{number % 250 + 1}"
    zone = ZoneName(f"zone-{number % ZONE_COUNT}")
    name = EntryName(f"entry-{number:03}")
    return Member(name, zone, Endpoint(host, 6081), Endpoint(host, 6082))


def _ignore_peer_revision(name: EntryName, peer_revision: PeerRevision) -> None:
    pass


class Fleet:
    """Memberships of a fleet on a virtual network; `is_lost` decides which messages are lost."""

    def __init__(
        self,
        count: int,
        seed: int,
        size_of: SizeOf,
        on_peer_revision: PeerRevisionCallback = _ignore_peer_revision,
    ) -> None:
        self.clock = Clock()
        self.is_lost: Callable[[EntryName, EntryName], bool] = lambda sender, receiver: False
        self._size_of = size_of
        self._on_peer_revision = on_peer_revision
        self.members = tuple(make_member(number) for number in range(count))
        self.nodes: dict[EntryName, Node] = {}
        for number, member in enumerate(self.members):
            self.nodes[member.name] = Node(Membership(member, (), seed * 1000 + number))
            self._start_ticks(member.name, (number * 37 + seed * 11) % TICK_MS)
        for name in self.nodes:
            self.deliver(name, MembersPublished(self.members))

    def deliver(self, name: EntryName, event: MembershipEvent) -> None:
        """Let an entry VM handle an event now, and execute the effects."""
        node = self.nodes[name]
        if not node.is_running:
            return
        effects = node.membership.handle(self.clock.now_ms, event)
        for effect in effects:
            self._execute(name, node, effect)

    def _start_ticks(self, name: EntryName, offset_ms: int) -> None:
        self.clock.repeat(offset_ms, TICK_MS, lambda: self.deliver(name, Tick()))

    def _execute(self, name: EntryName, node: Node, effect: MembershipEffect) -> None:
        match effect:
            case SendControl(peer=peer, message=message):
                node.traffic.messages += 1
                node.traffic.bytes += self._size_of(message)
                if peer in self.nodes and not self.is_lost(name, peer):
                    received = ControlReceived(name, message)
                    self.clock.post(DELAY_MS, lambda: self.deliver(peer, received))
            case MembersChanged(live=live):
                node.live = live
            case PeerRevision():
                self._on_peer_revision(name, effect)
            case Notify():
                pass
            case _:
                assert_never(effect)
