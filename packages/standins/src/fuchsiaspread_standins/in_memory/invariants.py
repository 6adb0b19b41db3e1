"""Check a fleet against what must always hold."""

from collections import Counter
from dataclasses import dataclass

from .caller import FlowOutcome
from .fleet import Fleet


@dataclass(frozen=True, slots=True)
class Findings:
    """Count the violations in a fleet; all are 0 when the invariants hold."""

    wrong_service_packets: int
    double_runs: int
    not_run_lies: int
    broken: int
    timed_out: int


def examine(fleet: Fleet) -> Findings:
    """Return the violations seen so far."""
    runs: Counter = Counter()
    for target in fleet.targets.values():
        runs.update(target.runs)
    refused = [c for c in fleet.callers if c.outcome is FlowOutcome.NOT_RUN]
    return Findings(
        wrong_service_packets=sum(t.wrong_service_packets for t in fleet.targets.values()),
        double_runs=sum(count > 1 for count in runs.values()),
        not_run_lies=sum(runs[c.flow, c.caller_token] > 0 for c in refused),
        broken=fleet.outcomes[FlowOutcome.BROKEN],
        timed_out=fleet.outcomes[FlowOutcome.TIMED_OUT],
    )
