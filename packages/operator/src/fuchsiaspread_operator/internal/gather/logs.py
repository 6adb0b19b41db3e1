"""Reads log files of entry VMs."""

import re
from collections.abc import Sequence
from datetime import datetime
from pathlib import Path

from ..decide.tracing import LogLine
from ..outcomes import UsageProblem

MS_PER_SECOND = 1000
# Quoted values contain backslash escapes. A log collector may put a prefix in front of each line.
PAIR = re.compile(r'([a-z_]+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))')
LINE = re.compile(r"(?:(.*?)\s)??(time=\S+ level=\S+ event=\S+.*)")


def read_logs(paths: Sequence[Path]) -> tuple[LogLine, ...] | UsageProblem:
    """Return the log lines of all files; other text is skipped."""
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            problem = f"{path}: {error.strerror or 'cannot be read'}"
            return UsageProblem(problem, "give log files that can be read")
        parsed = (_parse(raw, path.stem) for raw in text.splitlines())
        lines += [line for line in parsed if line is not None]
    if not lines:
        names = ", ".join(str(path) for path in paths)
        return UsageProblem(
            f"{names}: no log lines of an entry VM", "give files with the log output of entry VMs"
        )
    return tuple(lines)


def _parse(raw: str, file_name: str) -> LogLine | None:
    found = LINE.fullmatch(raw.strip())
    if found is None:
        return None
    fields = {name: plain or quoted for name, quoted, plain in PAIR.findall(found[2])}
    try:
        recorded_ms = round(datetime.fromisoformat(fields.pop("time")).timestamp() * MS_PER_SECOND)
        steady_ms = int(fields.pop("steady_ms"))
    except (KeyError, ValueError):
        return None
    event = fields.pop("event")
    fields.pop("level")
    # The VM's name is the last word of a collector's prefix.
    source = (found[1] or file_name).split()[-1]
    return LogLine(source, event, recorded_ms, steady_ms, fields)
