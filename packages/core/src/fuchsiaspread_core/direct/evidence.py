"""Evidence about targets, as notices and checks."""

from .effects import DirectEffect, Notify
from .notices import TargetCleared, TargetSuspected
from .reachability import Sign
from .target_health import Evidence
from .targets import KnownTarget


def note_answer(now_ms: int, target: KnownTarget) -> list[DirectEffect]:
    """Note that a target answered a caller."""
    target.reach.note(now_ms, Sign.ANSWER)
    if not target.health.note(now_ms, Evidence.ANSWER):
        return []
    return [Notify(TargetCleared(target.name))]


def note_silence(now_ms: int, target: KnownTarget) -> list[DirectEffect]:
    """Note that a target did not answer an open."""
    health = target.health
    if not health.note(now_ms, Evidence.SILENCE):
        return []
    return [Notify(TargetSuspected(target.name, health.silences, health.pause_ms))]
