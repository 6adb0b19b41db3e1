"""Values in force for a site, each with its origin: a file or the default."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from fuchsiaspread_core.identifiers import Endpoint
from pydantic import BaseModel

from .internal.merging import KeyPath, Merged, dotted_key, item_label
from .models import ServiceModel, SiteModel

FROM_DEFAULT = "default"
_INHERITED = ("slots", "connections")


@dataclass(frozen=True, slots=True)
class OriginatedValue:
    """Hold a key, its value and where the value comes from: base, overlay or default."""

    key: str
    value: str | int | float | bool
    origin: str


def originated_values(merged: Merged, model: SiteModel) -> tuple[OriginatedValue, ...]:
    """Return every value of a valid site; a target includes values inherited from its service."""
    return tuple(_values(model, merged.tree, (), merged, {}))


def _values(
    model: BaseModel, tree: dict[str, Any], path: KeyPath, merged: Merged, inherited: dict[str, Any]
) -> Iterator[OriginatedValue]:
    # The key of an item already contains its name.
    for key in (key for key in type(model).model_fields if key != "name"):
        value, child_path = getattr(model, key), (*path, key)
        origin = merged.origin(child_path) if key in tree else FROM_DEFAULT
        if value is None and key in inherited:
            value, origin = inherited[key]
        match value:
            case None:
                continue
            case BaseModel():
                yield from _values(value, tree.get(key, {}), child_path, merged, {})
            case list():
                yield from _items(
                    value, tree[key], child_path, merged, _inheritable_values(model, path, merged)
                )
            case Endpoint(host=host, port=port):
                yield OriginatedValue(dotted_key(child_path), f"{host}:{port}", origin)
            case _:
                yield OriginatedValue(dotted_key(child_path), value, origin)


def _items(
    items: list[Any], tree: list[Any], path: KeyPath, merged: Merged, inherited: dict[str, Any]
) -> Iterator[OriginatedValue]:
    for index, (item, item_tree) in enumerate(zip(items, tree, strict=True)):
        child_path = (*path, item_label(item_tree, index))
        if isinstance(item, BaseModel):
            yield from _values(item, item_tree, child_path, merged, inherited)
        else:
            yield OriginatedValue(dotted_key(child_path), item, merged.origin(child_path))


def _inheritable_values(model: BaseModel, path: KeyPath, merged: Merged) -> dict[str, Any]:
    if not isinstance(model, ServiceModel):
        return {}
    return {
        key: (getattr(model, key), merged.origin((*path, key)))
        for key in _INHERITED
        if getattr(model, key) is not None
    }
