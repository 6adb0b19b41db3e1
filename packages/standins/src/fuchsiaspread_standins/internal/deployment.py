"""Load a deployment from the files of an example."""

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


class MemberModel(BaseModel):
    """Schema of a member in the platform's member list."""

    name: str
    zone: str
    peer: str
    control: str
    admin: str
    state: str


class FabricModel(BaseModel):
    """Schema of the fabric addresses in the settings of an entry VM."""

    listen: str
    gateway: str


class SettingsModel(BaseModel):
    """Schema of the settings of an entry VM that the stand-ins need."""

    name: str
    site: str
    fabric: FabricModel
    platform: list[str]
    admin: str


@dataclass(frozen=True, slots=True)
class EntryDeployment:
    """Hold the addresses of an entry VM and the text of its settings file."""

    name: str
    zone: str
    listen: Endpoint
    admin: Endpoint
    settings: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hold the files of a deployment and the addresses that they define."""

    name: str
    site: str
    base: str
    overlay: str
    members: tuple[MemberModel, ...]
    entries: tuple[EntryDeployment, ...]
    gateway: Endpoint
    platform: Endpoint
    configuration: Configuration

    def hosts_of_zone(self, zone: str) -> frozenset[str]:
        """Return the hosts of the entry VMs and targets in a zone."""
        targets = [t for service in self.configuration.services for t in service.targets]
        hosts = {target.tunnel.host for target in targets if target.zone == zone}
        return frozenset(hosts | {e.listen.host for e in self.entries if e.zone == zone})

    def zones(self) -> tuple[str, ...]:
        """Return the zones that have entry VMs."""
        return tuple(sorted({entry.zone for entry in self.entries}))


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint written as `HOST:PORT`."""
    host, _, port = text.rpartition(":")
    return Endpoint(host, int(port))


def rewrite_addresses(text: str, second_octet: int) -> str:
    """Return the text of a file with its loopback addresses moved to 127.<second_octet>.0.0/16."""
    return _LOOPBACK.sub(f"127.{second_octet}.", text)


def configured_octet(folder: Path) -> int:
    """Return the second octet of the loopback network that is configured in an example."""
    path = next(iter(sorted((folder / "entries").glob("*.yaml"))))
    settings = SettingsModel(**yaml.safe_load(path.read_text(encoding="utf-8")))
    return int(settings.platform[0].split(".")[1])


def load_deployment(folder: Path, second_octet: int) -> Deployment:
    """Load an example with its loopback addresses moved to another network.

    Errors: ValueError if the files are not valid.
    """

    def read(path: Path) -> str:
        return rewrite_addresses(path.read_text(encoding="utf-8"), second_octet)

    site_file = next(iter(sorted((folder / "sites").glob("*.yaml"))))
    base, overlay = read(folder / "base.yaml"), read(site_file)
    parts = Part(PartName.BASE, 1, base.encode()), Part(PartName.OVERLAY, 1, overlay.encode())
    configuration = compile_parts(*parts)
    if isinstance(configuration, InvalidConfiguration):
        raise ValueError(f"{folder}: invalid configuration: {configuration.faults}")
    members = tuple(MemberModel(**body) for body in json.loads(read(folder / "members.json")))
    zones = {member.name: member.zone for member in members}
    texts = [read(path) for path in sorted((folder / "entries").glob("*.yaml"))]
    settings_list = [SettingsModel(**yaml.safe_load(text)) for text in texts]
    entries = tuple(
        EntryDeployment(
            settings.name,
            zones[settings.name],
            parse_endpoint(settings.fabric.listen),
            parse_endpoint(settings.admin),
            text,
        )
        for settings, text in zip(settings_list, texts, strict=True)
    )
    return Deployment(
        folder.name,
        settings_list[0].site,
        base,
        overlay,
        members,
        entries,
        parse_endpoint(settings_list[0].fabric.gateway),
        parse_endpoint(settings_list[0].platform[0]),
        configuration,
    )
