"""Discovery of the entry VMs of a fleet, and queries to them."""

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

from ..inputs import MEMBERS_KEY, PublishedValue, QueryResult
from ..outcomes import InvalidInput, PlatformUnreachable, UsageProblem
from .files import read_file
from .http import Query, read_all
from .platform import read_keys

NEXT_STEP = "give --members FILE, --entries HOST:PORT,... or --platform HOST:PORT with --site SITE"


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """Admin address of an entry VM, with its label in reports."""

    label: str
    admin: Endpoint


@dataclass(frozen=True, slots=True)
class FromFile:
    """Members list in a file."""

    path: str


@dataclass(frozen=True, slots=True)
class FromPlatform:
    """Members list of a site on the platform."""

    address: Endpoint
    site: str


@dataclass(frozen=True, slots=True)
class FromList:
    """Admin addresses given on the command line."""

    entries: tuple[EntryAddress, ...]


Source = FromFile | FromPlatform | FromList
Entries = tuple[EntryAddress, ...]


def choose_source(
    members: str | None, entries: str | None, platform: str | None, site: str | None
) -> Source | UsageProblem:
    """Return the source of the entry VMs' addresses; exactly one option must be given."""
    given = [value for value in (members, entries, platform) if value is not None]
    if len(given) != 1:
        count = "no source" if not given else f"{len(given)} sources"
        return UsageProblem(f"{count} of entry VMs given", NEXT_STEP)
    if members is not None:
        return FromFile(members)
    if entries is not None:
        return _parse_entry_list(entries)
    address = parse_endpoint_text(platform or "")
    if address is None:
        return UsageProblem(
            f"--platform {platform} is not a valid address", "write --platform HOST:PORT"
        )
    if not site:
        return UsageProblem("--platform needs a site", "add --site SITE")
    return FromPlatform(address, site)


def _parse_entry_list(entries: str) -> Source | UsageProblem:
    addresses: dict[str, EntryAddress] = {}
    for text in filter(None, (part.strip() for part in entries.split(","))):
        address = parse_endpoint_text(text)
        if address is None:
            return UsageProblem(
                f"--entries: {text} is not a valid address", "write HOST:PORT,HOST:PORT"
            )
        addresses[text] = EntryAddress(text, address)
    if not addresses:
        return UsageProblem("--entries names no entry VM", NEXT_STEP)
    return FromList(tuple(addresses.values()))


async def find_entries(
    source: Source, timeout_s: float
) -> Entries | InvalidInput | PlatformUnreachable:
    """Return the admin addresses of the entry VMs, including those that are leaving."""
    match source:
        case FromList(entries=entries):
            return entries
        case FromFile(path=path):
            content = read_file(Path(path))
            if isinstance(content, Fault):
                return InvalidInput((content,))
            return _parse_members_content(content.content, content.path)
        case FromPlatform(address=address, site=site):
            (outcome,) = await read_keys(address, (MEMBERS_KEY + site,), timeout_s)
            if isinstance(outcome, PublishedValue):
                return _parse_members_content(outcome.content, outcome.key)
            return outcome
        case _:
            assert_never(source)


def _parse_members_content(content: bytes, file: str) -> Entries | InvalidInput:
    outcome = parse_members(content, file)
    match outcome:
        case MembersList(entries=()):
            fault = Fault(file, "", "the list has no entry VM", "check that the fleet is running")
            return InvalidInput((fault,))
        case MembersList(entries=entries):
            return tuple(EntryAddress(entry.name, entry.admin) for entry in entries)
        case InvalidMembers(faults=faults):
            return InvalidInput(faults)
        case _:
            assert_never(outcome)


async def query_entries(entries: Entries, path: str, timeout_s: float) -> tuple[QueryResult, ...]:
    """Send the same query to every entry VM."""
    queries = [Query(entry.label, entry.admin, path) for entry in entries]
    return await read_all(queries, timeout_s)
