"""Changes to the text of the operators' configuration files."""

from dataclasses import dataclass, replace
from typing import Any, assert_never

import yaml


@dataclass(frozen=True, slots=True)
class Drain:
    """Mark a target as draining."""

    target: str


@dataclass(frozen=True, slots=True)
class Activate:
    """Mark a target as active."""

    target: str


@dataclass(frozen=True, slots=True)
class SetWeight:
    """Change the weight of a target."""

    target: str
    weight: int


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove a target from its service."""

    target: str


@dataclass(frozen=True, slots=True)
class MakeInvalid:
    """Make the overlay invalid with a misspelt key, so that every entry VM must refuse it."""


FileChange = Drain | Activate | SetWeight | Remove | MakeInvalid


@dataclass(frozen=True, slots=True)
class Files:
    """Hold the text of a base file and an overlay."""

    base: str
    overlay: str


def change_files(files: Files, change: FileChange) -> Files:
    """Return the changed files; target states go to the overlay, other changes to the base file."""
    match change:
        case Drain(target):
            return _set_state(files, target, "draining")
        case Activate(target):
            return _set_state(files, target, "active")
        case SetWeight(target, weight):
            tree = yaml.safe_load(files.base)
            _find_target(tree, target)["weight"] = weight
            return replace(files, base=yaml.safe_dump(tree, sort_keys=False))
        case Remove(target):
            tree = yaml.safe_load(files.base)
            found = _find_target(tree, target)
            for service in tree["services"]:
                service["targets"] = [entry for entry in service["targets"] if entry != found]
            return replace(files, base=yaml.safe_dump(tree, sort_keys=False))
        case MakeInvalid():
            return replace(files, overlay=files.overlay + "\nservises: []\n")
        case _:
            assert_never(change)


def find_service(base: str, target: str) -> str:
    """Return the name of the service that contains a target in the base file."""
    for service in yaml.safe_load(base)["services"]:
        if any(entry["name"] == target for entry in service["targets"]):
            return service["name"]
    raise ValueError(f"{target}: no such target in the base file")


def _set_state(files: Files, target: str, state: str) -> Files:
    tree = yaml.safe_load(files.overlay)
    service = _find_or_add(tree.setdefault("services", []), find_service(files.base, target))
    _find_or_add(service.setdefault("targets", []), target)["state"] = state
    return replace(files, overlay=yaml.safe_dump(tree, sort_keys=False))


def _find_target(tree: Any, name: str) -> dict[str, Any]:
    for service in tree["services"]:
        for entry in service["targets"]:
            if entry["name"] == name:
                return entry
    raise ValueError(f"{name}: no such target in the base file")


def _find_or_add(entries: list[dict[str, Any]], name: str) -> dict[str, Any]:
    for entry in entries:
        if entry["name"] == name:
            return entry
    entries.append({"name": name})
    return entries[-1]
