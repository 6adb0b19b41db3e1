"""Formatting of tables, sections and values as text."""

from collections.abc import Iterable, Sequence

from fuchsiaspread_core.parts import Fault

COLUMN_GAP = "  "


def table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows in aligned columns, or `(none)` without rows."""
    cells = [[_cell(value) for value in row] for row in rows]
    if not cells:
        return "(none)"
    widths = [max(len(row[n]) for row in (list(headers), *cells)) for n in range(len(headers))]
    lines = [headers, *cells]
    return "\n".join(
        COLUMN_GAP.join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip()
        for row in lines
    )


def sections(*parts: tuple[str, str]) -> str:
    """Join titled parts with a blank line between them; empty parts are left out."""
    return "\n\n".join(f"{title}\n{body}" if title else body for title, body in parts if body)


def fault_lines(faults: Iterable[Fault]) -> str:
    """Format one line for each fault: location, problem and remedy."""
    lines = []
    for fault in faults:
        where = f"{fault.file}: {fault.key}" if fault.key else fault.file
        lines.append(f"{where}: {fault.problem}; {fault.remedy}")
    return "\n".join(lines)


def duration(milliseconds: float | None) -> str:
    """Format a duration in the largest unit that gives a value of at least 1."""
    if milliseconds is None:
        return "-"
    seconds = milliseconds / 1_000
    for unit, length in (("d", 86_400), ("h", 3_600), ("min", 60)):
        if seconds >= length:
            return f"{seconds / length:.3g} {unit}"
    return f"{seconds:.3g} s"


def percent(share: float) -> str:
    """Format a share in percent, to three significant digits."""
    return f"{share * 100:.3g}%"


def exact_percent(share: float) -> str:
    """Format a share in percent without rounding 99.99% up to 100%."""
    return f"{share * 100:.8g}%"


def _cell(value: object) -> str:
    return "-" if value in (None, "") else str(value)
