"""Measure how evenly the targets are loaded, in steady demand and at a crest."""

from collections.abc import Callable
from random import Random
from statistics import mean, median

from fuchsiaspread_core.admission import OpenRequest, ShardAdmission
from fuchsiaspread_core.configuration import StreamKind
from fuchsiaspread_core.identifiers import Endpoint, flow_key
from fuchsiaspread_core.rendezvous import rank_weighted

from .figure import Figure, print_spread, verdict_under
from .product_front import ProductFront
from .queue_fronts import TargetQueuesFront
from .request_load import RequestLoad
from .request_run import Front, run
from .target_fleet import MANIFESTS, ORDER_DESK, FleetShape, LoadMeter
from .virtual_clock import VirtualClock

STEADY_TARGET = 1.15
CREST_TARGET = 1.3
DEADLINE_MS = 2000
WORK_MS = 100.0
STEADY_LOAD = 0.7
STEADY_WINDOW_MS = 10_000.0
STEADY_UNTIL_MS = 80_000.0
CREST_LOAD = 3.0
CREST_WINDOW_MS = 500.0
RISE_FROM_MS = 10_000.0
CREST_FROM_MS = 12_000.0
CREST_UNTIL_MS = 17_000.0
SHAPES = (ORDER_DESK, MANIFESTS)
STREAM_COUNTS = (300, 3_000)
STREAM_ADDRESS = Endpoint("10.20.0.1", 7001)

FrontMaker = Callable[[VirtualClock, FleetShape, LoadMeter, int], Front]

FRONTS: dict[str, FrontMaker] = {
    "product": lambda clock, shape, meter, seed: ProductFront(clock, shape, DEADLINE_MS, meter),
    "round_robin": lambda clock, shape, meter, seed: TargetQueuesFront(clock, shape, None, meter),
    "random": lambda clock, shape, meter, seed: TargetQueuesFront(
        clock, shape, Random(seed), meter
    ),
}


Values = dict[str, list[float]]


def measure(repetitions: int) -> list[Figure]:
    """Return the busiest target's load over the mean one, the worst over the host counts."""
    print(
        f"# imbalance: work {WORK_MS:.0f} ms; steady: offered load "
        f"{STEADY_LOAD} of all slots, windows of {STEADY_WINDOW_MS:.0f} ms; crest: from "
        f"{STEADY_LOAD} to {CREST_LOAD} within {CREST_FROM_MS - RISE_FROM_MS:.0f} ms, windows of "
        f"{CREST_WINDOW_MS:.0f} ms from the start of the rise; load = flows at a target; a run's "
        f"value is the mean over its windows",
        flush=True,
    )
    results = [_measure_shape(shape, repetitions) for shape in SHAPES]
    for stream_count in STREAM_COUNTS:
        values = [_stream_imbalance(stream_count, seed) for seed in range(1, repetitions + 1)]
        print_spread(f"imbalance of {stream_count} streams, {ORDER_DESK.name}", "ratio", values)
    return [
        _figure("imbalance_steady", [steady for steady, _ in results], STEADY_TARGET),
        _figure("imbalance_crest", [crest for _, crest in results], CREST_TARGET),
    ]


def _measure_shape(shape: FleetShape, repetitions: int) -> tuple[Values, Values]:
    """Return each front's steady and crest values."""
    steady: Values = {name: [] for name in FRONTS}
    crest: Values = {name: [] for name in FRONTS}
    for seed in range(1, repetitions + 1):
        for name, make_front in FRONTS.items():
            steady[name].append(_steady(shape, make_front, seed))
            crest[name].append(_crest(shape, make_front, seed))
    for name in FRONTS:
        print_spread(f"imbalance_steady {shape.name} {name}", "ratio", steady[name])
        print_spread(f"imbalance_crest {shape.name} {name}", "ratio", crest[name])
    return steady, crest


def _figure(name: str, shapes: list[Values], target: float) -> Figure:
    value, baseline = max((median(v["product"]), median(v["round_robin"])) for v in shapes)
    verdict = verdict_under(value, target)
    return Figure(name, value, "ratio", "round_robin", baseline, target, verdict)


def _steady(shape: FleetShape, make_front: FrontMaker, seed: int) -> float:
    rate_per_ms = STEADY_LOAD * shape.slot_count / WORK_MS
    load = RequestLoad(lambda _: rate_per_ms, rate_per_ms, WORK_MS, STEADY_UNTIL_MS)
    meter = _run(shape, load, make_front, seed, STEADY_WINDOW_MS, STEADY_UNTIL_MS)
    return mean(meter.imbalances(STEADY_WINDOW_MS, STEADY_UNTIL_MS))


def _crest(shape: FleetShape, make_front: FrontMaker, seed: int) -> float:
    capacity_per_ms = shape.slot_count / WORK_MS

    def rate_per_ms(at_ms: float) -> float:
        rise = (at_ms - RISE_FROM_MS) / (CREST_FROM_MS - RISE_FROM_MS)
        share = min(1.0, max(0.0, rise))
        return (STEADY_LOAD + (CREST_LOAD - STEADY_LOAD) * share) * capacity_per_ms

    load = RequestLoad(rate_per_ms, CREST_LOAD * capacity_per_ms, WORK_MS, CREST_UNTIL_MS)
    meter = _run(shape, load, make_front, seed, CREST_WINDOW_MS, CREST_UNTIL_MS)
    return mean(meter.imbalances(RISE_FROM_MS, CREST_UNTIL_MS))


def _stream_imbalance(stream_count: int, seed: int) -> float:
    """Open streams that all stay and return the busiest target's connections over the mean."""
    random = Random(seed)
    shards: dict[str, ShardAdmission] = {}
    weights: dict[str, int] = {}
    for zone, targets in ORDER_DESK.targets().items():
        shards[zone] = ShardAdmission()
        shards[zone].configure(0, targets)
        weights[zone] = len(targets)
    for number in range(stream_count):
        caller = Endpoint(f"10.1.{random.randrange(40)}.{random.randrange(250)}", 1024 + number)
        flow = flow_key(caller, STREAM_ADDRESS)
        home = shards[rank_weighted(flow, weights)[0]]
        home.offer(0, OpenRequest(flow, 1, StreamKind(DEADLINE_MS), may_spill=False))
        home.accept(0, flow)
    counts = [summary.connections for shard in shards.values() for summary in shard.summaries(0)]
    return max(counts) / mean(counts)


def _run(
    shape: FleetShape,
    load: RequestLoad,
    make_front: FrontMaker,
    seed: int,
    window_ms: float,
    until_ms: float,
) -> LoadMeter:
    names = [target.name for members in shape.targets().values() for target in members]
    meter = LoadMeter(names, window_ms)
    run(load.draw(seed), lambda clock: make_front(clock, shape, meter, seed), until_ms)
    return meter


if __name__ == "__main__":
    from .figure import print_figure

    for figure in measure(5):
        print_figure(figure)
