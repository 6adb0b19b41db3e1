"""Baseline for false answers: a balancer that tries another target after any error."""

from collections import Counter
from dataclasses import dataclass
from random import Random

from .fault_sequences import (
    ENTRY_COUNT,
    LOSS_SHARE,
    TARGET_COUNT,
    EntryKilled,
    EntryPaused,
    EntryStopped,
    FaultStep,
    TargetDrained,
    TargetRestarted,
    TargetSilent,
    ZoneCut,
)

ZONE_COUNT = 3
ATTEMPTS = 3
ANSWER_TIMEOUT_MS = 500


@dataclass(frozen=True, slots=True)
class FalseAnswers:
    """Count requests reported as not run that ran, and requests that ran more than once."""

    not_run_lies: int
    double_runs: int


class RetryingBalancer:
    """Send each request to targets in turn until one answers, then give it up as not run.

    The targets' faults are those of the product's run; a lost answer looks like a lost request.
    """

    def __init__(self, steps: tuple[FaultStep, ...], seed: int, request_ms: int) -> None:
        self._steps = steps
        self._random = Random(seed)
        self._request_ms = request_ms
        self._turn = 0

    def run(self, arrivals_ms: list[int]) -> FalseAnswers:
        """Serve requests and return the false answers."""
        outcomes = Counter(self._serve(arrival_ms) for arrival_ms in arrivals_ms)
        lies = sum(count for (answered, runs), count in outcomes.items() if runs and not answered)
        doubles = sum(count for (_, runs), count in outcomes.items() if runs > 1)
        return FalseAnswers(lies, doubles)

    def _serve(self, arrival_ms: int) -> tuple[bool, int]:
        """Return whether the caller got an answer, and how often the request ran."""
        runs = 0
        for attempt in range(ATTEMPTS):
            begin_ms = arrival_ms + attempt * ANSWER_TIMEOUT_MS
            entry = self._random.randrange(ENTRY_COUNT)
            self._turn += 1
            target = self._turn % TARGET_COUNT
            if not self._passes(begin_ms, entry, target):
                continue
            runs += 1
            if self._passes(begin_ms + self._request_ms, entry, target):
                return True, runs
        return False, runs

    def _passes(self, now_ms: int, entry: int, target: int) -> bool:
        if self._random.random() < LOSS_SHARE:
            return False
        active = (step for step in self._steps if step.covers(now_ms))
        return not any(_blocks(step, entry, target) for step in active)


def _blocks(step: FaultStep, entry: int, target: int) -> bool:
    match step.fault:
        case EntryKilled(number) | EntryPaused(number):
            return entry == number % ENTRY_COUNT
        case ZoneCut(number):
            zone = number % ZONE_COUNT
            return (entry % ZONE_COUNT == zone) != (target % ZONE_COUNT == zone)
        case TargetSilent(number):
            return target == number
        case EntryStopped() | TargetRestarted() | TargetDrained():
            # Counted in the baseline's favour: it is told of these in time.
            return False
