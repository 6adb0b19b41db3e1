"""Baseline for false answers: a balancer that retries on another target after any error."""

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
    ZonePartitioned,
)

ZONE_COUNT = 3
ATTEMPTS = 3
ANSWER_TIMEOUT_MS = 500


@dataclass(frozen=True, slots=True)
class FalseAnswers:
    """Counts of requests that ran but were reported as not run, and that ran more than once."""

    not_run_lies: int
    double_runs: int


class RetryingBalancer:
    """Sends each request to up to `ATTEMPTS` targets in turn; without a response it is "not run".

    The targets' faults are those of the product's run. The balancer cannot tell a lost response
    from a lost request.
    """

    def __init__(self, steps: tuple[FaultStep, ...], seed: int, request_ms: int) -> None:
        self._steps = steps
        self._random = Random(seed)
        self._request_ms = request_ms
        self._next_target = 0

    def run(self, arrivals_ms: list[int]) -> FalseAnswers:
        """Serve requests and return the counts of false answers."""
        outcomes = Counter(self._serve(arrival_ms) for arrival_ms in arrivals_ms)
        lies = sum(count for (answered, runs), count in outcomes.items() if runs and not answered)
        doubles = sum(count for (_, runs), count in outcomes.items() if runs > 1)
        return FalseAnswers(lies, doubles)

    def _serve(self, arrival_ms: int) -> tuple[bool, int]:
        """Return whether the caller got a response, and how often the request ran."""
        runs = 0
        for attempt in range(ATTEMPTS):
            begin_ms = arrival_ms + attempt * ANSWER_TIMEOUT_MS
            entry = self._random.randrange(ENTRY_COUNT)
            self._next_target += 1
            target = self._next_target % TARGET_COUNT
            if not self._is_delivered(begin_ms, entry, target):
                continue
            runs += 1
            if self._is_delivered(begin_ms + self._request_ms, entry, target):
                return True, runs
        return False, runs

    def _is_delivered(self, now_ms: int, entry: int, target: int) -> bool:
        if self._random.random() < LOSS_SHARE:
            return False
        active = (step for step in self._steps if step.covers(now_ms))
        return not any(_blocks(step, entry, target) for step in active)


def _blocks(step: FaultStep, entry: int, target: int) -> bool:
    match step.fault:
        case EntryKilled(number) | EntryPaused(number):
            return entry == number % ENTRY_COUNT
        case ZonePartitioned(number):
            zone = number % ZONE_COUNT
            return (entry % ZONE_COUNT == zone) != (target % ZONE_COUNT == zone)
        case TargetSilent(number):
            return target == number
        case EntryStopped() | TargetRestarted() | TargetDrained():
            # In the baseline's favour, assume that it detects these in time.
            return False
