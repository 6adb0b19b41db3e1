"""Detection of pauses of this process, such as a VM that was suspended."""

from .control import ProbeAnswer
from .effects import Notify
from .events import ControlReceived, PartPublished, Tick
from .notices import ViewBecameFresh, ViewBecameStale

# Other members declare a silent entry VM dead no earlier than 750 ms after its last answer (an
# unanswered probe, then the suspicion), so a shorter gap cannot have cost it a shard.
GAP_LIMIT_MS = 500
# If neither a peer nor the platform answers within this time, waiting longer brings no newer view.
STALE_LIMIT_MS = 3000
# Messages that waited in socket buffers during the pause do not confirm the view. A buffer of
# 212 KB holds about 1,000 datagrams, which a daemon that handles 30,000 a second reads in 35 ms.
BACKLOG_MS = 100

WakeupEvent = Tick | ControlReceived | PartPublished


class WakeupGuard:
    """Mark the view as stale after a pause until a peer or the platform has answered."""

    def __init__(self) -> None:
        self._last_event_ms: int | None = None
        self._stale_since_ms: int | None = None

    @property
    def is_stale(self) -> bool:
        """Return whether the view is stale, so that no opens may be decided."""
        return self._stale_since_ms is not None

    def handle(self, now_ms: int, event: WakeupEvent) -> list[Notify]:
        """Handle an event; too long a gap since the previous one makes the view stale."""
        last_ms = now_ms if self._last_event_ms is None else self._last_event_ms
        self._last_event_ms = max(last_ms, now_ms)
        gap_ms = now_ms - last_ms
        if gap_ms > GAP_LIMIT_MS:
            self._stale_since_ms = now_ms
            return [Notify(ViewBecameStale(gap_ms))]
        if self._stale_since_ms is None:
            return []
        waited_ms = now_ms - self._stale_since_ms
        is_confirmed = waited_ms >= BACKLOG_MS and _is_answer(event)
        if not is_confirmed and waited_ms < STALE_LIMIT_MS:
            return []
        self._stale_since_ms = None
        return [Notify(ViewBecameFresh(waited_ms))]


def _is_answer(event: WakeupEvent) -> bool:
    """Return whether an event is an answer to this process; a peer's probe is not a round trip."""
    match event:
        case ControlReceived(message=ProbeAnswer()) | PartPublished():
            return True
        case _:
            return False
