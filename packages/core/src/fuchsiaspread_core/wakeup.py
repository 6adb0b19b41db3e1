"""Detection of a pause of the own process."""

from .control import ProbeAnswer
from .effects import Notify
from .events import ControlReceived, PartPublished, Tick
from .notices import ViewBecameFresh, ViewBecameStale

# The other members can count a silent entry VM as dead 750 ms after its last answer at the
# earliest (probe without an answer, then suspicion), so a shorter gap costs no ownership.
GAP_LIMIT_MS = 500
# With neither a peer nor the platform in reach, waiting longer brings no newer view.
STALE_LIMIT_MS = 3000
# What the socket buffers kept during the pause proves nothing. A buffer of 212 KB holds about 1,000
# datagrams, which a daemon that handles 30,000 a second has read after 35 ms.
BACKLOG_MS = 100

WakeupEvent = Tick | ControlReceived | PartPublished


class WakeupGuard:
    """Withhold opens after a pause until a peer or the platform has answered."""

    def __init__(self) -> None:
        self._last_event_ms: int | None = None
        self._stale_since_ms: int | None = None

    @property
    def is_stale(self) -> bool:
        """Return whether opens are withheld."""
        return self._stale_since_ms is not None

    def handle(self, now_ms: int, event: WakeupEvent) -> list[Notify]:
        """Take an event at its time; a gap before it makes the view stale."""
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
    """Return whether an event answers this process; a peer's own probe proves no round trip."""
    match event:
        case ControlReceived(message=ProbeAnswer()) | PartPublished():
            return True
        case _:
            return False
