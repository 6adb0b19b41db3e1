"""What was gathered, as the decisions take it."""

from dataclasses import dataclass
from pathlib import PurePath

from .outcomes import Unreachable, Unusable

# Keys of the platform's configuration service.
BASE_KEY = "fuchsiaspread/base"
SITES_KEY = "fuchsiaspread/sites/"
MEMBERS_KEY = "fuchsiaspread/members/"
# Names in a user's directory.
BASE_NAME = "base.yaml"
SITES_NAME = "sites"
ENTRIES_NAME = "entries"
MEMBERS_NAME = "members.json"


@dataclass(frozen=True, slots=True)
class FileContent:
    """Hold the content of a file; it may be cut one byte after the size limit."""

    path: str
    content: bytes

    @property
    def stem(self) -> str:
        """Return the file name without its suffix, which names a site or an entry VM."""
        return PurePath(self.path).stem


@dataclass(frozen=True, slots=True)
class FleetFiles:
    """Hold the files of one user."""

    base: FileContent
    overlays: tuple[FileContent, ...]
    settings: tuple[FileContent, ...] = ()
    members: FileContent | None = None


@dataclass(frozen=True, slots=True)
class Published:
    """Hold a value of the platform at its index."""

    key: str
    index: int
    content: bytes


PlatformOutcome = Published | Unusable | Unreachable


@dataclass(frozen=True, slots=True)
class Answered:
    """Hold the body of an entry VM's answer; `label` is how reports call who was asked."""

    label: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """Report an HTTP status other than 200."""

    label: str
    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class NotAnswered:
    """Report that no HTTP answer came."""

    label: str
    reason: str


Reply = Answered | Rejected | NotAnswered
