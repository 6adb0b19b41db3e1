"""Choice of the peer to fetch configuration parts from."""

from collections.abc import Callable
from dataclasses import dataclass

from ..control import PeerRevision
from ..identifiers import EntryName

# Ten times the slowest answer expected between zones for a part of one megabyte.
FETCH_TIMEOUT_MS = 300
INITIAL_BACKOFF_MS = 500
MAX_BACKOFF_MS = 8000
# Control messages mention a source again within a probe round, so a few are enough.
MAX_SOURCES = 8


@dataclass(slots=True)
class Source:
    """Hold a peer that announced a newer revision, and the number of attempts to fetch it."""

    announced: PeerRevision
    attempts: int = 0
    not_before_ms: int = 0


class FetchScheduler:
    """Choose one peer at a time, by the fewest attempts, with exponential backoff per peer."""

    def __init__(self) -> None:
        self._sources: dict[EntryName, Source] = {}
        self._pending_peer: EntryName | None = None
        self._pending_until_ms = 0

    def note_revision(self, announced: PeerRevision) -> None:
        """Record the revisions that a peer announced."""
        source = self._sources.get(announced.peer)
        if source is None:
            if len(self._sources) >= MAX_SOURCES and not self._drop_failing_source():
                return
            self._sources[announced.peer] = Source(announced)
        elif source.announced != announced:
            # The peer announced another revision, so it may be tried again at once.
            self._sources[announced.peer] = Source(announced)

    def note_answer(self, peer: EntryName) -> None:
        """Record that a peer answered, so that the next one may be chosen."""
        if peer == self._pending_peer:
            self._pending_peer = None

    def next_peer(self, now_ms: int, is_needed: Callable[[PeerRevision], bool]) -> EntryName | None:
        """Return the peer to fetch from now, or None if a fetch is pending or nothing is needed."""
        if not self._sources:
            return None
        needed = {
            name: source for name, source in self._sources.items() if is_needed(source.announced)
        }
        self._sources = needed
        if self._pending_peer is not None and now_ms < self._pending_until_ms:
            return None
        self._pending_peer = None
        ready = [name for name, source in needed.items() if source.not_before_ms <= now_ms]
        if not ready:
            return None
        peer = min(ready, key=lambda name: needed[name].attempts)
        self._start_fetch(now_ms, peer)
        return peer

    def _drop_failing_source(self) -> bool:
        """Drop the source with the most attempts, so that dead peers do not fill the list."""
        name = max(self._sources, key=lambda peer: self._sources[peer].attempts)
        if self._sources[name].attempts == 0 or name == self._pending_peer:
            return False
        del self._sources[name]
        return True

    def _start_fetch(self, now_ms: int, peer: EntryName) -> None:
        source = self._sources[peer]
        backoff_ms = min(INITIAL_BACKOFF_MS << min(source.attempts, 8), MAX_BACKOFF_MS)
        source.attempts += 1
        source.not_before_ms = now_ms + backoff_ms
        self._pending_peer = peer
        self._pending_until_ms = now_ms + FETCH_TIMEOUT_MS
