"""Passive health tracking of targets, based on the packets of their callers."""

from .effects import DirectEffect, Notify
from .known_target import KnownTarget
from .notices import TargetCleared, TargetSuspected
from .reachability import ReachabilityEvent
from .target_health import Evidence


def record_answer(now_ms: int, target: KnownTarget) -> list[DirectEffect]:
    """Record that a target answered a caller."""
    target.reachability.apply(now_ms, ReachabilityEvent.ANSWER)
    if not target.health.record(now_ms, Evidence.ANSWER):
        return []
    return [Notify(TargetCleared(target.name))]


def record_unanswered_open(now_ms: int, target: KnownTarget) -> list[DirectEffect]:
    """Record that a target did not answer an open in time."""
    health = target.health
    if not health.record(now_ms, Evidence.SILENCE):
        return []
    return [Notify(TargetSuspected(target.name, health.unanswered_opens, health.backoff_ms))]
