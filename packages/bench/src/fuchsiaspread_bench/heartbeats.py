"""Baseline for membership: every entry VM sends heartbeats to every other one."""

from fuchsiaspread_core.control import ControlMessage, Probe
from fuchsiaspread_core.identifiers import EntryName

from .fleet import DELAY_MS, TICK_MS, Clock, SentTraffic, SizeOf, make_member

# With this timeout a killed member is detected within 2 s, as with the product.
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 1900


class Heartbeats:
    """Tracks the live members by the times of their last heartbeats."""

    def __init__(self, names: tuple[EntryName, ...], phase_ms: int, message: ControlMessage):
        self._last_received_ms = dict.fromkeys(names, 0)
        self._message = message
        self._due_ms = phase_ms
        self.live = set(names)

    def tick(self, now_ms: int) -> list[tuple[EntryName, ControlMessage]]:
        """Return the heartbeats that are due."""
        if now_ms < self._due_ms:
            return []
        self._due_ms = now_ms + HEARTBEAT_INTERVAL_MS
        return [(name, self._message) for name in self._last_received_ms]

    def check(self, now_ms: int) -> None:
        """Update the live members: drop those whose last heartbeat is too old."""
        oldest_ms = now_ms - HEARTBEAT_TIMEOUT_MS
        self.live = {
            name for name, received_ms in self._last_received_ms.items() if received_ms > oldest_ms
        }

    def receive(self, now_ms: int, sender: EntryName) -> None:
        """Record a heartbeat from a member."""
        self._last_received_ms[sender] = now_ms


class HeartbeatFleet:
    """Fleet with all-to-all heartbeats, on the same virtual network and clock as the product."""

    def __init__(self, count: int, seed: int, size_of: SizeOf, message: Probe) -> None:
        self.clock = Clock()
        self._size_of = size_of
        names = tuple(make_member(number).name for number in range(count))
        self.traffic = {name: SentTraffic() for name in names}
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
        node, traffic = self.nodes[name], self.traffic[name]
        sent = node.tick(self.clock.now_ms)
        node.check(self.clock.now_ms)
        for peer, message in sent:
            traffic.messages += 1
            traffic.bytes += self._size_of(message)
            self._post(name, peer)

    def _post(self, sender: EntryName, receiver: EntryName) -> None:
        self.clock.post(DELAY_MS, lambda: self._receive(sender, receiver))

    def _receive(self, sender: EntryName, receiver: EntryName) -> None:
        if receiver in self.stopped:
            return
        self.nodes[receiver].receive(self.clock.now_ms, sender)
