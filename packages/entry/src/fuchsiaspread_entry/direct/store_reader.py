"""What the direct daemon needs of the store that publishes routes and targets."""

from dataclasses import dataclass
from typing import Protocol

from fuchsiaspread_core.direct import DirectEvent


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """Hold what a read or a watch told, and the revision at which a watch goes on."""

    events: tuple[DirectEvent, ...]
    revision: int
    problems: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """Tell that the changes since a revision are no longer held."""


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """Tell that the store did not answer, or not with what was asked."""

    cause: str


class StoreReader(Protocol):
    """Read and watch the routes and the targets."""

    async def read(self) -> StoreUpdate | StoreFailed:
        """Return everything."""

    async def watch(self, revision: int) -> StoreUpdate | HistoryLost | StoreFailed:
        """Return the changes after a revision, without events when the wait ended."""
