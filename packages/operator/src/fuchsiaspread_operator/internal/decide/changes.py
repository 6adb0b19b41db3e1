"""What changes between two configurations of a site, and what to beware of."""

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

# A change that takes away more than a third of a service's slots deserves a second look, since
# the loss of one more host can then bring the service to its limit.
LARGE_CAPACITY_LOSS = 1 / 3


@dataclass(frozen=True, slots=True)
class Change:
    """Describe one difference; `None` stands for a key that is not there."""

    site: str
    key: str
    before: str | None
    after: str | None


@dataclass(frozen=True, slots=True)
class FileWarning:
    """Describe what is valid but may do harm."""

    site: str
    key: str
    problem: str
    next_step: str


@dataclass(frozen=True, slots=True)
class Comparison:
    """Hold the differences between two configurations and the warnings about them."""

    changes: tuple[Change, ...] = ()
    warnings: tuple[FileWarning, ...] = ()


def compare_sites(before: dict[str, Configuration], after: dict[str, Configuration]) -> Comparison:
    """Compare the configurations of all sites that either side has."""
    changes: list[Change] = []
    warnings: list[FileWarning] = []
    for site in dict.fromkeys((*before, *after)):
        compared = compare(site, before.get(site), after.get(site))
        changes += compared.changes
        warnings += compared.warnings
    return Comparison(tuple(changes), tuple(warnings))


def compare(site: str, before: Configuration | None, after: Configuration | None) -> Comparison:
    """Compare the configuration in force with the one to come."""
    if before is None or after is None:
        change = Change(site, "", None if before is None else "present", after and "present")
        warnings = () if after else (_site_removed(site),)
        return Comparison((change,), warnings)
    old, new = _flat(before), _flat(after)
    changes = tuple(
        Change(site, key, old.get(key), new.get(key))
        for key in dict.fromkeys((*old, *new))
        if old.get(key) != new.get(key)
    )
    return Comparison(changes, tuple(_warnings(site, before, after)))


def _site_removed(site: str) -> FileWarning:
    problem = "the site is no longer configured; its last configuration stays in force there"
    return FileWarning(site, "", problem, "stop the site's entry VMs when their flows have ended")


def _flat(configuration: Configuration) -> dict[str, str]:
    values: dict[str, str] = {}
    for service in configuration.services:
        path = f"services.{service.name}"
        for item in fields(service.objective):
            values[f"{path}.objective.{item.name}"] = str(getattr(service.objective, item.name))
        for address in service.addresses:
            values[f"{path}.addresses.{_text(address.endpoint)}"] = _kind_text(address.kind)
        for target in service.targets:
            for item in fields(target):
                if item.name != "name":
                    key = f"{path}.targets.{target.name}.{item.name}"
                    values[key] = _text(getattr(target, item.name))
    return values


def _text(value: object) -> str:
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
            problem = "the service is removed; its callers get no answer"
            step = "drain its targets and wait until no flow is open before you remove it"
            yield FileWarning(site, f"services.{old.name}", problem, step)
            continue
        yield from _zone_warnings(site, old, new)
        yield from _target_warnings(site, old, new)
        yield from _capacity_warnings(site, old, new)
    yield from _address_warnings(site, before, after)
    yield from _moved_targets(site, before, after)


def _active(service: Service) -> list[Target]:
    return [target for target in service.targets if target.state is TargetState.ACTIVE]


def _zone_warnings(site: str, old: Service, new: Service) -> Iterator[FileWarning]:
    key = f"services.{new.name}.targets"
    if _active(old) and not _active(new):
        problem = "this drains the last target of the service; every new open is refused"
        yield FileWarning(site, key, problem, "keep one target active until another one is added")
        return
    remaining = Counter(target.zone for target in _active(new))
    for zone in sorted({target.zone for target in _active(old)}):
        if not remaining[zone]:
            problem = (
                f"this drains the last target of the zone {zone}; its callers cross zones, and "
                "get no new work done while the zone is cut off"
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
                step = "set state: draining, wait until status shows no flow, then remove it"
                yield FileWarning(site, key, problem, step)
            continue
        if after.tunnel != target.tunnel:
            problem = "the tunnel address changes; flows that are open on the old one break"
            yield FileWarning(site, f"{key}.tunnel", problem, "add the new host under a new name")
        if after.zone != target.zone:
            problem = f"the target moves from zone {target.zone} to {after.zone}"
            yield FileWarning(
                site, f"{key}.zone", problem, "make sure that the host has really moved"
            )


def _capacity_warnings(site: str, old: Service, new: Service) -> Iterator[FileWarning]:
    for key in ("slots", "connections"):
        had = sum(getattr(target, key) for target in _active(old))
        has = sum(getattr(target, key) for target in _active(new))
        if _active(new) and has < had * (1 - LARGE_CAPACITY_LOSS):
            problem = f"{key} of the active targets fall from {had} to {has}"
            step = "publish in smaller steps and watch the refusals in burn"
            yield FileWarning(site, f"services.{new.name}", problem, step)


def _address_warnings(
    site: str, before: Configuration, after: Configuration
) -> Iterator[FileWarning]:
    old = {a.endpoint: (s.name, a.kind) for s in before.services for a in s.addresses}
    new = {a.endpoint: (s.name, a.kind) for s in after.services for a in s.addresses}
    for endpoint, (service, kind) in old.items():
        after_name, after_kind = new.get(endpoint, (None, None))
        key = f"services.{after_name or service}.addresses.{_text(endpoint)}"
        if after_name is None:
            problem = f"the address is removed from {service}; its callers get no answer"
            yield FileWarning(site, key, problem, "move the callers to another address first")
        elif after_name != service:
            problem = f"this address served another service until now: {service}"
            step = "wait until its flows have ended; lost flow records cannot be recovered there"
            yield FileWarning(site, key, problem, step)
        elif type(after_kind) is not type(kind):
            problem = "the address changes between stream and request"
            yield FileWarning(site, key, problem, "use a new address for the other kind of flow")
        elif _may_repeat(after_kind) and not _may_repeat(kind):
            problem = "requests become repeatable; a request may run more than once"
            yield FileWarning(site, key, problem, "make sure that repeating them does no harm")


def _may_repeat(kind: AddressKind | None) -> bool:
    return isinstance(kind, RequestKind) and kind.repeatable


def _moved_targets(site: str, before: Configuration, after: Configuration) -> Iterator[FileWarning]:
    old_hosts = {t.tunnel.host: (s.name, t.name) for s in before.services for t in s.targets}
    for service in after.services:
        for target in service.targets:
            was = old_hosts.get(target.tunnel.host)
            if was is not None and was[0] != service.name:
                key = f"services.{service.name}.targets.{target.name}"
                problem = f"this host was the target {was[1]} of {was[0]} until now"
                step = "drain it there, wait until status shows no flow, then move it"
                yield FileWarning(site, key, problem, step)
