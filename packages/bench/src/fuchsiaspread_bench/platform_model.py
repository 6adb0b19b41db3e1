"""In-memory platform that is up, down or stale for each reader independently."""

from collections.abc import Callable
from enum import Enum, auto
from random import Random

from fuchsiaspread_core.parts import Part, PartName

from .fleet import Clock

# For each reader the platform is up half of the time, and down and stale for a quarter each.
MIN_PERIOD_MS = 2_000
MAX_PERIOD_MS = 20_000
STALE_BY_MS = 30_000
WATCH_DELAY_MS = (5, 50)
# A reader without a connection to the platform retries within this time.
RECONNECT_MS = 1_000


class Condition(Enum):
    """Condition of the platform for a reader."""

    UP = auto()
    DOWN = auto()
    STALE = auto()


class Platform:
    """Platform with published parts that is up for each reader half of the time."""

    def __init__(self, clock: Clock, seed: int, reader_count: int) -> None:
        self._clock = clock
        self._random = Random(seed)
        self._published: dict[PartName, list[tuple[int, Part]]] = {name: [] for name in PartName}
        self.conditions = [Condition.UP] * reader_count
        self.on_up: Callable[[int], None] = lambda reader: None
        for reader in range(reader_count):
            self._schedule(reader)

    def publish(self, part: Part) -> None:
        """Publish a part as the newest one of its name."""
        self._published[part.name].append((self._clock.now_ms, part))

    def read(self, reader: int) -> list[Part]:
        """Return the parts that a reader gets now: the newest, stale ones, or none."""
        match self.conditions[reader]:
            case Condition.UP:
                return self._parts_at(self._clock.now_ms)
            case Condition.STALE:
                return self._parts_at(self._clock.now_ms - STALE_BY_MS)
            case Condition.DOWN:
                return []

    def is_up_for_any(self) -> bool:
        """Return whether the platform is up for any reader."""
        return Condition.UP in self.conditions

    def _parts_at(self, now_ms: int) -> list[Part]:
        found = []
        for versions in self._published.values():
            old = [part for published_ms, part in versions if published_ms <= now_ms]
            found += old[-1:]
        return found

    def _schedule(self, reader: int) -> None:
        period_ms = self._random.randint(MIN_PERIOD_MS, MAX_PERIOD_MS)
        self._clock.post(period_ms, lambda: self._change(reader))

    def _change(self, reader: int) -> None:
        # Alternate between up and not up, so that the platform is up half of the time.
        if self.conditions[reader] is Condition.UP:
            self.conditions[reader] = self._random.choice((Condition.DOWN, Condition.STALE))
        else:
            self.conditions[reader] = Condition.UP
        self._schedule(reader)
        self.on_up(reader)
