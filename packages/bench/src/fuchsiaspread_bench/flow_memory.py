"""Memory of a tracked flow, beside a dict of data classes."""

import gc
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from fuchsiaspread_core.flow_table import FlowRecord, FlowTable, Phase
from fuchsiaspread_core.identifiers import FlowKey, TargetName

from .figure import Figure, print_figure, print_spread, verdict_under

FLOW_COUNT = 300_000
TARGET_COUNT = 28
BYTES_TARGET = 200
TOKEN_STEP = 2_654_435_761


@dataclass
class PlainFlow:
    """Baseline: one ordinary object a flow, with the fields of a record."""

    flow: FlowKey
    target: TargetName
    phase: Phase
    caller_token: int
    target_token: int
    seen_s: int


def record_of(number: int) -> FlowRecord:
    """Return the record of one open flow; every call makes new keys, as packets do."""
    key = (number * TOKEN_STEP % 2**96).to_bytes(12, "big")
    target = TargetName(f"desk-{number % TARGET_COUNT}")
    token = number * TOKEN_STEP % 2**32
    return FlowRecord(FlowKey(key), target, Phase.ESTABLISHED, token, token ^ 0xFFFF_FFFF)


def fill_table() -> FlowTable:
    """Return the product's table with all flows."""
    table = FlowTable()
    for number in range(FLOW_COUNT):
        table.put(record_of(number), 1_000)
    return table


def fill_dict() -> dict[FlowKey, PlainFlow]:
    """Return the baseline's dict with all flows; target names are shared as in the table."""
    names: dict[TargetName, TargetName] = {}
    flows: dict[FlowKey, PlainFlow] = {}
    for number in range(FLOW_COUNT):
        one = record_of(number)
        target = names.setdefault(one.target, one.target)
        flow = PlainFlow(one.flow, target, one.phase, one.caller_token, one.target_token, 1)
        flows[one.flow] = flow
    return flows


def bytes_per_flow(fill: Callable[[], FlowTable | dict[FlowKey, PlainFlow]]) -> float:
    """Return the traced memory of what `fill` makes, for each flow."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    flows = fill()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if len(flows) != FLOW_COUNT:
        raise ValueError(f"{len(flows)} flows are held instead of {FLOW_COUNT}: keys repeat")
    return (after - before) / FLOW_COUNT


def measure(repetitions: int) -> list[Figure]:
    """Measure table and dict in turn and return the figure."""
    product, baseline = [], []
    for _ in range(repetitions):
        product.append(bytes_per_flow(fill_table))
        baseline.append(bytes_per_flow(fill_dict))
    print_spread("flow_memory product", "bytes/flow", product)
    print_spread("flow_memory dict of data classes", "bytes/flow", baseline)
    value = median(product)
    verdict = verdict_under(value, BYTES_TARGET)
    theirs = median(baseline)
    return [
        Figure(
            "flow_memory",
            value,
            "bytes/flow",
            "dict of data classes",
            theirs,
            BYTES_TARGET,
            verdict,
        )
    ]


if __name__ == "__main__":
    for figure in measure(5):
        print_figure(figure)
