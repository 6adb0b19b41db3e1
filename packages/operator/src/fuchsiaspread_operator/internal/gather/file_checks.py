"""File checks that other installed packages register as entry points."""

from collections.abc import Callable
from importlib.metadata import entry_points

from fuchsiaspread_core.parts import Fault

from ..outcomes import UsageProblem

GROUP = "fuchsiaspread.file_checks"
FileCheck = Callable[[bytes, str], tuple[Fault, ...]]


def find_check(kind: str) -> FileCheck | UsageProblem:
    """Return the check for a kind of file."""
    installed = {found.name: found for found in entry_points(group=GROUP)}
    if kind not in installed:
        known = ", ".join(sorted(installed)) or "none is installed"
        return UsageProblem(f"--kind {kind} is unknown", f"write one of: {known}")
    check: FileCheck = installed[kind].load()
    return check
