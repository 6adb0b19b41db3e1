"""Finding and asking the entry VMs of a fleet."""

from dataclasses import dataclass
from pathlib import Path
from typing import assert_never

from fuchsiaspread_configuration import (
    InvalidMembers,
    MembersList,
    parse_endpoint_text,
    parse_members,
)
from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_core.parts import Fault

from ..inputs import MEMBERS_KEY, Published, Reply
from ..outcomes import Unreachable, Unusable, UsageProblem
from .files import read_file
from .http import Query, read_all
from .platform import read_keys

NEXT_STEP = "give --members FILE, --entries HOST:PORT,... or --platform HOST:PORT with --site SITE"


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """Name an entry VM and its admin address."""

    label: str
    admin: Endpoint


@dataclass(frozen=True, slots=True)
class FromFile:
    """Take the entry VMs from a members list in a file."""

    path: str


@dataclass(frozen=True, slots=True)
class FromPlatform:
    """Take the entry VMs from the platform's members list."""

    address: Endpoint
    site: str


@dataclass(frozen=True, slots=True)
class FromList:
    """Take the entry VMs as they were named on the command line."""

    entries: tuple[EntryAddress, ...]


Source = FromFile | FromPlatform | FromList
Entries = tuple[EntryAddress, ...]


def choose_source(
    members: str | None, entries: str | None, platform: str | None, site: str | None
) -> Source | UsageProblem:
    """Return where the entry VMs come from; exactly one option may name it."""
    given = [value for value in (members, entries, platform) if value is not None]
    if len(given) != 1:
        count = "no source" if not given else f"{len(given)} sources"
        return UsageProblem(f"{count} of entry VMs given", NEXT_STEP)
    if members is not None:
        return FromFile(members)
    if entries is not None:
        return _listed(entries)
    address = parse_endpoint_text(platform or "")
    if address is None:
        return UsageProblem(f"--platform {platform} is no address", "write --platform HOST:PORT")
    if not site:
        return UsageProblem("--platform needs a site", "add --site SITE")
    return FromPlatform(address, site)


def _listed(entries: str) -> Source | UsageProblem:
    addresses: dict[str, EntryAddress] = {}
    for text in filter(None, (part.strip() for part in entries.split(","))):
        address = parse_endpoint_text(text)
        if address is None:
            return UsageProblem(f"--entries: {text} is no address", "write HOST:PORT,HOST:PORT")
        addresses[text] = EntryAddress(text, address)
    if not addresses:
        return UsageProblem("--entries names no entry VM", NEXT_STEP)
    return FromList(tuple(addresses.values()))


async def find_entries(source: Source, timeout_s: float) -> Entries | Unusable | Unreachable:
    """Return the admin addresses of the entry VMs, those that are leaving included."""
    match source:
        case FromList(entries=entries):
            return entries
        case FromFile(path=path):
            content = read_file(Path(path))
            if isinstance(content, Fault):
                return Unusable((content,))
            return _parsed(content.content, content.path)
        case FromPlatform(address=address, site=site):
            (outcome,) = await read_keys(address, (MEMBERS_KEY + site,), timeout_s)
            if isinstance(outcome, Published):
                return _parsed(outcome.content, outcome.key)
            return outcome
        case _:
            assert_never(source)


def _parsed(content: bytes, file: str) -> Entries | Unusable:
    outcome = parse_members(content, file)
    match outcome:
        case MembersList(entries=()):
            fault = Fault(file, "", "the list names no entry VM", "check that the fleet is running")
            return Unusable((fault,))
        case MembersList(entries=entries):
            return tuple(EntryAddress(entry.name, entry.admin) for entry in entries)
        case InvalidMembers(faults=faults):
            return Unusable(faults)
        case _:
            assert_never(outcome)


async def ask(entries: Entries, path: str, timeout_s: float) -> tuple[Reply, ...]:
    """Ask every entry VM the same question."""
    queries = [Query(entry.label, entry.admin, path) for entry in entries]
    return await read_all(queries, timeout_s)
