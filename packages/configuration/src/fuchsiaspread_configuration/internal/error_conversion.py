"""Convert pydantic's validation errors to faults."""

import difflib
from collections.abc import Iterable
from typing import Any

from fuchsiaspread_core.parts import Fault
from pydantic import ValidationError

from .excerpts import excerpt
from .merging import KeyPath, Merged, dotted_key, item_label
from .values import ENDPOINT_REMEDY

_TYPES = {
    "int_type": "a whole number",
    "string_type": "text",
    "float_type": "a number",
    "bool_type": "true or false",
    "list_type": "a list",
    "dict_type": "a mapping",
    "model_type": "a mapping",
    "model_attributes_type": "a mapping",
}
_BOUNDS = {
    "greater_than_equal": ("ge", "at least"),
    "greater_than": ("gt", "greater than"),
    "less_than_equal": ("le", "at most"),
    "less_than": ("lt", "less than"),
}


def convert_errors(
    error: ValidationError, merged: Merged, known_keys: Iterable[str]
) -> list[Fault]:
    """Return one fault for each error that pydantic found in merged values."""
    known = tuple(known_keys)
    faults = []
    for detail in error.errors(include_url=False):
        path = _path(detail["loc"], merged.tree)
        problem, remedy = _describe_error(detail, path, known)
        faults.append(Fault(merged.origin(path), dotted_key(path), problem, remedy))
    return faults


def _path(location: tuple[int | str, ...], tree: Any) -> KeyPath:
    path: list[str] = []
    current = tree
    for depth, step in enumerate(location):
        is_last = depth == len(location) - 1
        match current, step:
            case list(), int() if step < len(current):
                path.append(item_label(current[step], step))
                current = current[step]
            case dict(), str() if step in current or is_last:
                path.append(step)
                current = current.get(step)
            case _:
                # Skip a step that is not in the file: pydantic has added it as the tag of a union.
                continue
    return tuple(path)


def _describe_error(detail: Any, path: KeyPath, known: tuple[str, ...]) -> tuple[str, str]:
    kind, found = detail["type"], excerpt(detail["input"])
    context = detail.get("ctx", {})
    last = path[-1] if path else "file"
    match kind:
        case "missing":
            return "the key is missing", f"add {last}"
        case "extra_forbidden":
            close = difflib.get_close_matches(last, known, n=1)
            hint = f"; did you mean {close[0]}?" if close else ""
            return "the key is not known here", f"remove it or correct its spelling{hint}"
        case "union_tag_not_found":
            return "the key kind is missing", "add kind: stream or kind: request"
        case "union_tag_invalid":
            return f"kind is {excerpt(context.get('tag'))}", "write kind: stream or kind: request"
        case "literal_error":
            return f"{found} is not allowed here", f"write {context.get('expected')}"
        case "string_pattern_mismatch":
            return f"{found} does not have the right format", _pattern_remedy(last)
        case "too_short":
            return f"{last} is empty", f"add at least one entry to {last}"
        case "fuchsiaspread":
            return f"{found}: {context['problem']}", ENDPOINT_REMEDY
    if kind in _TYPES:
        return f"expected {_TYPES[kind]}, found {found}", f"write {_TYPES[kind]}"
    if kind in _BOUNDS:
        field, comparison = _BOUNDS[kind]
        return f"{found} is out of range", f"write a value of {comparison} {context[field]}"
    return f"{found}: {detail['msg']}", "correct the value"


def _pattern_remedy(last: str) -> str:
    if last == "secret":
        return "write 64 hexadecimal digits"
    return "use lower-case letters, digits and hyphens, 63 characters at most"
