"""Choice of the peer to fetch configuration parts from."""

from collections.abc import Callable
from dataclasses import dataclass

from ..control import PeerRevision
from ..identifiers import EntryName

# Ten times the slowest answer expected between zones for a part of one megabyte.
FETCH_TIMEOUT_MS = 300
INITIAL_BACKOFF_MS = 500
MAX_BACKOFF_MS = 8000
# A few are enough: control messages announce the revision of each peer again within a probe round,
# in which each live member is probed once, at one probe per `PROBE_INTERVAL_MS` (membership.py).
MAX_SOURCES = 8


@dataclass(slots=True)
class Source:
    """Hold the revision that a peer announced, and the number of fetches started from it."""

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
            if len(self._sources) >= MAX_SOURCES and not self._drop_most_tried_source():
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
        """Choose the peer to fetch from now, count an attempt and start the peer's backoff.

        Return None if a fetch is pending, nothing is needed, or all peers are in backoff. Sources
        that are no longer needed are removed.
        """
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

    def _drop_most_tried_source(self) -> bool:
        """Drop the source with the most fetches started, so that dead peers do not fill the list.

        Return False if none was started yet or the fetch from that source is pending.
        """
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
