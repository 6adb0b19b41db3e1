"""JSON for programs."""

import json
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any


def to_json(report: object) -> str:
    """Return a report of data classes as JSON with the field names as keys."""
    return json.dumps(_plain(report), indent=2)


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value) and not isinstance(value, type):
        return {item.name: _plain(getattr(value, item.name)) for item in fields(value)}
    if isinstance(value, dict):
        return {str(key): _plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_plain(item) for item in value]
    return value
