"""JSON Schemas of the configuration files, for editors and other programs."""

from typing import Any

from .internal.merging import NAMED_LISTS
from .models import SiteModel
from .settings import SettingsModel

Schema = dict[str, Any]


def base_schema() -> Schema:
    """Return the JSON Schema of a base file."""
    return _titled(SiteModel.model_json_schema(), "fuchsiaspread base file")


def overlay_schema() -> Schema:
    """Return the JSON Schema of an overlay: keys are optional, and `null` removes them."""
    schema = SiteModel.model_json_schema()
    for model in (schema, *schema["$defs"].values()):
        model["required"] = ["name"] if "name" in model["properties"] else []
        model["properties"] = {
            key: _optional(key, value) for key, value in model["properties"].items()
        }
    return _titled(schema, "fuchsiaspread overlay")


def settings_schema() -> Schema:
    """Return the JSON Schema of the settings of an entry VM."""
    return _titled(SettingsModel.model_json_schema(), "fuchsiaspread entry VM settings")


def _titled(schema: Schema, title: str) -> Schema:
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        **schema,
        "title": title,
    }


def _optional(key: str, value: Schema) -> Schema:
    if key == "name":
        return value
    if key == "addresses":
        # An overlay may omit the kind, so the kind cannot serve as the discriminator.
        items = value["items"]
        value = {**value, "items": {"anyOf": items["oneOf"]}}
    value = {name: part for name, part in value.items() if name not in ("default", "minItems")}
    forms = [value, {"type": "null"}]
    if key in NAMED_LISTS:
        forms.append({"type": "object", "description": "from name to item; null removes the item"})
    return {"anyOf": forms}
