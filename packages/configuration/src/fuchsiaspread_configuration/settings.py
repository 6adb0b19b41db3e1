"""Load and validate the settings of an entry VM."""

import re
from collections import Counter
from dataclasses import dataclass, field
from typing import Annotated, Literal

from fuchsiaspread_core.identifiers import Endpoint, EntryName, ZoneName
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.parts import Fault
from pydantic import Field, StringConstraints, ValidationError

from .internal.error_conversion import convert_errors
from .internal.loading import UnreadableDocument, limited, load_yaml
from .internal.merging import KeyPath, Merged
from .internal.values import EndpointText, FileModel, Milliseconds, Name

_SECRET_KEYS = re.compile(r"keys(\[\d+\](\.secret)?)?")
_KEYS_REMEDY = 'write keys: [{id: 1, secret: "64 hexadecimal digits"}]'


class FabricModel(FileModel):
    """Addresses towards the network fabric."""

    listen: EndpointText
    gateway: EndpointText


class KeyModel(FileModel):
    """Key that authenticates datagrams between entry VMs."""

    id: Annotated[int, Field(ge=0, le=255)]
    secret: Annotated[str, StringConstraints(pattern=r"^[0-9a-fA-F]{64}$")]


class SeedModel(FileModel):
    """Entry VM to try while the platform is down."""

    name: Name
    zone: Name
    peer: EndpointText
    control: EndpointText


class SettingsModel(FileModel):
    """Settings file of an entry VM."""

    name: Name
    site: Name
    zone: Name
    fabric: FabricModel
    peer: EndpointText
    control: EndpointText
    admin: EndpointText
    platform: list[EndpointText] = Field(min_length=1)
    keys: list[KeyModel] = Field(min_length=1, max_length=8)
    seeds: list[SeedModel] = Field(default_factory=list)
    log: Literal["debug", "info", "warning", "error"] = "info"
    stop_grace_ms: Milliseconds = 10_000


@dataclass(frozen=True, slots=True)
class FabricSettings:
    """Hold the address of the socket towards the fabric and that of the fabric's gateway."""

    listen: Endpoint
    gateway: Endpoint


@dataclass(frozen=True, slots=True)
class PeerKey:
    """Hold a key that authenticates datagrams between entry VMs."""

    id: int
    secret: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Settings:
    """Hold the settings of an entry VM.

    Messages are signed with the first key; messages signed with any of the keys are accepted.
    """

    name: EntryName
    site: str
    zone: ZoneName
    fabric: FabricSettings
    peer: Endpoint
    control: Endpoint
    admin: Endpoint
    platform: tuple[Endpoint, ...]
    keys: tuple[PeerKey, ...]
    seeds: tuple[Member, ...] = ()
    log: str = "info"
    stop_grace_ms: int = 10_000

    def member(self) -> Member:
        """Return this entry VM as a member for the core's membership."""
        return Member(self.name, self.zone, self.peer, self.control)


def load_settings(content: bytes, file: str) -> Settings | tuple[Fault, ...]:
    """Parse a settings file; return the settings, or all faults found."""
    document = load_yaml(content, file)
    if isinstance(document, UnreadableDocument):
        return tuple(_without_secrets(fault) for fault in document.faults)
    merged = Merged(document.tree, {(): file})
    try:
        model = SettingsModel.model_validate(document.tree)
    except ValidationError as error:
        found = convert_errors(error, merged, SettingsModel.model_fields)
        return limited(_without_secrets(fault) for fault in found)
    faults = _repeated_values(model, file)
    return limited(faults) if faults else _settings(model)


def _without_secrets(fault: Fault) -> Fault:
    # The invalid value may be most of a valid secret, which must not get into logs.
    has_value = fault.problem not in ("the key is missing", "the key is not known here")
    if not _SECRET_KEYS.fullmatch(fault.key) or not has_value:
        return fault
    return Fault(fault.file, fault.key, "the value does not have the right format", _KEYS_REMEDY)


def _repeated_values(model: SettingsModel, file: str) -> list[Fault]:
    faults = []
    for key, count in Counter(key.id for key in model.keys).items():
        if count > 1:
            problem = f"the key id {key} appears {count} times"
            faults.append(Fault(file, "keys", problem, "give each key a unique id"))
    for name, count in Counter(seed.name for seed in model.seeds).items():
        if count > 1:
            problem = f"the seed {name} appears {count} times"
            faults.append(Fault(file, "seeds", problem, "remove all but one entry of this name"))
    for first, second in ((("fabric", "listen"), ("peer",)), (("control",), ("admin",))):
        faults += _address_conflicts(model, first, second, file)
    return faults


def _address_conflicts(
    model: SettingsModel, first: KeyPath, second: KeyPath, file: str
) -> list[Fault]:
    first_address = model.fabric.listen if first[0] == "fabric" else getattr(model, first[0])
    second_address = getattr(model, second[0])
    if first_address != second_address:
        return []
    problem = (
        f"{second_address.host}:{second_address.port} is also the address of {'.'.join(first)}"
    )
    return [Fault(file, second[0], problem, "give the two addresses different ports")]


def _settings(model: SettingsModel) -> Settings:
    return Settings(
        name=EntryName(model.name),
        site=model.site,
        zone=ZoneName(model.zone),
        fabric=FabricSettings(model.fabric.listen, model.fabric.gateway),
        peer=model.peer,
        control=model.control,
        admin=model.admin,
        platform=tuple(model.platform),
        keys=tuple(PeerKey(key.id, bytes.fromhex(key.secret)) for key in model.keys),
        seeds=tuple(
            Member(EntryName(seed.name), ZoneName(seed.zone), seed.peer, seed.control)
            for seed in model.seeds
        ),
        log=model.log,
        stop_grace_ms=model.stop_grace_ms,
    )
