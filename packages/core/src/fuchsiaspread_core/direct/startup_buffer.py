"""Buffer for packets that arrive before routes and targets are known."""

from collections import deque

from .events import FlowPacket, OpenPacket

CallerPacket = FlowPacket | OpenPacket

MAX_BUFFERED_PACKETS = 2_000
# Senders retransmit after 200 ms and then at growing intervals; a packet older than this has been
# retransmitted already.
BUFFERED_LIFETIME_MS = 800
# Packets are released in small batches, so that the first ones are sent before all are handled.
MAX_RELEASED_AT_ONCE = 16


class StartupBuffer:
    """First-in, first-out buffer, bounded in the number and age of its packets."""

    def __init__(self) -> None:
        self._buffered: deque[tuple[int, CallerPacket]] = deque()

    def __len__(self) -> int:
        return len(self._buffered)

    def add(self, now_ms: int, packet: CallerPacket) -> bool:
        """Add a packet; return False when the buffer is full."""
        if len(self._buffered) >= MAX_BUFFERED_PACKETS:
            return False
        self._buffered.append((now_ms, packet))
        return True

    def pop_batch(self, now_ms: int) -> list[CallerPacket]:
        """Remove the next batch and return those of its packets that have not expired."""
        taken: list[CallerPacket] = []
        for _ in range(min(MAX_RELEASED_AT_ONCE, len(self._buffered))):
            buffered_ms, packet = self._buffered.popleft()
            if now_ms - buffered_ms < BUFFERED_LIFETIME_MS:
                taken.append(packet)
        return taken
