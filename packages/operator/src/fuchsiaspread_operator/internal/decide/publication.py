"""Configurations published on the platform."""

from dataclasses import dataclass
from typing import assert_never

from fuchsiaspread_configuration import compile_parts
from fuchsiaspread_core.configuration import Configuration

from ..inputs import SITES_KEY, PlatformOutcome, PublishedValue
from ..outcomes import InvalidInput, PlatformUnreachable
from .checking import base_part, overlay_part, with_file_names


@dataclass(frozen=True, slots=True)
class SiteConfigurations:
    """Compiled configurations by site."""

    configurations: dict[str, Configuration]


def compile_published(
    outcomes: tuple[PlatformOutcome, ...],
) -> SiteConfigurations | InvalidInput | PlatformUnreachable:
    """Compile the published configurations; sites without a published overlay are left out."""
    base, *overlays = outcomes
    if not isinstance(base, PublishedValue):
        return base
    configurations = {}
    for overlay in overlays:
        match overlay:
            case InvalidInput():
                continue
            case PlatformUnreachable():
                return overlay
            case PublishedValue(key=key, index=index, content=content):
                parts = base_part(base.content, base.index), overlay_part(content, index)
                compiled = compile_parts(*parts)
                if not isinstance(compiled, Configuration):
                    return InvalidInput(with_file_names(compiled.faults, base.key, key))
                configurations[key.removeprefix(SITES_KEY)] = compiled
            case _:
                assert_never(overlay)
    return SiteConfigurations(configurations)


def first_failure(outcomes: tuple[PlatformOutcome, ...]) -> InvalidInput | PlatformUnreachable:
    """Return the first outcome that is not a published value."""
    return next(outcome for outcome in outcomes if not isinstance(outcome, PublishedValue))
