"""A second front end of the entry core: reads events and writes effects as JSON lines.

The first line describes the entry VM, `{"member": {...}, "seed": 1}`. Each further line holds an
event, `{"now_ms": 0, "event": {"type": "Tick"}}`. Bytes are encoded as hexadecimal text.
"""

import json
import sys
import types
import typing
from collections.abc import Iterable, Iterator
from dataclasses import fields, is_dataclass
from enum import Enum

from fuchsiaspread_core import configuration, effects, events
from fuchsiaspread_core.configuration import Configuration, Revision, Service
from fuchsiaspread_core.entry import EntryCore
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.parts import Fault, InvalidConfiguration, Part

Json = typing.Any
TYPE_KEY = "type"


def encode(value: object) -> Json:
    """Return a value of the core as JSON data."""
    match value:
        case Enum():
            return value.name
        case bytes():
            return value.hex()
        case tuple() if hasattr(value, "_fields"):
            return {name: encode(getattr(value, name)) for name in value._fields}
        case tuple() | frozenset():
            return [encode(item) for item in value]
        case _ if is_dataclass(value):
            data = {field.name: encode(getattr(value, field.name)) for field in fields(value)}
            return {TYPE_KEY: type(value).__name__} | data
        case _:
            return value


def decode(kind: Json, data: Json) -> Json:
    """Return JSON data as a value of a type of the core.

    Raises `ValueError`, `KeyError` or `TypeError` if the data does not match the type.
    """
    kind = getattr(kind, "__supertype__", kind)
    origin = typing.get_origin(kind)
    if origin in (types.UnionType, typing.Union):
        return _decode_union(typing.get_args(kind), data)
    if origin is tuple:
        return tuple(decode(typing.get_args(kind)[0], item) for item in data)
    if is_dataclass(kind) or hasattr(kind, "_fields"):
        hints = typing.get_type_hints(kind)
        return kind(**{name: decode(hints[name], data[name]) for name in hints if name in data})
    if issubclass(kind, Enum):
        return kind[data]
    if kind is bytes:
        return bytes.fromhex(data)
    if not isinstance(data, kind):
        raise ValueError(f"expected {kind.__name__}, found {data!r}")
    return data


def _decode_union(kinds: tuple[Json, ...], data: Json) -> Json:
    if data is None and type(None) in kinds:
        return None
    named = [kind for kind in kinds if is_dataclass(kind)]
    for kind in named:
        if len(named) == 1 or kind.__name__ == data[TYPE_KEY]:
            return decode(kind, data)
    raise ValueError(f"unknown {TYPE_KEY} in {data!r}")


def compile_json(base: Part, overlay: Part) -> Configuration | InvalidConfiguration:
    """Read the base part as a JSON list of services; the overlay is unused."""
    revision = Revision(base.index, overlay.index)
    try:
        services = decode(tuple[Service, ...], json.loads(base.content))
    except (ValueError, KeyError, TypeError) as error:
        fault = Fault(base.name, "services", str(error), "correct the list of services")
        return InvalidConfiguration(revision, (fault,))
    return configuration.Configuration("json", revision, services)


class JsonFrontEnd:
    """Translate between JSON lines and one entry core."""

    def __init__(self, first_line: str) -> None:
        settings = json.loads(first_line)
        member = decode(Member, settings["member"])
        self._core = EntryCore(member, (), compile_json, settings["seed"])

    def handle_line(self, line: str) -> list[str]:
        """Pass the event of a line to the core and return a line for each effect."""
        try:
            data = json.loads(line)
            event = decode(events.Event, data["event"])
            now_ms = decode(int, data["now_ms"])
        except (ValueError, KeyError, TypeError) as error:
            return [json.dumps({TYPE_KEY: "InvalidLine", "problem": str(error)})]
        returned: list[effects.Effect] = self._core.handle(now_ms, event)
        return [json.dumps(encode(effect)) for effect in returned]


def run(lines: Iterable[str]) -> Iterator[str]:
    """Yield the effects of all lines; the first line describes the entry VM."""
    remaining = iter(lines)
    front_end = JsonFrontEnd(next(remaining))
    for line in remaining:
        yield from front_end.handle_line(line)


if __name__ == "__main__":
    for effect_line in run(sys.stdin):
        print(effect_line, flush=True)
