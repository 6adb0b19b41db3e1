"""Updates of the target directory from the store."""

from collections.abc import Iterable

from ..identifiers import TargetName
from .effects import DirectEffect, Notify
from .events import TargetsListed
from .known_target import KnownTarget, PublishedTarget
from .notices import AddressContested, TargetChanged
from .state import DirectState


def apply_target(now_ms: int, state: DirectState, target: PublishedTarget) -> list[DirectEffect]:
    """Apply a new or changed entry."""
    known = state.targets.by_name(target.name)
    is_same_service = known is not None and known.published.service == target.service
    if not is_same_service and not state.is_routed(target.service):
        withdrawn = withdraw_target(now_ms, state, target.name)
        state.unrouted.put(target)
        return withdrawn
    state.unrouted.remove(target.name)
    if not state.targets.put(now_ms, target):
        return []
    known = state.targets.by_name(target.name)
    assert known is not None
    contested = [
        Notify(AddressContested(other.name, target.endpoint, target.name))
        for other in state.targets.contested_by(known)
    ]
    return [_changed(known), *contested]


def apply_routed(now_ms: int, state: DirectState) -> list[DirectEffect]:
    """Apply the entries that waited until a route names their service."""
    if state.routes is None:
        return []
    return _apply_all(now_ms, state, state.unrouted.take(state.routes.services))


def withdraw_target(now_ms: int, state: DirectState, name: TargetName) -> list[DirectEffect]:
    """Apply an entry that describes no target any more."""
    state.unrouted.remove(name)
    known = state.targets.by_name(name)
    if known is None or not state.targets.withdraw(now_ms, name):
        return []
    return [_changed(known)]


def remove_target(now_ms: int, state: DirectState, name: TargetName) -> list[DirectEffect]:
    """Apply the removal of an entry."""
    state.unrouted.remove(name)
    known = state.targets.by_name(name)
    use_ms = state.store_contact.removal_grace_ms(now_ms)
    if known is None or not state.targets.remove(now_ms, name, use_ms):
        return []
    return [_changed(known)]


def apply_list(now_ms: int, state: DirectState, listed: TargetsListed) -> list[DirectEffect]:
    """Apply a complete list; targets missing from it count as removed."""
    state.unrouted.clear()
    effects = _apply_all(now_ms, state, listed.targets)
    for name in listed.unusable:
        effects += withdraw_target(now_ms, state, name)
    present = [target.name for target in listed.targets]
    for name in state.targets.missing_from((*present, *listed.unusable)):
        effects += remove_target(now_ms, state, name)
    return effects


def _apply_all(
    now_ms: int, state: DirectState, targets: Iterable[PublishedTarget]
) -> list[DirectEffect]:
    """Apply entries that were read together, in an order that is the same on all entry VMs.

    Of two targets with one cookie the older one keeps it, as on a VM that saw them one by one.
    """
    effects: list[DirectEffect] = []
    for target in sorted(targets, key=_age_order):
        effects += apply_target(now_ms, state, target)
    return effects


def _age_order(target: PublishedTarget) -> tuple[bool, int, TargetName]:
    # A start of 0 is unknown and proves no age.
    return target.started_ms <= 0, target.started_ms, target.name


def _changed(known: KnownTarget) -> DirectEffect:
    published = known.published
    return Notify(TargetChanged(published.name, published.service, str(published.phase)))
