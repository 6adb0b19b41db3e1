"""Packets that come before routes and targets are known."""

from collections import deque

from .events import FlowPacket, OpenPacket

CallerPacket = FlowPacket | OpenPacket

MAX_BUFFERED_PACKETS = 2_000
# Senders repeat a packet after 200 ms and then after longer pauses; an older one has been repeated.
BUFFERED_LIFETIME_MS = 800
# Sending the first ones must not wait for the decisions on all others.
MAX_RELEASED_AT_ONCE = 16


class StartupBuffer:
    """Keep packets in their order, bounded in number and age."""

    def __init__(self) -> None:
        self._buffered: deque[tuple[int, CallerPacket]] = deque()

    def __len__(self) -> int:
        return len(self._buffered)

    def add(self, now_ms: int, packet: CallerPacket) -> bool:
        """Keep a packet; return False when there is no room for it."""
        if len(self._buffered) >= MAX_BUFFERED_PACKETS:
            return False
        self._buffered.append((now_ms, packet))
        return True

    def pop_batch(self, now_ms: int) -> list[CallerPacket]:
        """Return the next packets that are young enough."""
        taken: list[CallerPacket] = []
        for _ in range(min(MAX_RELEASED_AT_ONCE, len(self._buffered))):
            held_ms, packet = self._buffered.popleft()
            if now_ms - held_ms < BUFFERED_LIFETIME_MS:
                taken.append(packet)
        return taken
