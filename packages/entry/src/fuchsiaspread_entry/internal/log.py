"""Structured log: one key=value line per event on standard output."""

import logging
import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import IntEnum

# Without a limit, events that packets trigger would fill the log at packet rate.
LINES_PER_SECOND = 5
LINES_BURST = 20
MS_PER_SECOND = 1000
# Fields of eliot's action trees, and those with a fixed place at the start of the line.
HIDDEN_FIELDS = frozenset(
    {"task_uuid", "task_level", "timestamp", "recorded_s", "message_type", "level"}
)


class Level(IntEnum):
    """Log levels in increasing severity."""

    DEBUG = 0
    INFO = 1
    WARNING = 2
    ERROR = 3


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_ms: int
    suppressed: int = 0


class Log:
    """Write events at or above a level, with a rate limit per event name."""

    def __init__(
        self,
        level: Level,
        now_ms: Callable[[], int],
        write: Callable[..., None] | None = None,
    ) -> None:
        self.level = level
        self._now_ms = now_ms
        self._write = write or write_with_eliot
        self._buckets: dict[str, _Bucket] = {}

    def write(self, level: Level, event: str, **fields: object) -> None:
        """Write one event unless its level is too low or its rate limit is exceeded."""
        if level < self.level:
            return
        bucket = self._bucket(event)
        if bucket.tokens < 1:
            bucket.suppressed += 1
            return
        bucket.tokens -= 1
        if bucket.suppressed:
            fields["suppressed_lines"], bucket.suppressed = bucket.suppressed, 0
        self._write(message_type=event, level=level.name.lower(), **fields)

    def _bucket(self, event: str) -> _Bucket:
        now_ms = self._now_ms()
        bucket = self._buckets.setdefault(event, _Bucket(LINES_BURST, now_ms))
        refill = (now_ms - bucket.refilled_ms) * LINES_PER_SECOND / MS_PER_SECOND
        bucket.tokens = min(LINES_BURST, bucket.tokens + refill)
        bucket.refilled_ms = now_ms
        return bucket


class LibraryHandler(logging.Handler):
    """Forward the log records of libraries to the daemon's log, without tracebacks."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        level = Level.ERROR if record.levelno >= logging.ERROR else Level.WARNING
        fields = {"library": record.name, "text": record.getMessage()}
        if record.exc_info and record.exc_info[1] is not None:
            fields["cause"] = repr(record.exc_info[1])
        self._log.write(level, "library_message", **fields)


def write_with_eliot(**fields: object) -> None:
    """Pass an event to the destinations of eliot."""
    # Importing eliot takes a fifth of a daemon's start-up time, and a daemon can serve packets
    # before it writes its first line.
    import eliot

    eliot.log_message(**fields)


def level_of(name: str) -> Level:
    """Return the level of a name in the settings file."""
    return Level[name.upper()]


def print_line(message: dict[str, object]) -> None:
    """Print an eliot message as one key=value line; the destination of the daemon's log."""
    print(format_line(message), flush=True, file=sys.stdout)


def format_line(message: dict[str, object]) -> str:
    """Return an eliot message as one key=value line."""
    # A line that is written later than its event has the time of the event.
    recorded_s = message.get("recorded_s", message["timestamp"])
    moment = datetime.fromtimestamp(float(str(recorded_s)), UTC)
    pairs = [
        ("time", moment.isoformat(timespec="milliseconds")),
        ("level", message.get("level", "info")),
        ("event", message.get("message_type", "")),
        *((key, value) for key, value in message.items() if key not in HIDDEN_FIELDS),
    ]
    return " ".join(f"{key}={_quoted(value)}" for key, value in pairs)


def _quoted(value: object) -> str:
    text = str(value)
    if text and text.isprintable() and not any(mark in text for mark in ' "='):
        return text
    escaped = text.encode("unicode_escape").decode("ascii").replace('"', '\\"')
    return f'"{escaped}"'
