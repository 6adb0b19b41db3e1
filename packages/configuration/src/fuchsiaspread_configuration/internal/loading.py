"""Bounded loading of YAML and JSON documents."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import yaml
from fuchsiaspread_core.parts import Fault

# The platform holds values of up to one megabyte.
MAX_CONTENT_BYTES = 1_000_000
# The deepest key of the files has eight levels; deeper nesting is a mistake or an attack.
MAX_DEPTH = 20
# A megabyte without aliases holds about 130,000 nodes; more can only come from aliases.
MAX_NODES = 200_000
MAX_FAULTS = 100
MAX_SHOWN_CHARACTERS = 60

# The C parser reads a file of a megabyte about ten times as fast as the one in Python.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_CONSTRUCTORS = {
    "tag:yaml.org,2002:null": "construct_yaml_null",
    "tag:yaml.org,2002:bool": "construct_yaml_bool",
    "tag:yaml.org,2002:int": "construct_yaml_int",
    "tag:yaml.org,2002:float": "construct_yaml_float",
    "tag:yaml.org,2002:str": "construct_yaml_str",
}


@dataclass(frozen=True, slots=True)
class Document:
    """Hold the plain values of a loaded file."""

    file: str
    tree: Any


@dataclass(frozen=True, slots=True)
class UnreadableDocument:
    """Report that a file could not be loaded."""

    faults: tuple[Fault, ...]


class _DocumentFault(Exception):
    """Carry a fault out of the recursive construction; caught in this module."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.problem)
        self.fault = fault


def shown(value: object) -> str:
    """Return a value as short text for a message."""
    return shortened(json.dumps(value) if isinstance(value, str) else str(value))


def shortened(text: str) -> str:
    """Return the beginning of a text on one line."""
    text = re.sub(r"\s+", " ", text)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[: MAX_SHOWN_CHARACTERS - 3] + "..."


def limited(faults: Iterable[Fault]) -> tuple[Fault, ...]:
    """Return distinct faults, at most `MAX_FAULTS` of them, with a note about the rest."""
    distinct = tuple(dict.fromkeys(faults))
    if len(distinct) <= MAX_FAULTS:
        return distinct
    rest = len(distinct) - MAX_FAULTS
    more = Fault(distinct[MAX_FAULTS].file, "", f"{rest} more faults", "correct those above first")
    return (*distinct[:MAX_FAULTS], more)


def load_yaml(content: bytes, file: str) -> Document | UnreadableDocument:
    """Load one YAML document; an empty one counts as an empty mapping."""
    decoded = _decode(content, file)
    if isinstance(decoded, Fault):
        return UnreadableDocument((decoded,))
    try:
        _check_depth(decoded, file)
        node = yaml.compose(decoded, Loader=_Loader)
        builder = _TreeBuilder(file)
        tree = {} if node is None else builder.build(node, "", 0)
    except yaml.YAMLError as error:
        return UnreadableDocument((_syntax_fault(error, file),))
    except _DocumentFault as carried:
        return UnreadableDocument((carried.fault,))
    if builder.faults:
        return UnreadableDocument(limited(builder.faults))
    return Document(file, {} if tree is None else tree)


def load_json(content: bytes, file: str) -> Document | UnreadableDocument:
    """Load one JSON document."""
    decoded = _decode(content, file)
    if isinstance(decoded, Fault):
        return UnreadableDocument((decoded,))
    try:
        return Document(file, json.loads(decoded, object_pairs_hook=_unique_pairs))
    except (ValueError, RecursionError) as error:
        problem = f"the content is no valid JSON: {shortened(str(error))}"
        return UnreadableDocument((Fault(file, "", problem, "correct the JSON and try again"),))


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) < len(pairs):
        raise ValueError(f"a key appears twice in the entry with the keys {', '.join(values)}")
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


def _check_depth(text: str, file: str) -> None:
    # The composer recurses once a level, so depth is checked on the flat stream of events.
    depth = 0
    for event in yaml.parse(text, Loader=_Loader):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise _DocumentFault(_depth_fault(file, event.start_mark.line + 1))


def _depth_fault(file: str, line: int) -> Fault:
    problem = f"line {line}: values are nested more than {MAX_DEPTH} levels deep"
    remedy = "check indentation, brackets, and aliases that contain themselves"
    return Fault(file, "", problem, remedy)


def _syntax_fault(error: yaml.YAMLError, file: str) -> Fault:
    match error:
        case yaml.MarkedYAMLError(problem=problem, problem_mark=yaml_mark) if yaml_mark:
            where = f"line {yaml_mark.line + 1}, column {yaml_mark.column + 1}: "
            text = problem or "the text is no valid YAML"
        case _:
            where, text = "", str(error).splitlines()[0]
    remedy = "correct the YAML there; check indentation, quotes and brackets"
    return Fault(file, "", where + text, remedy)


class _TreeBuilder:
    """Build plain values from YAML nodes and collect faults on the way."""

    def __init__(self, file: str) -> None:
        self.faults: list[Fault] = []
        self._file = file
        self._node_count = 0
        self._constructor = yaml.constructor.SafeConstructor()

    def build(self, node: yaml.Node, key: str, depth: int) -> Any:
        """Return the plain value of a node."""
        self._node_count += 1
        line = node.start_mark.line + 1
        if self._node_count > MAX_NODES:
            problem = f"line {line}: aliases expand to more than {MAX_NODES} values"
            fault = Fault(self._file, key, problem, "write the values out instead of using aliases")
            raise _DocumentFault(fault)
        if depth > MAX_DEPTH:
            raise _DocumentFault(_depth_fault(self._file, line))
        match node:
            case yaml.MappingNode():
                return self._mapping(node, key, depth)
            case yaml.SequenceNode():
                return [
                    self.build(item, f"{key}[{index}]", depth + 1)
                    for index, item in enumerate(node.value)
                ]
            case _:
                return self._scalar(node, key)

    def _mapping(self, node: yaml.MappingNode, key: str, depth: int) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            if key_node.tag != "tag:yaml.org,2002:str":
                found = shown(key_node.value) if isinstance(key_node.value, str) else "a collection"
                problem = f"line {line}: a key must be plain text, not {found}"
                self._report(key, problem, "write the key as text; merge keys (<<) are not known")
                continue
            name = key_node.value
            path = f"{key}.{name}" if key else name
            if name in values:
                problem = f"line {line}: the key appears twice"
                self._report(path, problem, "keep one of the two and remove the other")
            values[name] = self.build(value_node, path, depth + 1)
        return values

    def _scalar(self, node: yaml.ScalarNode, key: str) -> Any:
        method = _CONSTRUCTORS.get(node.tag)
        try:
            if method is not None:
                return getattr(self._constructor, method)(node)
        except (ValueError, ArithmeticError, LookupError):
            pass
        line = node.start_mark.line + 1
        problem = f"line {line}: {shown(node.value)} is no text, number, true, false or null"
        self._report(key, problem, "put quotes round the value if it is meant as text")
        return None

    def _report(self, key: str, problem: str, remedy: str) -> None:
        self.faults.append(Fault(self._file, shortened(key), problem, remedy))
