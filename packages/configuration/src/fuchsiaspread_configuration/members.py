"""The platform's list of a site's entry VMs."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from fuchsiaspread_core.identifiers import Endpoint, EntryName, ZoneName
from fuchsiaspread_core.members import Member, MemberState
from fuchsiaspread_core.parts import Fault
from pydantic import TypeAdapter, ValidationError

from .internal.error_conversion import convert_errors
from .internal.loading import UnreadableDocument, limited, load_json
from .internal.merging import Merged
from .internal.values import EndpointText, FileModel, Name

MEMBERS_FILE = "members"


class MemberModel(FileModel):
    """One entry VM in the list of members."""

    name: Name
    zone: Name
    peer: EndpointText
    control: EndpointText
    admin: EndpointText
    state: Literal["live", "leaving"] = "live"


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """Describe a listed entry VM; `admin` is the address of its HTTP endpoints for operators."""

    name: EntryName
    zone: ZoneName
    peer: Endpoint
    control: Endpoint
    admin: Endpoint
    is_leaving: bool = False

    def member(self) -> Member:
        """Return the entry as a member for the core's membership."""
        state = MemberState.LEAVING if self.is_leaving else MemberState.LIVE
        return Member(self.name, self.zone, self.peer, self.control, state=state)


@dataclass(frozen=True, slots=True)
class MembersList:
    """Hold a valid list of members; it may be empty."""

    entries: tuple[MemberEntry, ...]


@dataclass(frozen=True, slots=True)
class InvalidMembers:
    """Report that a list of members is not valid."""

    faults: tuple[Fault, ...]


_ADAPTER = TypeAdapter(list[MemberModel])


def parse_members(content: bytes, file: str = MEMBERS_FILE) -> MembersList | InvalidMembers:
    """Parse a JSON list of members; return the members, or all faults found."""
    document = load_json(content, file)
    if isinstance(document, UnreadableDocument):
        return InvalidMembers(document.faults)
    merged = Merged(document.tree, {(): file})
    try:
        models = _ADAPTER.validate_python(document.tree)
    except ValidationError as error:
        return InvalidMembers(limited(convert_errors(error, merged, MemberModel.model_fields)))
    faults = _repeated_values(models, file)
    if faults:
        return InvalidMembers(limited(faults))
    return MembersList(tuple(_entry(model) for model in models))


def _repeated_values(models: Iterable[MemberModel], file: str) -> list[Fault]:
    faults = []
    seen: set[tuple[str, object]] = set()
    for model in models:
        for key in ("name", "peer", "control", "admin"):
            value = getattr(model, key)
            if (key, value) in seen:
                text = f"{value.host}:{value.port}" if isinstance(value, Endpoint) else value
                problem = f"{text} appears twice in the list"
                remedy = "give each entry VM a unique name and unique addresses"
                faults.append(Fault(file, f"{model.name}.{key}", problem, remedy))
            seen.add((key, value))
    return faults


def _entry(model: MemberModel) -> MemberEntry:
    return MemberEntry(
        EntryName(model.name),
        ZoneName(model.zone),
        model.peer,
        model.control,
        model.admin,
        model.state == "leaving",
    )
