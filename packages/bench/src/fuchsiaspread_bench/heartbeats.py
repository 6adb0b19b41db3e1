"""Baseline of membership: every entry VM sends a heartbeat to every other one."""

from fuchsiaspread_core.control import ControlMessage, Probe
from fuchsiaspread_core.identifiers import EntryName

from .fleet import DELAY_MS, TICK_MS, Clock, SizeOf, Work, make_member

# With this timeout a killed member is noticed after 2 s at the latest, as with the product.
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 1900


class Heartbeats:
    """Know the members by the time of their last heartbeat."""

    def __init__(self, names: tuple[EntryName, ...], phase_ms: int, message: ControlMessage):
        self._heard_ms = dict.fromkeys(names, 0)
        self._message = message
        self._due_ms = phase_ms
        self.live = set(names)

    def tick(self, now_ms: int) -> list[tuple[EntryName, ControlMessage]]:
        """Return the heartbeats that are due, and drop members that fell silent."""
        if now_ms < self._due_ms:
            return []
        self._due_ms = now_ms + HEARTBEAT_INTERVAL_MS
        return [(name, self._message) for name in self._heard_ms]

    def check(self, now_ms: int) -> None:
        """Bring the live members up to date."""
        oldest_ms = now_ms - HEARTBEAT_TIMEOUT_MS
        self.live = {name for name, heard_ms in self._heard_ms.items() if heard_ms > oldest_ms}

    def hear(self, now_ms: int, sender: EntryName) -> None:
        """Note a heartbeat."""
        self._heard_ms[sender] = now_ms


class HeartbeatFleet:
    """Join the heartbeats of a fleet by the same virtual network and clock as the product."""

    def __init__(self, count: int, seed: int, size_of: SizeOf, message: Probe) -> None:
        self.clock = Clock()
        self._size_of = size_of
        names = tuple(make_member(number).name for number in range(count))
        self.work = {name: Work() for name in names}
        self.stopped: set[EntryName] = set()
        self.nodes: dict[EntryName, Heartbeats] = {}
        for number, name in enumerate(names):
            others = names[:number] + names[number + 1 :]
            phase_ms = (number * 137 + seed * 61) % HEARTBEAT_INTERVAL_MS
            self.nodes[name] = Heartbeats(others, phase_ms, message)
            self._start_ticks(name, (number * 37 + seed * 11) % TICK_MS)

    def _start_ticks(self, name: EntryName, offset_ms: int) -> None:
        self.clock.repeat(offset_ms, TICK_MS, lambda: self._tick(name))

    def _tick(self, name: EntryName) -> None:
        if name in self.stopped:
            return
        node, work = self.nodes[name], self.work[name]
        sent = node.tick(self.clock.now_ms)
        node.check(self.clock.now_ms)
        for peer, message in sent:
            work.messages += 1
            work.bytes += self._size_of(message)
            self._post(name, peer)

    def _post(self, sender: EntryName, receiver: EntryName) -> None:
        self.clock.post(DELAY_MS, lambda: self._hear(sender, receiver))

    def _hear(self, sender: EntryName, receiver: EntryName) -> None:
        if receiver in self.stopped:
            return
        self.nodes[receiver].hear(self.clock.now_ms, sender)
