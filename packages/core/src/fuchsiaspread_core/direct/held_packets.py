"""Packets that come before routes and targets are known."""

from collections import deque

from .events import FlowPacket, OpenPacket

CallerPacket = FlowPacket | OpenPacket

HELD_LIMIT = 2_000
# Senders repeat a packet after 200 ms and then after longer pauses; an older one has been repeated.
HELD_LIFETIME_MS = 800
# Sending the first ones must not wait for the decisions on all others.
RELEASED_AT_ONCE = 16


class HeldPackets:
    """Keep packets in their order, bounded in number and age."""

    def __init__(self) -> None:
        self._held: deque[tuple[int, CallerPacket]] = deque()

    def __len__(self) -> int:
        return len(self._held)

    def add(self, now_ms: int, packet: CallerPacket) -> bool:
        """Keep a packet; return False when there is no room for it."""
        if len(self._held) >= HELD_LIMIT:
            return False
        self._held.append((now_ms, packet))
        return True

    def take(self, now_ms: int) -> list[CallerPacket]:
        """Return the next packets that are young enough."""
        taken: list[CallerPacket] = []
        for _ in range(min(RELEASED_AT_ONCE, len(self._held))):
            held_ms, packet = self._held.popleft()
            if now_ms - held_ms < HELD_LIFETIME_MS:
                taken.append(packet)
        return taken
