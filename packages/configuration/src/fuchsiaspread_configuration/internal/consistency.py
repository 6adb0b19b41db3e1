"""Checks across several values of a merged configuration.

The values may be invalid and of any type: these checks also run when the validation of single
values fails, so that all faults are reported at once.
"""

from collections.abc import Iterator
from typing import Any

from fuchsiaspread_core.parts import Fault

from .merging import KeyPath, Merged, dotted_key, item_label

Item = tuple[KeyPath, dict[str, Any]]


def inconsistencies(merged: Merged) -> list[Fault]:
    """Return the faults that can only be found by comparing several values."""
    return [
        *_site_faults(merged),
        *_duplicate_addresses(merged),
        *_repeated_targets(merged),
        *_missing_capacity(merged),
    ]


def _items(tree: Any, key: str, path: KeyPath) -> Iterator[Item]:
    entries = tree.get(key) if isinstance(tree, dict) else None
    for index, item in enumerate(entries if isinstance(entries, list) else ()):
        if isinstance(item, dict):
            yield (*path, key, item_label(item, index)), item


def _items_of_services(merged: Merged, key: str) -> Iterator[tuple[Item, Item]]:
    for path, service in _items(merged.tree, "services", ()):
        for item in _items(service, key, path):
            yield (path, service), item


def _fault(merged: Merged, path: KeyPath, problem: str, remedy: str) -> Fault:
    return Fault(merged.origin(path), dotted_key(path), problem, remedy)


def _site_faults(merged: Merged) -> Iterator[Fault]:
    if not isinstance(merged.tree, dict):
        return
    site, sites = merged.tree.get("site"), merged.tree.get("sites")
    if isinstance(site, str) and isinstance(sites, list) and site not in sites:
        problem = f"the site {site} is not in the list sites"
        remedy = "correct the site of the overlay, or add it to sites in the base file"
        yield _fault(merged, ("site",), problem, remedy)


def _duplicate_addresses(merged: Merged) -> Iterator[Fault]:
    seen: dict[str, str] = {}
    for (service_path, _), (path, item) in _items_of_services(merged, "addresses"):
        address = item.get("address")
        if not isinstance(address, str):
            continue
        if address in seen:
            problem = f"{address} is also the address of {seen[address]}"
            remedy = "change one of the two; each address may be listed only once"
            yield _fault(merged, (*path, "address"), problem, remedy)
        else:
            seen[address] = f"{service_path[-1]}/{path[-1]}"


def _repeated_targets(merged: Merged) -> Iterator[Fault]:
    names: dict[str, KeyPath] = {}
    hosts: dict[str, KeyPath] = {}
    for _, (path, target) in _items_of_services(merged, "targets"):
        first = names.setdefault(path[-1], path)
        # Duplicates within one list are reported by `duplicate_names`, with their file.
        if first[1] != path[1]:
            problem = f"a target of this name is also under the service {first[1]}"
            remedy = "a target serves one service; rename it or remove one entry"
            yield _fault(merged, path, problem, remedy)
        tunnel = target.get("tunnel")
        if not isinstance(tunnel, str):
            continue
        host = tunnel.rpartition(":")[0]
        first = hosts.setdefault(host, path)
        if first != path:
            problem = f"the host {host} is also the host of the target {first[1]}/{first[-1]}"
            remedy = (
                "give each target its own host; the source host of a reply identifies its target"
            )
            yield _fault(merged, (*path, "tunnel"), problem, remedy)


def _missing_capacity(merged: Merged) -> Iterator[Fault]:
    for (_, service), (path, target) in _items_of_services(merged, "targets"):
        for key in ("slots", "connections"):
            if key not in service and key not in target:
                problem = f"neither the target nor its service has a value for {key}"
                remedy = f"add {key} to the service, or to the target if it differs"
                yield _fault(merged, (*path, key), problem, remedy)
