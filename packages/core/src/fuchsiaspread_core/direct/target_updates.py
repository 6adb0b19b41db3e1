"""Updates of the target directory from the store."""

from collections.abc import Sequence

from ..identifiers import TargetName
from .effects import DirectEffect, Notify
from .notices import TargetChanged
from .targets import KnownTarget, PublishedTarget, TargetDirectory


def apply_target(
    now_ms: int, targets: TargetDirectory, target: PublishedTarget
) -> list[DirectEffect]:
    """Apply a new or changed entry."""
    if not targets.put(now_ms, target):
        return []
    known = targets.by_name(target.name)
    assert known is not None
    return [_changed(known)]


def remove_target(now_ms: int, targets: TargetDirectory, name: TargetName) -> list[DirectEffect]:
    """Apply the removal of an entry."""
    known = targets.by_name(name)
    if known is None or not targets.remove(now_ms, name):
        return []
    return [_changed(known)]


def apply_list(
    now_ms: int, targets: TargetDirectory, listed: Sequence[PublishedTarget]
) -> list[DirectEffect]:
    """Apply a complete list; targets missing from it count as removed."""
    effects: list[DirectEffect] = []
    for target in listed:
        effects += apply_target(now_ms, targets, target)
    for name in targets.missing_from(target.name for target in listed):
        effects += remove_target(now_ms, targets, name)
    return effects


def _changed(known: KnownTarget) -> DirectEffect:
    published = known.published
    return Notify(TargetChanged(published.name, published.service, str(published.phase)))
