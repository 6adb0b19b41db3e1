"""Requests reported as not run that ran, and requests that ran twice, under faults."""

from collections import Counter
from dataclasses import dataclass

from fuchsiaspread_standins.in_memory.invariants import find_violations
from fuchsiaspread_standins.in_memory.site import JOB_CARDS, ORDER_DESK, callers, start_site

from .fault_sequences import (
    FAULT_COUNT,
    FAULT_INTERVAL_MS,
    FaultRunner,
    disturb_packets,
    fault_sequence,
)
from .figure import Figure, print_figure, print_spread, verdict_exactly
from .retry_model import FalseAnswers, RetryingBalancer

SEQUENCES_PER_REPETITION = 4
REQUEST_COUNT = 700
REQUEST_INTERVAL_MS = 15
# 21 slots serve 140 such requests a second, so that the lack of a zone fills the queue.
REQUEST_MS = 150
# A caller gives up 27 s after its first packet without an answer.
SETTLING_MS = 30_000
BASELINE = "retry on any error"


@dataclass(frozen=True, slots=True)
class Run:
    """Hold the false answers of one fault sequence and how the product's callers fared."""

    product: FalseAnswers
    baseline: FalseAnswers
    outcomes: Counter[str]
    wrong_service_packets: int


def run_once(seed: int) -> Run:
    """Run one fault sequence on the product and on the baseline."""
    steps = fault_sequence(seed)
    site, fleet = start_site(seed)
    for target in fleet.targets.values():
        target.request_ms = REQUEST_MS
    disturb_packets(fleet, seed)
    FaultRunner(site, fleet).schedule(steps)
    requests = callers(REQUEST_COUNT, JOB_CARDS, ORDER_DESK, False, seed)
    arrivals_ms = [number * REQUEST_INTERVAL_MS for number in range(REQUEST_COUNT)]
    for arrival_ms, caller in zip(arrivals_ms, requests, strict=True):
        fleet.call_later(arrival_ms, lambda caller=caller: fleet.add_caller(caller))
    fleet.run(FAULT_COUNT * FAULT_INTERVAL_MS + SETTLING_MS)
    findings = find_violations(fleet)
    return Run(
        FalseAnswers(findings.not_run_lies, findings.double_runs),
        RetryingBalancer(steps, seed, REQUEST_MS).run(arrivals_ms),
        Counter(caller.outcome or "open" for caller in requests),
        findings.wrong_service_packets,
    )


def seeds(repetition: int) -> range:
    """Return the fixed seeds of a repetition."""
    first = 1 + repetition * SEQUENCES_PER_REPETITION
    return range(first, first + SEQUENCES_PER_REPETITION)


def measure(repetitions: int) -> list[Figure]:
    """Measure product and baseline in turn and return the figures."""
    runs = [run_once(seed) for repetition in range(repetitions) for seed in seeds(repetition)]
    total: Counter[str] = Counter()
    for run in runs:
        total.update(run.outcomes)
    told = " ".join(f"{name}={count}" for name, count in sorted(total.items()))
    wrong = sum(run.wrong_service_packets for run in runs)
    print(f"# lies sequences={len(runs)} product_requests {told} wrong_service_packets={wrong}")
    return [_figure("not_run_lies", runs), _figure("double_runs", runs)]


def _figure(name: str, runs: list[Run]) -> Figure:
    ours = [getattr(run.product, name) for run in runs]
    theirs = [getattr(run.baseline, name) for run in runs]
    print_spread(f"{name} product", "requests/sequence", ours)
    print_spread(f"{name} {BASELINE}", "requests/sequence", theirs)
    # One false answer in any sequence is a fault, so the sum is judged and not the median.
    verdict = verdict_exactly(sum(ours), 0)
    return Figure(name, sum(ours), "requests", BASELINE, sum(theirs), 0, verdict)


if __name__ == "__main__":
    for figure in measure(5):
        print_figure(figure)
