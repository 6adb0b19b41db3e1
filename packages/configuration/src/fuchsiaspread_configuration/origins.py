"""Values in force for a site, each with the file that it comes from."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from fuchsiaspread_core.identifiers import Endpoint
from pydantic import BaseModel

from .internal.merging import Merged, Path, describe, item_label
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
    """Return every value of a valid site; a target shows the slots it takes from its service."""
    return tuple(_values(model, merged.tree, (), merged, {}))


def _values(
    model: BaseModel, tree: dict[str, Any], path: Path, merged: Merged, inherited: dict[str, Any]
) -> Iterator[OriginatedValue]:
    # The name of an item is in its key already.
    for key in (key for key in type(model).model_fields if key != "name"):
        value, below = getattr(model, key), (*path, key)
        origin = merged.origin(below) if key in tree else FROM_DEFAULT
        if value is None and key in inherited:
            value, origin = inherited[key]
        match value:
            case None:
                continue
            case BaseModel():
                yield from _values(value, tree.get(key, {}), below, merged, {})
            case list():
                yield from _items(value, tree[key], below, merged, _shared(model, path, merged))
            case Endpoint(host=host, port=port):
                yield OriginatedValue(describe(below), f"{host}:{port}", origin)
            case _:
                yield OriginatedValue(describe(below), value, origin)


def _items(
    items: list[Any], tree: list[Any], path: Path, merged: Merged, inherited: dict[str, Any]
) -> Iterator[OriginatedValue]:
    for index, (item, item_tree) in enumerate(zip(items, tree, strict=True)):
        below = (*path, item_label(item_tree, index))
        if isinstance(item, BaseModel):
            yield from _values(item, item_tree, below, merged, inherited)
        else:
            yield OriginatedValue(describe(below), item, merged.origin(below))


def _shared(model: BaseModel, path: Path, merged: Merged) -> dict[str, Any]:
    if not isinstance(model, ServiceModel):
        return {}
    return {
        key: (getattr(model, key), merged.origin((*path, key)))
        for key in _INHERITED
        if getattr(model, key) is not None
    }
