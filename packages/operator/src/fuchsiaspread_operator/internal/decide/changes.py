"""Differences between two configurations of a site, with warnings about risky changes."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, fields

from fuchsiaspread_core.configuration import (
    AddressKind,
    Configuration,
    RequestKind,
    Service,
    Target,
    TargetState,
)
from fuchsiaspread_core.identifiers import Endpoint

# Warn if a change removes more than a third of a service's slots or connections: the loss of one
# more host could then exhaust its capacity.
LARGE_CAPACITY_LOSS = 1 / 3


@dataclass(frozen=True, slots=True)
class Change:
    """One difference; a value of `None` means that the key is absent on that side."""

    site: str
    key: str
    before: str | None
    after: str | None


@dataclass(frozen=True, slots=True)
class FileWarning:
    """Warning about files or a change that are valid but may cause harm."""

    site: str
    key: str
    problem: str
    next_step: str


@dataclass(frozen=True, slots=True)
class Comparison:
    """Differences between two configurations, and the warnings about them."""

    changes: tuple[Change, ...] = ()
    warnings: tuple[FileWarning, ...] = ()


def compare_sites(before: dict[str, Configuration], after: dict[str, Configuration]) -> Comparison:
    """Compare the configurations of all sites that exist on either side."""
    changes: list[Change] = []
    warnings: list[FileWarning] = []
    for site in dict.fromkeys((*before, *after)):
        compared = compare(site, before.get(site), after.get(site))
        changes += compared.changes
        warnings += compared.warnings
    return Comparison(tuple(changes), tuple(warnings))


def compare(site: str, before: Configuration | None, after: Configuration | None) -> Comparison:
    """Compare the configuration in force with the new one."""
    if before is None or after is None:
        change = Change(site, "", None if before is None else "present", after and "present")
        warnings = () if after else (_site_removed(site),)
        return Comparison((change,), warnings)
    old, new = _flatten(before), _flatten(after)
    changes = tuple(
        Change(site, key, old.get(key), new.get(key))
        for key in dict.fromkeys((*old, *new))
        if old.get(key) != new.get(key)
    )
    return Comparison(changes, tuple(_warnings(site, before, after)))


def _site_removed(site: str) -> FileWarning:
    problem = "the site is removed; its entry VMs keep using its last configuration"
    return FileWarning(site, "", problem, "stop the site's entry VMs after their flows have ended")


def _flatten(configuration: Configuration) -> dict[str, str]:
    values: dict[str, str] = {}
    for service in configuration.services:
        path = f"services.{service.name}"
        for item in fields(service.objective):
            values[f"{path}.objective.{item.name}"] = str(getattr(service.objective, item.name))
        for address in service.addresses:
            values[f"{path}.addresses.{_value_text(address.endpoint)}"] = _kind_text(address.kind)
        for target in service.targets:
            for item in fields(target):
                if item.name != "name":
                    key = f"{path}.targets.{target.name}.{item.name}"
                    values[key] = _value_text(getattr(target, item.name))
    return values


def _value_text(value: object) -> str:
    match value:
        case None:
            return "none"
        case Endpoint(host=host, port=port):
            return f"{host}:{port}"
        case _:
            return str(value)


def _kind_text(kind: AddressKind) -> str:
    if isinstance(kind, RequestKind):
        repeatable = "repeatable" if kind.repeatable else "not repeatable"
        return f"request, {kind.deadline_ms} ms, {repeatable}"
    return f"stream, opens within {kind.open_deadline_ms} ms"


def _warnings(site: str, before: Configuration, after: Configuration) -> Iterator[FileWarning]:
    new_services = {service.name: service for service in after.services}
    for old in before.services:
        new = new_services.get(old.name)
        if new is None:
            problem = "the service is removed; its callers will get no response"
            step = "first drain its targets and wait until no flow is open"
            yield FileWarning(site, f"services.{old.name}", problem, step)
            continue
        yield from _zone_warnings(site, old, new)
        yield from _target_warnings(site, old, new)
        yield from _capacity_warnings(site, old, new)
    yield from _address_warnings(site, before, after)
    yield from _reused_host_warnings(site, before, after)


def _active(service: Service) -> list[Target]:
    return [target for target in service.targets if target.state is TargetState.ACTIVE]


def _zone_warnings(site: str, old: Service, new: Service) -> Iterator[FileWarning]:
    key = f"services.{new.name}.targets"
    if _active(old) and not _active(new):
        problem = "this drains the last target of the service; every new flow will be refused"
        yield FileWarning(site, key, problem, "keep a target active until another one is added")
        return
    remaining = Counter(target.zone for target in _active(new))
    for zone in sorted({target.zone for target in _active(old)}):
        if not remaining[zone]:
            problem = (
                f"this drains the last target of the zone {zone}; new flows from the zone go to "
                "other zones, and fail while the zone is partitioned from them"
            )
            yield FileWarning(site, key, problem, f"add or activate another target in {zone} first")


def _target_warnings(site: str, old: Service, new: Service) -> Iterator[FileWarning]:
    new_targets = {target.name: target for target in new.targets}
    for target in old.targets:
        key = f"services.{old.name}.targets.{target.name}"
        after = new_targets.get(target.name)
        if after is None:
            if target.state is TargetState.ACTIVE:
                problem = "the target is removed while it is active; its open flows may break"
                step = (
                    "set state: draining, wait until status shows no busy slots and no connections "
                    "for it, then remove it"
                )
                yield FileWarning(site, key, problem, step)
            continue
        if after.tunnel != target.tunnel:
            problem = "the tunnel address changes; open flows to the old address will break"
            yield FileWarning(site, f"{key}.tunnel", problem, "add the new host under a new name")
        if after.zone != target.zone:
            problem = f"the target moves from zone {target.zone} to {after.zone}"
            yield FileWarning(
                site, f"{key}.zone", problem, "check that the host has actually been moved"
            )


def _capacity_warnings(site: str, old: Service, new: Service) -> Iterator[FileWarning]:
    for key in ("slots", "connections"):
        old_total = sum(getattr(target, key) for target in _active(old))
        new_total = sum(getattr(target, key) for target in _active(new))
        if _active(new) and new_total < old_total * (1 - LARGE_CAPACITY_LOSS):
            problem = f"{key} of the active targets fall from {old_total} to {new_total}"
            step = "publish the change in smaller steps and watch refused flows with burn"
            yield FileWarning(site, f"services.{new.name}", problem, step)


def _address_warnings(
    site: str, before: Configuration, after: Configuration
) -> Iterator[FileWarning]:
    old = {a.endpoint: (s.name, a.kind) for s in before.services for a in s.addresses}
    new = {a.endpoint: (s.name, a.kind) for s in after.services for a in s.addresses}
    for endpoint, (service, kind) in old.items():
        after_name, after_kind = new.get(endpoint, (None, None))
        key = f"services.{after_name or service}.addresses.{_value_text(endpoint)}"
        if after_name is None:
            problem = f"the address is removed from {service}; its callers will get no response"
            yield FileWarning(site, key, problem, "first move the callers to another address")
        elif after_name != service:
            problem = f"this address served another service until now: {service}"
            step = "first wait until its flows have ended; a lost flow record cannot be recovered"
            yield FileWarning(site, key, problem, step)
        elif type(after_kind) is not type(kind):
            problem = "the kind of the address changes between stream and request"
            yield FileWarning(site, key, problem, "use a new address for the other kind of flow")
        elif _is_repeatable(after_kind) and not _is_repeatable(kind):
            problem = "requests become repeatable; a request may run more than once"
            yield FileWarning(site, key, problem, "check that the requests are idempotent")


def _is_repeatable(kind: AddressKind | None) -> bool:
    return isinstance(kind, RequestKind) and kind.repeatable


def _reused_host_warnings(
    site: str, before: Configuration, after: Configuration
) -> Iterator[FileWarning]:
    old_hosts = {t.tunnel.host: (s.name, t.name) for s in before.services for t in s.targets}
    for service in after.services:
        for target in service.targets:
            former = old_hosts.get(target.tunnel.host)
            if former is not None and former[0] != service.name:
                key = f"services.{service.name}.targets.{target.name}"
                problem = f"this host was the target {former[1]} of {former[0]} until now"
                step = (
                    "drain it there, wait until status shows no busy slots and no connections for "
                    "it, then move it"
                )
                yield FileWarning(site, key, problem, step)
