"""Check of the invariants of a simulated fleet."""

from collections import Counter
from dataclasses import dataclass

from .caller import FlowOutcome
from .fleet import Fleet


@dataclass(frozen=True, slots=True)
class Violations:
    """Count violations of the invariants, 0 of each when they hold, and flows that timed out.

    `double_runs` counts requests that ran more than once, `not_run_lies` requests that were
    reported as not run although a target ran them.
    """

    wrong_service_packets: int
    double_runs: int
    not_run_lies: int
    broken: int
    timed_out: int


def find_violations(fleet: Fleet) -> Violations:
    """Return the violations up to now."""
    runs: Counter = Counter()
    for target in fleet.targets.values():
        runs.update(target.runs)
    refused = [c for c in fleet.callers if c.outcome is FlowOutcome.NOT_RUN]
    return Violations(
        wrong_service_packets=sum(t.wrong_service_packets for t in fleet.targets.values()),
        double_runs=sum(count > 1 for count in runs.values()),
        not_run_lies=sum(runs[c.flow, c.caller_token] > 0 for c in refused),
        broken=fleet.outcomes[FlowOutcome.BROKEN],
        timed_out=fleet.outcomes[FlowOutcome.TIMED_OUT],
    )
