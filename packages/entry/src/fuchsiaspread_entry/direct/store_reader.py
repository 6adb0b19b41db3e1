"""Interface to the store that publishes routes and targets."""

from dataclasses import dataclass
from typing import Protocol

from fuchsiaspread_core.direct import DirectEvent


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """Result of a read or a watch, and the revision from which to continue the watch."""

    events: tuple[DirectEvent, ...]
    revision: int
    problems: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """Report that the store no longer has the changes since a revision."""


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """Report that the store could not be reached or sent an unusable response."""

    cause: str


class StoreReader(Protocol):
    """Read and watch the routes and the targets."""

    async def read(self) -> StoreUpdate | StoreFailed:
        """Return all routes and targets."""

    async def watch(self, revision: int) -> StoreUpdate | HistoryLost | StoreFailed:
        """Return the changes after a revision, or no events when the wait timed out."""
