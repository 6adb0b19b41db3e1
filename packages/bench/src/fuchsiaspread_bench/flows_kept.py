"""Flows that planned changes and the loss of an entry VM break, on the in-memory fleet.

A flow counts as broken when it was reset, gave up, or has a packet without an answer after a
retransmission at the time of counting.
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
from .stateless_models import lost_with_one_table, moved_by_consistent_hash, moved_by_modulo

FLOW_COUNT = 20_000
OPENS_PER_MS = 10
OPENING_MS = FLOW_COUNT // OPENS_PER_MS + 200
# 20,000 flows on 7 targets need more than the usual 2,000 connections of a target.
CONNECTIONS = 8_000
ENTRY_COUNT = 4
CHANGE_MS = 1_000
JOIN_MS = 1_500
LEAVE_MS = 2_000
# Others notice a killed entry VM within 2 s; retransmissions follow after up to 1.5 s.
KILL_SETTLING_MS = 6_000
# Every flow sends once in each interval. Few repetitions go with few packets a flow, so that
# the quick variant keeps the number of flows.
INTERVAL_MS = 3_000
QUICK_INTERVAL_MS = 9_000
QUICK_REPETITIONS = 2
# Runs are on a virtual clock, so running side by side changes no figure.
RUNS_AT_ONCE = 3
KILLED_TARGET_PERCENT = 0.1


@dataclass(frozen=True, slots=True)
class Outcome:
    """Count the broken flows of one run, of the product and of the baselines."""

    open_count: int
    planned: int
    killed: int
    removed: int
    modulo: int
    consistent: int
    one_table: int
    wrong_service_packets: int


class Changes:
    """Carry out the planned changes and remember the targets of each stage."""

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
        """Take the drained target out of the file and replace an entry VM that knew it."""
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
        # The configuration moves while records are handed over.
        self._fleet.run(LEAVE_MS // 10)
        self._site.change_desk_target("desk-3", weight=1 + number % 2)
        self._publish(LEAVE_MS - LEAVE_MS // 10)

    def _publish(self, duration_ms: int) -> None:
        self._site.publish(self._fleet)
        self.stages.append(self._site.desk_targets)
        self._fleet.run(duration_ms)


@contextmanager
def collector_paused() -> Iterator[None]:
    """Pause the cycle collector, which scans the many live flows again and again."""
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
        # The next packets fall due evenly over one interval that begins when all are open.
        caller.interval_ms = OPENING_MS + number * interval_ms // FLOW_COUNT
        fleet.call_later(number // OPENS_PER_MS, lambda caller=caller: fleet.add_caller(caller))
    fleet.run(OPENING_MS)
    for caller in opened:
        caller.interval_ms = interval_ms
    return site, fleet, opened


def broken_of(opened: Sequence[FleetCaller]) -> set[FlowKey]:
    """Return the flows that ended or have no answer after a retransmission."""
    return {one.flow for one in opened if one.outcome is not None or one.retries > 0}


def run_once(seed: int, interval_ms: int) -> Outcome:
    """Run the planned changes, then kill an entry VM, then remove the drained target."""
    with collector_paused():
        return _run_once(seed, interval_ms)


def _run_once(seed: int, interval_ms: int) -> Outcome:
    site, fleet, opened = open_flows(seed, interval_ms)
    flows = [caller.flow for caller in opened]
    open_count = sum(caller.target_token is not None for caller in opened)
    changes = Changes(site, fleet)
    changes.run()
    fleet.run(interval_ms)
    planned = broken_of(opened)
    stages = list(changes.stages)
    entries = sorted(fleet.entries)
    # The last entry VM stays, since it is replaced after the target was removed.
    killed = entries[seed % (len(entries) - 1)]
    fleet.kill_entry(killed)
    fleet.run(KILL_SETTLING_MS + interval_ms)
    after_kill = broken_of(opened) | planned
    changes.remove_drained_target()
    fleet.run(interval_ms)
    return Outcome(
        open_count=open_count,
        planned=len(planned),
        killed=len(after_kill - planned),
        removed=len(broken_of(opened) - after_kill),
        modulo=moved_by_modulo(flows, stages),
        consistent=moved_by_consistent_hash(flows, stages),
        one_table=lost_with_one_table(flows, entries, killed, stages[-1]),
        wrong_service_packets=find_violations(fleet).wrong_service_packets,
    )


def measure(repetitions: int) -> list[Figure]:
    """Measure product and baselines in turn and return the figures."""
    interval_ms = QUICK_INTERVAL_MS if repetitions <= QUICK_REPETITIONS else INTERVAL_MS
    with ProcessPoolExecutor(RUNS_AT_ONCE, multiprocessing.get_context("spawn")) as pool:
        runs = list(pool.map(run_once, range(repetitions), [interval_ms] * repetitions))
    _print_spreads(runs)
    # One broken flow in any repetition is a fault, so the sum is judged and not the median.
    broken = sum(run.planned for run in runs)
    verdict = verdict_exactly(broken, 0)
    killed = [_percent(run.killed, run) for run in runs]
    one_table = [_percent(run.one_table, run) for run in runs]
    removed = sum(run.removed for run in runs)
    return [
        _planned("modulo hash", broken, sum(run.modulo for run in runs), verdict),
        _planned("consistent hash", broken, sum(run.consistent for run in runs), verdict),
        Figure(
            "broken_flows_vm_killed",
            median(killed),
            "percent",
            "table on each VM",
            median(one_table),
            KILLED_TARGET_PERCENT,
            verdict_under(median(killed), KILLED_TARGET_PERCENT),
        ),
        # Beyond the list of planned changes: a target is removed while it has open flows.
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
    one_table = [_percent(run.one_table, run) for run in runs]
    print_spread("broken_flows_vm_killed product", "percent", killed)
    print_spread("broken_flows_vm_killed table on each VM", "percent", one_table)
    removed = [run.removed for run in runs]
    print_spread("broken_flows_target_removed product", "flows", removed)
    wrong = [run.wrong_service_packets for run in runs]
    print_spread("flows_kept packets at a wrong service", "packets", wrong)


def _planned(baseline: str, broken: int, theirs: int, verdict: Verdict) -> Figure:
    return Figure("broken_flows_planned", broken, "flows", baseline, theirs, 0, verdict)


def _percent(count: int, run: Outcome) -> float:
    return 100 * count / run.open_count


if __name__ == "__main__":
    for figure in measure(5):
        print_figure(figure)
