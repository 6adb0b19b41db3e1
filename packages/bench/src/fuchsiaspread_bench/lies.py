"""False answers under faults: requests that ran but were reported as not run, or that ran twice."""

from collections import Counter
from dataclasses import dataclass

from fuchsiaspread_standins.in_memory.invariants import find_violations
from fuchsiaspread_standins.in_memory.site import JOB_CARDS, ORDER_DESK, callers, start_site

from .fault_sequences import (
    FAULT_COUNT,
    FAULT_INTERVAL_MS,
    FaultRunner,
    fault_sequence,
    inject_packet_faults,
)
from .figure import Figure, print_figure, print_spread, verdict_exactly
from .retry_model import FalseAnswers, RetryingBalancer

SEQUENCES_PER_REPETITION = 4
REQUEST_COUNT = 700
REQUEST_INTERVAL_MS = 15
# 21 slots serve 140 such requests per second, so the loss of a zone fills the queue.
REQUEST_MS = 150
# A caller without a response gives up 27 s after its first packet.
SETTLING_MS = 30_000
BASELINE = "retry on any error"


@dataclass(frozen=True, slots=True)
class Run:
    """False answers of one fault sequence, and the outcomes of the product's callers."""

    product: FalseAnswers
    baseline: FalseAnswers
    outcomes: Counter[str]
    wrong_service_packets: int


def run_once(seed: int) -> Run:
    """Run one fault sequence against the product and the baseline."""
    steps = fault_sequence(seed)
    site, fleet = start_site(seed)
    for target in fleet.targets.values():
        target.request_ms = REQUEST_MS
    inject_packet_faults(fleet, seed)
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
    """Measure product and baseline in each run and return the figures."""
    runs = [run_once(seed) for repetition in range(repetitions) for seed in seeds(repetition)]
    total: Counter[str] = Counter()
    for run in runs:
        total.update(run.outcomes)
    counts = " ".join(f"{name}={count}" for name, count in sorted(total.items()))
    wrong = sum(run.wrong_service_packets for run in runs)
    print(f"# lies sequences={len(runs)} product_requests {counts} wrong_service_packets={wrong}")
    return [_figure("not_run_lies", runs), _figure("double_runs", runs)]


def _figure(name: str, runs: list[Run]) -> Figure:
    product_counts = [getattr(run.product, name) for run in runs]
    baseline_counts = [getattr(run.baseline, name) for run in runs]
    print_spread(f"{name} product", "requests/sequence", product_counts)
    print_spread(f"{name} {BASELINE}", "requests/sequence", baseline_counts)
    # A single false answer in any sequence is a fault, so the verdict uses the sum, not the median.
    verdict = verdict_exactly(sum(product_counts), 0)
    return Figure(name, sum(product_counts), "requests", BASELINE, sum(baseline_counts), 0, verdict)


if __name__ == "__main__":
    for figure in measure(5):
        print_figure(figure)
