"""Merge a base file and an overlay, and record the origin of each value."""

from dataclasses import dataclass, field
from typing import Any

from fuchsiaspread_core.parts import Fault

from .loading import Document

KeyPath = tuple[str, ...]
# Lists whose items have a name; an overlay may contain them as mappings from name to item.
NAMED_LISTS = frozenset({"services", "addresses", "targets"})


@dataclass(frozen=True, slots=True)
class Merged:
    """Hold the merged values; `origins` gives the file of each path."""

    tree: Any
    origins: dict[KeyPath, str] = field(default_factory=dict)

    def origin(self, path: KeyPath) -> str:
        """Return the file that set a value or, if unknown, that of its nearest ancestor."""
        while path and path not in self.origins:
            path = path[:-1]
        return self.origins.get(path, "base")


def dotted_key(path: KeyPath) -> str:
    """Return a path as a dotted key; the index of an unnamed item follows without a dot."""
    return ".".join(path).replace(".[", "[")


def item_label(item: Any, index: int) -> str:
    """Return the path element of a list item: its name, or else its index."""
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) and name else f"[{index}]"


def duplicate_names(document: Document) -> list[Fault]:
    """Return a fault for each name that appears twice in one list of a file."""
    faults: list[Fault] = []

    def visit(tree: Any, path: KeyPath) -> None:
        match tree:
            case dict():
                for key, value in tree.items():
                    visit(value, (*path, key))
            case list() if path and path[-1] in NAMED_LISTS:
                seen: set[str] = set()
                for index, item in enumerate(tree):
                    label = item_label(item, index)
                    if label in seen:
                        key = dotted_key((*path, label))
                        remedy = "rename one of the two, or remove it"
                        faults.append(Fault(document.file, key, "the name appears twice", remedy))
                    seen.add(label)
                    visit(item, (*path, label))
            case _:
                pass

    visit(document.tree, ())
    return faults


def merge(base: Document, overlay: Document) -> Merged:
    """Merge an overlay into a base file.

    Mappings are merged by key and named lists by name; `null` removes a value, and any other value
    replaces that of the base file.
    """
    merger = _Merger(base.file, overlay.file)
    tree = merger.merge_values(base.tree, overlay.tree, ())
    return Merged(tree, merger.origins)


class _Merger:
    """Merge two trees recursively and record which file each value comes from."""

    def __init__(self, base_file: str, overlay_file: str) -> None:
        self.origins: dict[KeyPath, str] = {(): base_file}
        self._base_file = base_file
        self._overlay_file = overlay_file

    def merge_values(self, base: Any, overlay: Any, path: KeyPath) -> Any:
        """Return the merge of two values, neither of which is `null`."""
        if path and path[-1] in NAMED_LISTS and isinstance(base, list):
            items = _named_items(overlay)
            if items is not None:
                return self._merge_named_items(base, items, path)
        if isinstance(base, dict) and isinstance(overlay, dict):
            return self._merge_mappings(base, overlay, path)
        return self._copy_with_origin(overlay, self._overlay_file, path)

    def _merge_mappings(
        self, base: dict[str, Any], overlay: dict[str, Any], path: KeyPath
    ) -> dict[str, Any]:
        self.origins[path] = self._base_file
        result: dict[str, Any] = {}
        for key in dict.fromkeys((*base, *overlay)):
            child_path = (*path, key)
            if key in overlay and overlay[key] is None:
                continue
            if base.get(key) is None and key in overlay:
                result[key] = self._copy_with_origin(overlay[key], self._overlay_file, child_path)
            elif key not in overlay:
                if base[key] is not None:
                    result[key] = self._copy_with_origin(base[key], self._base_file, child_path)
            elif key == "name" and base[key] == overlay[key]:
                # The overlay repeats the name only to identify the item that it changes.
                result[key] = self._copy_with_origin(base[key], self._base_file, child_path)
            else:
                result[key] = self.merge_values(base[key], overlay[key], child_path)
        return result

    def _merge_named_items(
        self, base: list[Any], overlay: list[tuple[str, Any]], path: KeyPath
    ) -> list[Any]:
        self.origins[path] = self._base_file
        changes = dict(overlay)
        result: list[Any] = []
        for index, item in enumerate(base):
            label = item_label(item, index)
            child_path = (*path, label)
            if label not in changes:
                result.append(self._copy_with_origin(item, self._base_file, child_path))
                continue
            change = changes.pop(label)
            if change is not None:
                result.append(self.merge_values(item, change, child_path))
        for item in changes.values():
            if item is not None:
                child_path = (*path, item_label(item, len(result)))
                result.append(self._copy_with_origin(item, self._overlay_file, child_path))
        return result

    def _copy_with_origin(self, tree: Any, file: str, path: KeyPath) -> Any:
        """Return a copy of a value, and record its file at each path.

        Nulls in mappings are dropped. A named list of the overlay may be a mapping: it becomes a
        list, and its nulls are dropped.
        """
        self.origins[path] = file
        if path and path[-1] in NAMED_LISTS and file == self._overlay_file:
            items = _named_items(tree)
            tree = tree if items is None else [item for _, item in items if item is not None]
        match tree:
            case dict():
                return {
                    key: self._copy_with_origin(value, file, (*path, key))
                    for key, value in tree.items()
                    if value is not None
                }
            case list():
                return [
                    self._copy_with_origin(item, file, (*path, item_label(item, index)))
                    for index, item in enumerate(tree)
                ]
            case _:
                return tree


def _named_items(overlay: Any) -> list[tuple[str, Any]] | None:
    match overlay:
        case list():
            # A negative index in the label distinguishes unnamed items from those of the base file.
            return [(item_label(item, -1 - index), item) for index, item in enumerate(overlay)]
        case dict():
            return [
                (name, {**item, "name": name} if isinstance(item, dict) else item)
                for name, item in overlay.items()
            ]
        case _:
            return None
