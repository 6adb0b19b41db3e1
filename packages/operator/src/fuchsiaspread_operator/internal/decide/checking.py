"""Validation of a user's configuration files."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import assert_never

from fuchsiaspread_configuration import (
    InvalidMembers,
    InvalidParts,
    MemberEntry,
    MembersList,
    Merged,
    OriginatedValue,
    Settings,
    compile_parts,
    load_settings,
    merge_parts,
    originated_values,
    parse_members,
    validate,
)
from fuchsiaspread_core.configuration import Configuration
from fuchsiaspread_core.parts import Fault, InvalidConfiguration, Part, PartName

from ..inputs import SITES_NAME, FileContent, FleetFiles
from ..outcomes import InvalidInput, UsageProblem
from .changes import FileWarning


@dataclass(frozen=True, slots=True)
class CheckedFiles:
    """Valid configurations by site, and the faults and warnings of all files."""

    configurations: dict[str, Configuration]
    faults: tuple[Fault, ...]
    warnings: tuple[FileWarning, ...] = ()


@dataclass(frozen=True, slots=True)
class SiteValues:
    """Merged values of one site with their origins."""

    site: str
    values: tuple[OriginatedValue, ...]


def base_part(content: bytes, index: int = 1) -> Part:
    """Return a base file as a part of a configuration."""
    return Part(PartName.BASE, index, content)


def overlay_part(content: bytes, index: int = 1) -> Part:
    """Return an overlay as a part of a configuration."""
    return Part(PartName.OVERLAY, index, content)


def with_file_names(
    faults: Iterable[Fault], base_file: str, overlay_file: str
) -> tuple[Fault, ...]:
    """Return the faults with part names replaced by file paths."""
    names = {PartName.BASE.value: base_file, PartName.OVERLAY.value: overlay_file}
    return tuple(replace(fault, file=names.get(fault.file, fault.file)) for fault in faults)


def check_files(files: FleetFiles, site: str | None = None) -> CheckedFiles | UsageProblem:
    """Compile all sites, or the given one, and check members list and settings against them."""
    overlays = [overlay for overlay in files.overlays if site in (None, overlay.stem)]
    if site is not None and not overlays:
        known = ", ".join(overlay.stem for overlay in files.overlays) or "none"
        return UsageProblem(f"there is no overlay for the site {site}", f"known sites: {known}")
    faults = [*_sites_without_overlay(files)] if site is None else []
    configurations: dict[str, Configuration] = {}
    for overlay in overlays:
        outcome = compile_parts(base_part(files.base.content), overlay_part(overlay.content))
        match outcome:
            case Configuration():
                configurations[overlay.stem] = outcome
                faults += _misnamed_site(outcome, overlay)
            case InvalidConfiguration(faults=found):
                faults += with_file_names(found, files.base.path, overlay.path)
            case _:
                assert_never(outcome)
    faults += _members_and_settings(files, [overlay.stem for overlay in files.overlays])
    warnings = tuple(_zones_without_entry(files.members, configurations))
    return CheckedFiles(configurations, tuple(dict.fromkeys(faults)), warnings)


def site_values(files: FleetFiles, site: str | None) -> SiteValues | InvalidInput | UsageProblem:
    """Return the merged values of one site."""
    chosen = [overlay for overlay in files.overlays if site in (None, overlay.stem)]
    if len(chosen) != 1:
        known = ", ".join(overlay.stem for overlay in files.overlays) or "none"
        return UsageProblem("no single site selected", f"add --site SITE; known sites: {known}")
    (overlay,) = chosen
    return merged_values(
        base_part(files.base.content), overlay_part(overlay.content)
    ).with_file_names(files.base.path, overlay.path, overlay.stem)


@dataclass(frozen=True, slots=True)
class MergedValues:
    """Merged values, or faults that still carry part names instead of file names."""

    outcome: tuple[OriginatedValue, ...] | InvalidParts

    def with_file_names(
        self, base_file: str, overlay_file: str, site: str
    ) -> SiteValues | InvalidInput:
        """Return the values, or the faults with file names."""
        match self.outcome:
            case InvalidParts(faults=faults):
                return InvalidInput(with_file_names(faults, base_file, overlay_file))
            case values:
                return SiteValues(site, values)


def merged_values(base: Part, overlay: Part) -> MergedValues:
    """Merge and validate two parts."""
    merged = merge_parts(base, overlay)
    if not isinstance(merged, Merged):
        return MergedValues(merged)
    model = validate(merged)
    if isinstance(model, InvalidParts):
        return MergedValues(model)
    return MergedValues(originated_values(merged, model))


def _sites_without_overlay(files: FleetFiles) -> list[Fault]:
    merged = merge_parts(base_part(files.base.content), overlay_part(b""))
    listed = merged.tree.get("sites") if isinstance(merged, Merged) else None
    listed = [site for site in listed if isinstance(site, str)] if isinstance(listed, list) else []
    present = {overlay.stem for overlay in files.overlays}
    faults = []
    for site in listed:
        if site not in present:
            problem = f"the site {site} has no overlay"
            remedy = f"add {SITES_NAME}/{site}.yaml; the single line site: {site} is enough"
            faults.append(Fault(files.base.path, "sites", problem, remedy))
    if not present and not listed:
        problem = "there is no overlay, so no site gets a configuration"
        remedy = f"add {SITES_NAME}/SITE.yaml; the single line site: SITE is enough"
        faults.append(Fault(files.base.path, "", problem, remedy))
    return faults


def _misnamed_site(configuration: Configuration, overlay: FileContent) -> list[Fault]:
    if configuration.site in ("", overlay.stem):
        return []
    problem = f"the site is {configuration.site}, but the file is named after {overlay.stem}"
    return [Fault(overlay.path, "site", problem, "rename the file or correct the site")]


def _members_and_settings(files: FleetFiles, sites: list[str]) -> list[Fault]:
    faults: list[Fault] = []
    entries: dict[str, MemberEntry] | None = None
    if files.members is not None:
        outcome = parse_members(files.members.content, files.members.path)
        match outcome:
            case MembersList(entries=found):
                entries = {entry.name: entry for entry in found}
            case InvalidMembers(faults=found_faults):
                faults += found_faults
            case _:
                assert_never(outcome)
    for file in files.settings:
        settings = load_settings(file.content, file.path)
        if not isinstance(settings, Settings):
            faults += settings
            continue
        faults += _settings_faults(settings, file.path, sites, entries)
    return faults


def _zones_without_entry(
    members: FileContent | None, configurations: dict[str, Configuration]
) -> Iterator[FileWarning]:
    listed = parse_members(members.content) if members is not None else None
    # A members list covers one site; with several sites it is unknown which one.
    if not isinstance(listed, MembersList) or len(configurations) != 1:
        return
    zones = {entry.zone for entry in listed.entries}
    for site, configuration in configurations.items():
        for service in configuration.services:
            for zone in sorted({target.zone for target in service.targets} - zones):
                problem = f"the zone {zone} has targets but no entry VM in the list of members"
                step = "check the spelling of the zone, or add an entry VM there"
                yield FileWarning(site, f"services.{service.name}.targets", problem, step)


def _settings_faults(
    settings: Settings, path: str, sites: list[str], entries: dict[str, MemberEntry] | None
) -> list[Fault]:
    faults = []
    if settings.site not in sites:
        remedy = "correct the site, or add its overlay"
        faults.append(Fault(path, "site", f"the site {settings.site} has no overlay", remedy))
    entry = (entries or {}).get(settings.name)
    if entries is not None and entry is None:
        remedy = "correct the name, or add the entry VM to the platform's list of members"
        problem = f"{settings.name} is not in the list of members"
        faults.append(Fault(path, "name", problem, remedy))
    for key in ("zone", "peer", "control", "admin") if entry is not None else ():
        if getattr(settings, key) != getattr(entry, key):
            problem = f"{key} differs from the list of members"
            faults.append(Fault(path, key, problem, "set both to the same value"))
    return faults
