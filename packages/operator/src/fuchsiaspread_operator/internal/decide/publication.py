"""Configurations that the platform has published."""

from dataclasses import dataclass
from typing import assert_never

from fuchsiaspread_configuration import compile_parts
from fuchsiaspread_core.configuration import Configuration

from ..inputs import SITES_KEY, PlatformOutcome, Published
from ..outcomes import Unreachable, Unusable
from .checking import base_part, named, overlay_part


@dataclass(frozen=True, slots=True)
class InForce:
    """Hold the published configurations by site."""

    configurations: dict[str, Configuration]


def published(outcomes: tuple[PlatformOutcome, ...]) -> InForce | Unusable | Unreachable:
    """Return what is published; a site that is not published yet is new."""
    base, *overlays = outcomes
    if not isinstance(base, Published):
        return base
    configurations = {}
    for overlay in overlays:
        match overlay:
            case Unusable():
                continue
            case Unreachable():
                return overlay
            case Published(key=key, index=index, content=content):
                parts = base_part(base.content, base.index), overlay_part(content, index)
                compiled = compile_parts(*parts)
                if not isinstance(compiled, Configuration):
                    return Unusable(named(compiled.faults, base.key, key))
                configurations[key.removeprefix(SITES_KEY)] = compiled
            case _:
                assert_never(overlay)
    return InForce(configurations)


def first_problem(outcomes: tuple[PlatformOutcome, ...]) -> Unusable | Unreachable:
    """Return the first outcome that is no published value."""
    return next(outcome for outcome in outcomes if not isinstance(outcome, Published))
