"""Interface to the store that publishes routes and targets."""

from dataclasses import dataclass
from typing import Protocol

from fuchsiaspread_core.direct import DirectEvent


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """Result of a read or a watch, and the revision from which to continue the watch.

    `sizes_bytes` has the size of each change, or of each value read, with those that lead to no
    event.
    """

    events: tuple[DirectEvent, ...]
    revision: int
    problems: tuple[str, ...] = ()
    sizes_bytes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """Report that the store no longer has the changes since a revision."""


@dataclass(frozen=True, slots=True)
class AnswerTooLarge:
    """Report that the changes since a revision are more than one answer may hold."""


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """Report that the store could not be reached or sent an unusable response."""

    cause: str


WatchOutcome = StoreUpdate | HistoryLost | AnswerTooLarge | StoreFailed


class StoreReader(Protocol):
    """Read and watch the routes and the targets."""

    async def read(self) -> StoreUpdate | StoreFailed:
        """Return all routes and targets."""

    async def watch(self, revision: int, may_wait: bool) -> WatchOutcome:
        """Return the changes after a revision.

        Without any, return no events at once, or wait for the next ones for a while.
        """
