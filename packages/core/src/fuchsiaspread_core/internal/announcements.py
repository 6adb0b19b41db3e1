"""When an entry VM announces its revisions, a stop, or the end of a pause to its peers."""

from ..configuration import Revision
from ..control import NO_REVISION

Revisions = tuple[Revision, Revision]


class Announcements:
    """Remember what was announced last; changes are announced once in an interval at most."""

    def __init__(self, interval_ms: int) -> None:
        self._interval_ms = interval_ms
        self._announced: Revisions = (NO_REVISION, NO_REVISION)
        self._due_ms: int | None = None
        self._allowed_ms = 0

    def schedule(self, due_ms: int) -> None:
        """Announce at a time, whether the revisions have changed or not."""
        self._due_ms = due_ms

    def is_due(self, now_ms: int, current: Revisions) -> bool:
        """Return whether an announcement was scheduled, or the revisions have changed."""
        is_scheduled = self._due_ms is not None and now_ms >= self._due_ms
        is_changed = current != self._announced and now_ms >= self._allowed_ms
        return is_scheduled or is_changed

    def record(self, now_ms: int, current: Revisions) -> None:
        """Record that the revisions are announced now."""
        self._announced = current
        self._due_ms = None
        self._allowed_ms = now_ms + self._interval_ms
