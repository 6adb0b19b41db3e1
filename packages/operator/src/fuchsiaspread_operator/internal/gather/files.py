"""Reads configuration files."""

from pathlib import Path

from fuchsiaspread_configuration import MAX_CONTENT_BYTES
from fuchsiaspread_core.parts import Fault

from ..inputs import BASE_NAME, ENTRIES_NAME, MEMBERS_NAME, SITES_NAME, FileContent, FleetFiles
from ..outcomes import InvalidInput

YAML_SUFFIXES = (".yaml", ".yml")


def read_file(path: Path) -> FileContent | Fault:
    """Read a file up to one byte past the size limit, so that validation rejects a larger one."""
    try:
        with path.open("rb") as stream:
            return FileContent(str(path), stream.read(MAX_CONTENT_BYTES + 1))
    except FileNotFoundError:
        return Fault(str(path), "", "there is no such file", "check the path and its spelling")
    except IsADirectoryError:
        return Fault(
            str(path), "", "this is a directory", "give a file, or the directory as only argument"
        )
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return Fault(str(path), "", f"cannot be read: {reason}", "check the file permissions")


def read_fleet(paths: tuple[str, ...]) -> FleetFiles | InvalidInput:
    """Read a directory with `base.yaml` and `sites/`, or a base file and its overlays."""
    first = Path(paths[0])
    if len(paths) == 1 and first.is_dir():
        settings, members = _yaml_files(first / ENTRIES_NAME), first / MEMBERS_NAME
        listed = [members] if members.exists() else []
        return _read(first / BASE_NAME, _yaml_files(first / SITES_NAME), settings, listed)
    return _read(first, [Path(path) for path in paths[1:]], [], [])


def _yaml_files(folder: Path) -> list[Path]:
    try:
        return sorted(path for path in folder.iterdir() if path.suffix in YAML_SUFFIXES)
    except OSError:
        return []


def _read(
    base: Path, overlays: list[Path], settings: list[Path], members: list[Path]
) -> FleetFiles | InvalidInput:
    read = [read_file(path) for path in (base, *overlays, *settings, *members)]
    contents = [item for item in read if isinstance(item, FileContent)]
    faults = tuple(item for item in read if isinstance(item, Fault))
    if faults:
        return InvalidInput(faults)
    first_settings = 1 + len(overlays)
    first_members = first_settings + len(settings)
    return FleetFiles(
        contents[0],
        tuple(contents[1:first_settings]),
        tuple(contents[first_settings:first_members]),
        contents[first_members] if members else None,
    )
