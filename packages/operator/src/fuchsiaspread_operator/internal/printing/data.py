"""JSON output of reports."""

import json
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any


def to_json(report: object) -> str:
    """Serialise a report of data classes to JSON, with the field names as keys."""
    return json.dumps(_to_json_value(report), indent=2)


def _to_json_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value) and not isinstance(value, type):
        return {item.name: _to_json_value(getattr(value, item.name)) for item in fields(value)}
    if isinstance(value, dict):
        return {str(key): _to_json_value(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_to_json_value(item) for item in value]
    return value
