"""Memberships joined by a virtual network and clock."""

from collections.abc import Callable, Iterable
from typing import assert_never

from fuchsiaspread_core.control import PeerRevision
from fuchsiaspread_core.effects import Notify, SendControl
from fuchsiaspread_core.events import ControlReceived, MembersPublished, StopRequested, Tick
from fuchsiaspread_core.identifiers import Endpoint, EntryName, ZoneName
from fuchsiaspread_core.members import Member, MemberState
from fuchsiaspread_core.membership import MembersChanged, Membership

TICK_MS = 50


def member(number: int, state: MemberState = MemberState.LIVE) -> Member:
    name, host = EntryName(f"entry-{number}"), f"127.0.1.{number}"
    return Member(name, ZoneName("a"), Endpoint(host, 1), Endpoint(host, 2), 0, state)


def name_of(number: int) -> EntryName:
    return member(number).name


class VirtualFleet:
    """A fleet in virtual time, in which control messages arrive within the tick of their sending.

    A round trip takes only a fraction of a tick.
    """

    def __init__(self) -> None:
        self.now_ms = 0
        self.memberships: dict[EntryName, Membership] = {}
        self.live: dict[EntryName, list[EntryName]] = {}
        self.sent: dict[EntryName, list[SendControl]] = {}
        self.notices: dict[EntryName, list] = {}
        self.peer_revisions: list[tuple[EntryName, PeerRevision]] = []
        self.paused: set[EntryName] = set()
        self.is_cut: Callable[[EntryName, EntryName], bool] = lambda sender, receiver: False
        self.observers: dict[EntryName, Callable[[ControlReceived | Tick], object]] = {}
        self._posted: list[tuple[EntryName, ControlReceived]] = []

    def add(
        self, number: int, seeds: Iterable[int] = (), listed_numbers: Iterable[int] = ()
    ) -> None:
        name = name_of(number)
        members = tuple(member(seed) for seed in seeds)
        self.memberships[name] = Membership(member(number), members, number)
        self.live[name], self.sent[name], self.notices[name] = [], [], []
        if listed_numbers:
            self.publish(listed_numbers, to=[number])

    def publish(
        self, numbers: Iterable[int], leaving: Iterable[int] = (), to: Iterable[int] | None = None
    ) -> None:
        """Deliver the platform's member list to all members or to some."""
        listed = [member(number) for number in numbers]
        listed += [member(number, MemberState.LEAVING) for number in leaving]
        receivers = self.memberships if to is None else [name_of(number) for number in to]
        for name in list(receivers):
            self.deliver(name, MembersPublished(tuple(listed)))

    def deliver(
        self, name: EntryName, event: MembersPublished | ControlReceived | StopRequested | Tick
    ) -> None:
        if name in self.observers and isinstance(event, ControlReceived | Tick):
            self.observers[name](event)
        for effect in self.memberships[name].handle(self.now_ms, event):
            match effect:
                case SendControl(peer=peer, message=message):
                    self.sent[name].append(effect)
                    if not self.is_cut(name, peer):
                        self._posted.append((peer, ControlReceived(name, message)))
                case MembersChanged(live=live):
                    self.live[name] = [one.name for one in live]
                case PeerRevision():
                    self.peer_revisions.append((name, effect))
                case Notify(notice=notice):
                    self.notices[name].append(notice)
                case _:
                    assert_never(effect)

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // TICK_MS):
            self.now_ms += TICK_MS
            for name in self.memberships:
                if name not in self.paused:
                    self.deliver(name, Tick())
            self._deliver_posted()

    def _deliver_posted(self) -> None:
        while self._posted:
            posted, self._posted = self._posted, []
            for peer, event in posted:
                if peer in self.memberships and peer not in self.paused:
                    self.deliver(peer, event)

    def views(self, *numbers: int) -> list[list[str]]:
        """Return the live members as some members, or all, see them."""
        names = [name_of(number) for number in numbers] or list(self.memberships)
        return [self.live[name] for name in names]


def fleet_of(count: int) -> VirtualFleet:
    """Return a fleet whose members have the platform's list and have exchanged messages."""
    fleet = VirtualFleet()
    for number in range(1, count + 1):
        fleet.add(number, listed_numbers=range(1, count + 1))
    fleet.run(3000)
    return fleet
