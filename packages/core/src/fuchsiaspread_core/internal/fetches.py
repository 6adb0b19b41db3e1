"""Choice of the peer to fetch configuration parts from."""

from collections.abc import Callable
from dataclasses import dataclass

from ..control import PeerRevision
from ..identifiers import EntryName

# Ten times the slowest answer expected between zones, with a part of one megabyte.
FETCH_TIMEOUT_MS = 300
RETRY_PAUSE_MS = 500
MAX_RETRY_PAUSE_MS = 8000
# Control messages name a source again within a probe round, so few need to be remembered.
MAX_SOURCES = 8


@dataclass(slots=True)
class Source:
    """Remember a peer that stated something newer, and how often it was asked in vain."""

    stated: PeerRevision
    attempts: int = 0
    not_before_ms: int = 0


class FetchPlan:
    """Ask one peer at a time, the one asked least first, with growing pauses for each peer."""

    def __init__(self) -> None:
        self._sources: dict[EntryName, Source] = {}
        self._asked: EntryName | None = None
        self._asked_until_ms = 0

    def note(self, stated: PeerRevision) -> None:
        """Remember what a peer stated."""
        source = self._sources.get(stated.peer)
        if source is None:
            if len(self._sources) >= MAX_SOURCES and not self._drop_failing_source():
                return
            self._sources[stated.peer] = Source(stated)
        elif source.stated != stated:
            # Something newer than what was asked for in vain deserves an attempt at once.
            self._sources[stated.peer] = Source(stated)

    def settle(self, peer: EntryName) -> None:
        """Note that a peer answered, so that the next source may be asked."""
        if peer == self._asked:
            self._asked = None

    def next_peer(self, now_ms: int, lacks: Callable[[PeerRevision], bool]) -> EntryName | None:
        """Return the peer to ask now, or None while one is asked or nothing is lacking."""
        if not self._sources:
            return None
        useful = {name: one for name, one in self._sources.items() if lacks(one.stated)}
        self._sources = useful
        if self._asked is not None and now_ms < self._asked_until_ms:
            return None
        self._asked = None
        ready = [name for name, one in useful.items() if one.not_before_ms <= now_ms]
        if not ready:
            return None
        peer = min(ready, key=lambda name: useful[name].attempts)
        self._ask(now_ms, peer)
        return peer

    def _drop_failing_source(self) -> bool:
        """Forget the source asked most often in vain, so that dead peers do not fill the plan."""
        name = max(self._sources, key=lambda one: self._sources[one].attempts)
        if self._sources[name].attempts == 0 or name == self._asked:
            return False
        del self._sources[name]
        return True

    def _ask(self, now_ms: int, peer: EntryName) -> None:
        source = self._sources[peer]
        pause_ms = min(RETRY_PAUSE_MS << min(source.attempts, 8), MAX_RETRY_PAUSE_MS)
        source.attempts += 1
        source.not_before_ms = now_ms + pause_ms
        self._asked = peer
        self._asked_until_ms = now_ms + FETCH_TIMEOUT_MS
