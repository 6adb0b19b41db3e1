"""Changes of the operators' files, as text in and text out."""

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
class Weigh:
    """Change the weight of a target."""

    target: str
    weight: int


@dataclass(frozen=True, slots=True)
class Remove:
    """Take a target out of its service."""

    target: str


@dataclass(frozen=True, slots=True)
class Misspell:
    """Publish an overlay that no entry VM may accept."""


FileChange = Drain | Activate | Weigh | Remove | Misspell


@dataclass(frozen=True, slots=True)
class Files:
    """Hold the text of a base file and an overlay."""

    base: str
    overlay: str


def change_files(files: Files, change: FileChange) -> Files:
    """Return the files after a change; drains are set in the overlay, the rest in the base."""
    match change:
        case Drain(target):
            return _set_state(files, target, "draining")
        case Activate(target):
            return _set_state(files, target, "active")
        case Weigh(target, weight):
            tree = yaml.safe_load(files.base)
            _find_target(tree, target)["weight"] = weight
            return replace(files, base=yaml.safe_dump(tree, sort_keys=False))
        case Remove(target):
            tree = yaml.safe_load(files.base)
            found = _find_target(tree, target)
            for service in tree["services"]:
                service["targets"] = [entry for entry in service["targets"] if entry != found]
            return replace(files, base=yaml.safe_dump(tree, sort_keys=False))
        case Misspell():
            return replace(files, overlay=files.overlay + "\nservises: []\n")
        case _:
            assert_never(change)


def service_of(base: str, target: str) -> str:
    """Return the name of the service that a target belongs to in the base file."""
    for service in yaml.safe_load(base)["services"]:
        if any(entry["name"] == target for entry in service["targets"]):
            return service["name"]
    raise ValueError(f"{target}: no such target in the base file")


def _set_state(files: Files, target: str, state: str) -> Files:
    tree = yaml.safe_load(files.overlay)
    service = _named(tree.setdefault("services", []), service_of(files.base, target))
    _named(service.setdefault("targets", []), target)["state"] = state
    return replace(files, overlay=yaml.safe_dump(tree, sort_keys=False))


def _find_target(tree: Any, name: str) -> dict[str, Any]:
    for service in tree["services"]:
        for entry in service["targets"]:
            if entry["name"] == name:
                return entry
    raise ValueError(f"{name}: no such target in the base file")


def _named(entries: list[dict[str, Any]], name: str) -> dict[str, Any]:
    for entry in entries:
        if entry["name"] == name:
            return entry
    entries.append({"name": name})
    return entries[-1]
