"""Flows broken by planned changes and by the loss of an entry VM, on the in-memory fleet.

A flow counts as broken if it was reset, if its caller gave up, or if at the time of counting it has
a packet without a response after a retransmission.
"""

import gc
import multiprocessing
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, replace
from statistics import median

from fuchsiaspread_core.configuration import Target, TargetState
from fuchsiaspread_core.identifiers import Endpoint, FlowKey
from fuchsiaspread_standins.in_memory.caller import FleetCaller
from fuchsiaspread_standins.in_memory.fleet import Fleet
from fuchsiaspread_standins.in_memory.invariants import find_violations
from fuchsiaspread_standins.in_memory.site import (
    ORDER_DESK,
    SCREENS,
    Site,
    callers,
    entry_member,
    start_site,
)
from fuchsiaspread_standins.in_memory.target import FleetTarget

from .figure import (
    NO_BASELINE,
    NO_VALUE,
    Figure,
    Verdict,
    print_figure,
    print_spread,
    verdict_exactly,
    verdict_under,
)
from .stateless_models import lost_with_local_tables, moved_by_consistent_hash, moved_by_modulo

FLOW_COUNT = 20_000
OPENS_PER_MS = 10
OPENING_MS = FLOW_COUNT // OPENS_PER_MS + 200
# 20,000 flows on 7 targets need more than the default of 2,000 connections per target.
CONNECTIONS = 8_000
ENTRY_COUNT = 4
CHANGE_MS = 1_000
JOIN_MS = 1_500
LEAVE_MS = 2_000
# A killed entry VM is detected within 2 s; retransmissions follow after up to 1.5 s.
KILL_SETTLING_MS = 6_000
# Every flow sends one packet per interval. With few repetitions the interval is longer, so that the
# quick variant keeps the number of flows.
INTERVAL_MS = 3_000
QUICK_INTERVAL_MS = 9_000
QUICK_REPETITIONS = 2
# The runs use a virtual clock, so running them in parallel does not affect the figures.
PARALLEL_RUNS = 3
KILLED_TARGET_PERCENT = 0.1


@dataclass(frozen=True, slots=True)
class Outcome:
    """Broken flows of one run, for the product and for the baselines."""

    open_count: int
    planned: int
    killed: int
    removed: int
    modulo: int
    consistent: int
    local_tables: int
    wrong_service_packets: int


class PlannedChanges:
    """Makes the planned changes and records the targets at each stage."""

    def __init__(self, site: Site, fleet: Fleet) -> None:
        self._site = site
        self._fleet = fleet
        self.stages: list[tuple[Target, ...]] = [site.desk_targets]

    def run(self) -> None:
        """Drain, add, change a weight, and replace every entry VM while weights change."""
        self._site.change_desk_target("desk-1", state=TargetState.DRAINING)
        self._publish(CHANGE_MS)
        self._add_target()
        self._publish(CHANGE_MS)
        self._site.change_desk_target("desk-2", weight=3)
        self._publish(CHANGE_MS)
        for number in range(1, ENTRY_COUNT + 1):
            self._replace_entry(number)

    def remove_drained_target(self) -> None:
        """Remove the drained target from the file and replace an entry VM that has its records."""
        self._site.desk_targets = self._site.desk_targets[1:]
        self._publish(CHANGE_MS)
        self._replace_entry(2 * ENTRY_COUNT)

    def _add_target(self) -> None:
        added = replace(
            self._site.desk_targets[1], name="desk-8", tunnel=Endpoint("127.0.2.8", 6080)
        )
        self._fleet.targets[added.tunnel.host] = FleetTarget(added.name, ORDER_DESK)
        self._site.desk_targets = (*self._site.desk_targets, added)

    def _replace_entry(self, number: int) -> None:
        self._fleet.add_entry(entry_member(number + ENTRY_COUNT))
        self._fleet.run(JOIN_MS)
        self._fleet.stop_entry(entry_member(number).name)
        # Change the configuration while records are handed over.
        self._fleet.run(LEAVE_MS // 10)
        self._site.change_desk_target("desk-3", weight=1 + number % 2)
        self._publish(LEAVE_MS - LEAVE_MS // 10)

    def _publish(self, duration_ms: int) -> None:
        self._site.publish(self._fleet)
        self.stages.append(self._site.desk_targets)
        self._fleet.run(duration_ms)


@contextmanager
def garbage_collection_paused() -> Iterator[None]:
    """Pause the garbage collector, which would scan the many live flows repeatedly."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def open_flows(seed: int, interval_ms: int) -> tuple[Site, Fleet, list[FleetCaller]]:
    """Return a site with open streams that have each exchanged a packet."""
    site, fleet = start_site(seed)
    site.desk_targets = tuple(replace(t, connections=CONNECTIONS) for t in site.desk_targets)
    site.publish(fleet)
    fleet.run(CHANGE_MS)
    opened = callers(FLOW_COUNT, SCREENS, ORDER_DESK, True, seed, interval_ms)
    for number, caller in enumerate(opened):
        # Spread the next packets evenly over one interval that starts when all flows are open.
        caller.interval_ms = OPENING_MS + number * interval_ms // FLOW_COUNT
        fleet.call_later(number // OPENS_PER_MS, lambda caller=caller: fleet.add_caller(caller))
    fleet.run(OPENING_MS)
    for caller in opened:
        caller.interval_ms = interval_ms
    return site, fleet, opened


def broken_flows(opened: Sequence[FleetCaller]) -> set[FlowKey]:
    """Return the flows that have ended or have no response after a retransmission."""
    return {caller.flow for caller in opened if caller.outcome is not None or caller.retries > 0}


def run_once(seed: int, interval_ms: int) -> Outcome:
    """Make the planned changes, then kill an entry VM, then remove the drained target."""
    with garbage_collection_paused():
        return _run_once(seed, interval_ms)


def _run_once(seed: int, interval_ms: int) -> Outcome:
    site, fleet, opened = open_flows(seed, interval_ms)
    flows = [caller.flow for caller in opened]
    open_count = sum(caller.target_token is not None for caller in opened)
    changes = PlannedChanges(site, fleet)
    changes.run()
    fleet.run(interval_ms)
    planned = broken_flows(opened)
    stages = list(changes.stages)
    entries = sorted(fleet.entries)
    # Do not kill the last entry VM: it is replaced after the target has been removed.
    killed = entries[seed % (len(entries) - 1)]
    fleet.kill_entry(killed)
    fleet.run(KILL_SETTLING_MS + interval_ms)
    after_kill = broken_flows(opened) | planned
    changes.remove_drained_target()
    fleet.run(interval_ms)
    return Outcome(
        open_count=open_count,
        planned=len(planned),
        killed=len(after_kill - planned),
        removed=len(broken_flows(opened) - after_kill),
        modulo=moved_by_modulo(flows, stages),
        consistent=moved_by_consistent_hash(flows, stages),
        local_tables=lost_with_local_tables(flows, entries, killed, stages[-1]),
        wrong_service_packets=find_violations(fleet).wrong_service_packets,
    )


def measure(repetitions: int) -> list[Figure]:
    """Measure product and baselines in each run and return the figures."""
    interval_ms = QUICK_INTERVAL_MS if repetitions <= QUICK_REPETITIONS else INTERVAL_MS
    with ProcessPoolExecutor(PARALLEL_RUNS, multiprocessing.get_context("spawn")) as pool:
        runs = list(pool.map(run_once, range(repetitions), [interval_ms] * repetitions))
    _print_spreads(runs)
    # A single broken flow in any run is a fault, so the verdict uses the sum, not the median.
    broken = sum(run.planned for run in runs)
    verdict = verdict_exactly(broken, 0)
    killed = [_percent(run.killed, run) for run in runs]
    local_tables = [_percent(run.local_tables, run) for run in runs]
    removed = sum(run.removed for run in runs)
    return [
        _planned("modulo hash", broken, sum(run.modulo for run in runs), verdict),
        _planned("consistent hash", broken, sum(run.consistent for run in runs), verdict),
        Figure(
            "broken_flows_vm_killed",
            median(killed),
            "percent",
            "table on each VM",
            median(local_tables),
            KILLED_TARGET_PERCENT,
            verdict_under(median(killed), KILLED_TARGET_PERCENT),
        ),
        # Not among the planned changes: a target is removed while it has open flows.
        Figure(
            "broken_flows_target_removed",
            removed,
            "flows",
            NO_BASELINE,
            NO_VALUE,
            0,
            verdict_exactly(removed, 0),
        ),
    ]


def _print_spreads(runs: Sequence[Outcome]) -> None:
    print_spread("flows_kept open flows", "flows", [run.open_count for run in runs])
    print_spread("broken_flows_planned product", "flows", [run.planned for run in runs])
    print_spread("broken_flows_planned modulo hash", "flows", [run.modulo for run in runs])
    print_spread("broken_flows_planned consistent hash", "flows", [run.consistent for run in runs])
    killed = [_percent(run.killed, run) for run in runs]
    local_tables = [_percent(run.local_tables, run) for run in runs]
    print_spread("broken_flows_vm_killed product", "percent", killed)
    print_spread("broken_flows_vm_killed table on each VM", "percent", local_tables)
    removed = [run.removed for run in runs]
    print_spread("broken_flows_target_removed product", "flows", removed)
    wrong = [run.wrong_service_packets for run in runs]
    print_spread("flows_kept packets at a wrong service", "packets", wrong)


def _planned(baseline: str, broken: int, baseline_value: int, verdict: Verdict) -> Figure:
    return Figure("broken_flows_planned", broken, "flows", baseline, baseline_value, 0, verdict)


def _percent(count: int, run: Outcome) -> float:
    return 100 * count / run.open_count


if __name__ == "__main__":
    for figure in measure(5):
        print_figure(figure)
