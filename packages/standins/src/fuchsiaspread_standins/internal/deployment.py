"""A deployment read from the files of an example."""

import json
import re
from dataclasses import dataclass
from pathlib import Path

import yaml
from fuchsiaspread_configuration import compile_parts
from fuchsiaspread_core.configuration import Configuration
from fuchsiaspread_core.identifiers import Endpoint
from fuchsiaspread_core.parts import InvalidConfiguration, Part, PartName
from pydantic import BaseModel

_LOOPBACK = re.compile(r"\b127\.\d+\.")


class MemberForm(BaseModel):
    """Form of a member in the platform's list."""

    name: str
    zone: str
    peer: str
    control: str
    admin: str
    state: str


class FabricForm(BaseModel):
    """Form of the fabric addresses in an entry VM's settings."""

    listen: str
    gateway: str


class SettingsForm(BaseModel):
    """Form of the parts of an entry VM's settings that the stand-ins need."""

    name: str
    site: str
    fabric: FabricForm
    platform: list[str]
    admin: str


@dataclass(frozen=True, slots=True)
class EntryPlace:
    """Hold the addresses of an entry VM and the text of its settings file."""

    name: str
    zone: str
    listen: Endpoint
    admin: Endpoint
    settings: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hold the files of a deployment and what they say about the surroundings."""

    name: str
    site: str
    base: str
    overlay: str
    members: tuple[MemberForm, ...]
    entries: tuple[EntryPlace, ...]
    gateway: Endpoint
    platform: Endpoint
    configuration: Configuration

    def hosts_of_zone(self, zone: str) -> frozenset[str]:
        """Return the hosts of a zone's entry VMs and targets."""
        targets = [t for service in self.configuration.services for t in service.targets]
        hosts = {target.tunnel.host for target in targets if target.zone == zone}
        return frozenset(hosts | {e.listen.host for e in self.entries if e.zone == zone})

    def zones(self) -> tuple[str, ...]:
        """Return the zones that have entry VMs."""
        return tuple(sorted({entry.zone for entry in self.entries}))


def endpoint_of(text: str) -> Endpoint:
    """Return the endpoint of `HOST:PORT`."""
    host, _, port = text.rpartition(":")
    return Endpoint(host, int(port))


def move_addresses(text: str, second_octet: int) -> str:
    """Return a file's text with its loopback addresses in another network."""
    return _LOOPBACK.sub(f"127.{second_octet}.", text)


def written_octet(folder: Path) -> int:
    """Return the second octet of the loopback network that an example's files name."""
    path = next(iter(sorted((folder / "entries").glob("*.yaml"))))
    form = SettingsForm(**yaml.safe_load(path.read_text(encoding="utf-8")))
    return int(form.platform[0].split(".")[1])


def load_deployment(folder: Path, second_octet: int) -> Deployment:
    """Read an example and move its loopback addresses to a network of its own.

    Errors: ValueError for files that are not valid.
    """

    def read(path: Path) -> str:
        return move_addresses(path.read_text(encoding="utf-8"), second_octet)

    site_file = next(iter(sorted((folder / "sites").glob("*.yaml"))))
    base, overlay = read(folder / "base.yaml"), read(site_file)
    parts = Part(PartName.BASE, 1, base.encode()), Part(PartName.OVERLAY, 1, overlay.encode())
    configuration = compile_parts(*parts)
    if isinstance(configuration, InvalidConfiguration):
        raise ValueError(f"{folder}: {configuration.faults}")
    members = tuple(MemberForm(**body) for body in json.loads(read(folder / "members.json")))
    zones = {member.name: member.zone for member in members}
    texts = [read(path) for path in sorted((folder / "entries").glob("*.yaml"))]
    forms = [SettingsForm(**yaml.safe_load(text)) for text in texts]
    entries = tuple(
        EntryPlace(
            form.name,
            zones[form.name],
            endpoint_of(form.fabric.listen),
            endpoint_of(form.admin),
            text,
        )
        for form, text in zip(forms, texts, strict=True)
    )
    return Deployment(
        folder.name,
        forms[0].site,
        base,
        overlay,
        members,
        entries,
        endpoint_of(forms[0].fabric.gateway),
        endpoint_of(forms[0].platform[0]),
        configuration,
    )
