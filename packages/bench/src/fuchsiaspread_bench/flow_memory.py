"""Memory per tracked flow at a manager, compared with a dict of data classes."""

import gc
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median
from sys import getsizeof
from typing import TypeVar

from fuchsiaspread_core.entry import EntryCore
from fuchsiaspread_core.events import PartPublished, RecordsReceived, Tick
from fuchsiaspread_core.flow_table import FlowRecord, Phase
from fuchsiaspread_core.identifiers import EntryName, FlowKey, TargetName, address_key
from fuchsiaspread_core.parts import Part, PartName
from fuchsiaspread_standins.in_memory.site import SCREENS, Site, entry_member

from .figure import Figure, print_figure, print_spread, verdict_under

FLOW_COUNT = 300_000
BATCH = 1_000
# Enough ticks for the idle check to start its pass over all records.
TICKS = 5
CALLER_NETWORK = 0x0A1E0000
FIRST_PORT = 20_000
PORTS = 40_000
SERVICE = address_key(SCREENS)
TARGETS = tuple(target.name for target in Site().desk_targets)
BYTES_TARGET = 200

Holder = TypeVar("Holder")
Records = tuple[FlowRecord, ...]
TOKEN_STEP = 2_654_435_761


@dataclass
class PlainFlow:
    """Baseline: one ordinary object for each flow, with the fields of a record."""

    flow: FlowKey
    target: TargetName
    phase: Phase
    caller_token: int
    target_token: int
    seen_s: int


def record_of(number: int) -> FlowRecord:
    """Return the record of one open stream; as with packets, each call allocates a new key."""
    caller = (CALLER_NETWORK + number // PORTS).to_bytes(4, "big")
    port = (FIRST_PORT + number % PORTS).to_bytes(2, "big")
    flow = FlowKey(caller + SERVICE[:4] + port + SERVICE[4:])
    token = number * TOKEN_STEP % 2**32
    target = TARGETS[number % len(TARGETS)]
    return FlowRecord(flow, target, Phase.ESTABLISHED, token, token ^ 0xFFFF_FFFF)


def single_entry_core() -> EntryCore:
    """Return the core of the only entry VM of a site, which manages all shards."""
    site = Site()
    core = EntryCore(entry_member(1), (), site.compile, seed=1)
    site.published[1] = site
    for name in PartName:
        core.handle(0, PartPublished(Part(name, 1, b"")))
    core.handle(0, Tick())
    return core


def fill_core(core: EntryCore, records: Records) -> None:
    """Hand all flow records over to the core, and run some ticks."""
    sender = EntryName("entry-2")
    for first in range(0, FLOW_COUNT, BATCH):
        batch = records[first : first + BATCH]
        core.handle(1, RecordsReceived(sender, batch, first + BATCH >= FLOW_COUNT))
    for tick in range(TICKS):
        core.handle(20 * tick, Tick())


def fill_dict(flows: dict[FlowKey, PlainFlow], records: Records) -> None:
    """Store all flows in the baseline's dict, with newly allocated tokens, as from packets."""
    for record in records:
        caller_token, target_token = record.caller_token ^ 1, record.target_token ^ 1
        flow = PlainFlow(record.flow, record.target, record.phase, caller_token, target_token, 1)
        flows[record.flow] = flow


def bytes_per_flow(
    holder: Holder, fill: Callable[[Holder, Records], None], records: Records
) -> float:
    """Return the memory per flow that a holder allocates when it is filled.

    The records are made before tracing starts, since tracing their allocation would take most of
    the time. A holder keeps the flow key of each, so its size is added.
    """
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fill(holder, records)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / FLOW_COUNT + getsizeof(records[0].flow)


def measure(repetitions: int) -> list[Figure]:
    """Measure core and dict alternately and return the figure."""
    records = tuple(map(record_of, range(FLOW_COUNT)))
    product, baseline = [], []
    for _ in range(repetitions):
        core = single_entry_core()
        product.append(bytes_per_flow(core, fill_core, records))
        if core.status(0).flow_count != FLOW_COUNT:
            raise ValueError("the core does not hold all flows: duplicate keys or refused records")
        del core
        baseline.append(bytes_per_flow({}, fill_dict, records))
    print_spread("flow_memory product", "bytes/flow", product)
    print_spread("flow_memory dict of data classes", "bytes/flow", baseline)
    value, baseline_value = median(product), median(baseline)
    verdict = verdict_under(value, BYTES_TARGET)
    return [
        Figure(
            "flow_memory",
            value,
            "bytes/flow",
            "dict of data classes",
            baseline_value,
            BYTES_TARGET,
            verdict,
        )
    ]


if __name__ == "__main__":
    for figure in measure(5):
        print_figure(figure)
