"""Entry VMs' membership objects in memory, joined by a virtual network and clock."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import assert_never

from fuchsiaspread_core.control import ControlMessage, PeerRevision
from fuchsiaspread_core.effects import Notify, SendControl
from fuchsiaspread_core.events import ControlReceived, MembersPublished, Tick
from fuchsiaspread_core.identifiers import Endpoint, EntryName, ZoneName
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.membership import MembersChanged, Membership, MembershipEffect

TICK_MS = 50
DELAY_MS = 1
ZONE_COUNT = 3


@dataclass(slots=True)
class Traffic:
    """Count what one entry VM sent."""

    messages: int = 0
    bytes: int = 0


@dataclass(slots=True)
class Node:
    """Hold one entry VM's membership and what it reported."""

    membership: Membership
    tick_offset_ms: int
    live: tuple[Member, ...] = ()
    sent: Traffic = field(default_factory=Traffic)
    is_running: bool = True


SizeOf = Callable[[ControlMessage], int]
PeerRevisionHeard = Callable[[int, EntryName, PeerRevision], None]


def make_member(number: int) -> Member:
    """Return the record of the entry VM with a number."""
    host = f"127.1.{number // 250}.{number % 250 + 1}"
    zone = ZoneName(f"zone-{number % ZONE_COUNT}")
    name = EntryName(f"entry-{number:03}")
    return Member(name, zone, Endpoint(host, 6081), Endpoint(host, 6082))


class Fleet:
    """Run the memberships of a fleet on a virtual clock, in the order of event times."""

    def __init__(
        self,
        count: int,
        seed: int,
        size_of: SizeOf | None = None,
        on_peer_revision: PeerRevisionHeard | None = None,
    ) -> None:
        self.now_ms = 0
        self.members = tuple(make_member(number) for number in range(count))
        self.nodes: dict[EntryName, Node] = {}
        self._size_of = size_of
        self._on_peer_revision = on_peer_revision
        self._queue: list[tuple[int, int, EntryName, ControlReceived]] = []
        self._posted = 0
        # Pairs (sender, receiver) whose messages are lost.
        self.cut: Callable[[EntryName, EntryName], bool] = lambda sender, receiver: False
        for number, member in enumerate(self.members):
            membership = Membership(member, (), seed * 1000 + number)
            self.nodes[member.name] = Node(membership, (number * 37 + seed * 11) % TICK_MS)
        for name in self.nodes:
            self.deliver(name, MembersPublished(self.members))

    def deliver(self, name: EntryName, event: MembersPublished | ControlReceived | Tick) -> None:
        """Hand an event to an entry VM now, and carry out what follows."""
        node = self.nodes[name]
        if node.is_running:
            self._carry_out(name, node, node.membership.handle(self.now_ms, event))

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            for name, node in self.nodes.items():
                if (self.now_ms - node.tick_offset_ms) % TICK_MS == 0:
                    self.deliver(name, Tick())
            while self._queue and self._queue[0][0] <= self.now_ms:
                _, _, receiver, event = heapq.heappop(self._queue)
                self.deliver(receiver, event)
            self.now_ms += 1

    def _carry_out(self, name: EntryName, node: Node, effects: list[MembershipEffect]) -> None:
        for effect in effects:
            match effect:
                case SendControl(peer=peer, message=message):
                    self._send(name, node, peer, message)
                case MembersChanged(live=live):
                    node.live = live
                case PeerRevision():
                    if self._on_peer_revision is not None:
                        self._on_peer_revision(self.now_ms, name, effect)
                case Notify():
                    pass
                case _:
                    assert_never(effect)

    def _send(self, name: EntryName, node: Node, peer: EntryName, message: ControlMessage) -> None:
        node.sent.messages += 1
        if self._size_of is not None:
            node.sent.bytes += self._size_of(message)
        if peer in self.nodes and not self.cut(name, peer):
            self._posted += 1
            event = ControlReceived(name, message)
            heapq.heappush(self._queue, (self.now_ms + DELAY_MS, self._posted, peer, event))
