"""Load YAML and JSON documents with limits on size and content."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import yaml
from fuchsiaspread_core.parts import Fault

from .excerpts import truncate_line
from .tree_builder import TreeBuilder, UnusableYaml

# The platform limits values to one megabyte.
MAX_CONTENT_BYTES = 1_000_000
MAX_FAULTS = 100

# The C parser parses a file of a megabyte about ten times as fast as the one in Python.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True)
class Document:
    """Hold the values of a loaded file as plain dicts, lists and scalars."""

    file: str
    tree: Any


@dataclass(frozen=True, slots=True)
class UnreadableDocument:
    """Report that a file could not be loaded."""

    faults: tuple[Fault, ...]


def limited(faults: Iterable[Fault]) -> tuple[Fault, ...]:
    """Return at most `MAX_FAULTS` distinct faults, and one that counts the rest."""
    distinct = tuple(dict.fromkeys(faults))
    if len(distinct) <= MAX_FAULTS:
        return distinct
    rest = len(distinct) - MAX_FAULTS
    more = Fault(distinct[MAX_FAULTS].file, "", f"{rest} more faults", "correct those above first")
    return (*distinct[:MAX_FAULTS], more)


def load_yaml(content: bytes, file: str) -> Document | UnreadableDocument:
    """Load one YAML document; an empty document is loaded as an empty mapping."""
    decoded = _decode(content, file)
    if isinstance(decoded, Fault):
        return UnreadableDocument((decoded,))
    try:
        builder = TreeBuilder(file)
        for event in yaml.parse(decoded, Loader=_Loader):
            builder.feed(event)
    except yaml.YAMLError as error:
        return UnreadableDocument((_syntax_fault(error, file),))
    except UnusableYaml as unusable:
        return UnreadableDocument((unusable.fault,))
    if builder.faults:
        return UnreadableDocument(limited(builder.faults))
    return Document(file, {} if builder.tree is None else builder.tree)


def load_json(content: bytes, file: str) -> Document | UnreadableDocument:
    """Load one JSON document."""
    decoded = _decode(content, file)
    if isinstance(decoded, Fault):
        return UnreadableDocument((decoded,))
    try:
        return Document(file, json.loads(decoded, object_pairs_hook=_unique_pairs))
    except (ValueError, RecursionError) as error:
        problem = f"the content is not valid JSON: {truncate_line(str(error))}"
        return UnreadableDocument((Fault(file, "", problem, "correct the JSON and try again"),))


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) < len(pairs):
        raise ValueError(f"a key appears twice in the object with the keys {', '.join(values)}")
    return values


def _decode(content: bytes, file: str) -> str | Fault:
    if len(content) > MAX_CONTENT_BYTES:
        problem = f"the file has {len(content)} bytes; the limit is {MAX_CONTENT_BYTES}"
        return Fault(file, "", problem, "shorten the file, for example by removing comments")
    try:
        return content.decode("utf-8")
    except UnicodeDecodeError as error:
        problem = f"the file is not UTF-8 text; the first bad byte is at offset {error.start}"
        return Fault(file, "", problem, "save the file in UTF-8 encoding")


def _syntax_fault(error: yaml.YAMLError, file: str) -> Fault:
    match error:
        case yaml.MarkedYAMLError(problem=problem, problem_mark=yaml_mark) if yaml_mark:
            where = f"line {yaml_mark.line + 1}, column {yaml_mark.column + 1}: "
            text = problem or "the text is not valid YAML"
        case _:
            where, text = "", str(error).splitlines()[0]
    remedy = "correct the YAML there; check indentation, quotes and brackets"
    return Fault(file, "", where + text, remedy)
