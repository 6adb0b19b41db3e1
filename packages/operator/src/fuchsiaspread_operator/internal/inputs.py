"""Input types: what `gather` reads and `decide` evaluates."""

from dataclasses import dataclass
from pathlib import PurePath

from .outcomes import InvalidInput, PlatformUnreachable

# Keys in the platform's configuration service.
BASE_KEY = "fuchsiaspread/base"
SITES_KEY = "fuchsiaspread/sites/"
MEMBERS_KEY = "fuchsiaspread/members/"
# File and directory names in a user's configuration directory.
BASE_NAME = "base.yaml"
SITES_NAME = "sites"
ENTRIES_NAME = "entries"
MEMBERS_NAME = "members.json"


@dataclass(frozen=True, slots=True)
class FileContent:
    """Content of a file; reading stops one byte past the size limit."""

    path: str
    content: bytes

    @property
    def stem(self) -> str:
        """Return the file name without its suffix: the name of a site or an entry VM."""
        return PurePath(self.path).stem


@dataclass(frozen=True, slots=True)
class FleetFiles:
    """The configuration files of one user."""

    base: FileContent
    overlays: tuple[FileContent, ...]
    settings: tuple[FileContent, ...] = ()
    members: FileContent | None = None


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """Value of a key in the platform's configuration service, with its modification index."""

    key: str
    index: int
    content: bytes


PlatformOutcome = PublishedValue | InvalidInput | PlatformUnreachable


@dataclass(frozen=True, slots=True)
class OkResponse:
    """Response body with HTTP status 200; `label` names the queried entry VM or key in reports."""

    label: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Response with an HTTP status other than 200."""

    label: str
    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class NoResponse:
    """Query that got no HTTP response."""

    label: str
    reason: str


QueryResult = OkResponse | ErrorResponse | NoResponse
