"""Measure how evenly the targets are loaded, at steady demand and at a demand peak (crest)."""

from collections.abc import Callable
from random import Random
from statistics import mean, median

from fuchsiaspread_core.admission import OpenRequest, ShardAdmission
from fuchsiaspread_core.configuration import StreamKind
from fuchsiaspread_core.identifiers import Endpoint, flow_key
from fuchsiaspread_core.rendezvous import rank_weighted

from .figure import Figure, print_spread, verdict_under
from .product_balancer import ProductBalancer
from .queue_balancers import TargetQueuesBalancer
from .request_load import RequestLoad
from .request_run import Balancer, run
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

BalancerFactory = Callable[[VirtualClock, FleetShape, LoadMeter, int], Balancer]

BALANCERS: dict[str, BalancerFactory] = {
    "product": lambda clock, shape, meter, seed: ProductBalancer(clock, shape, DEADLINE_MS, meter),
    "round_robin": lambda clock, shape, meter, seed: TargetQueuesBalancer(
        clock, shape, None, meter
    ),
    "random": lambda clock, shape, meter, seed: TargetQueuesBalancer(
        clock, shape, Random(seed), meter
    ),
}


Values = dict[str, list[float]]


def measure(repetitions: int) -> list[Figure]:
    """Return the ratio of the busiest target's load to the mean, for the worst fleet shape."""
    print(
        f"# imbalance: work {WORK_MS:.0f} ms; steady: offered load "
        f"{STEADY_LOAD} of all slots, windows of {STEADY_WINDOW_MS:.0f} ms; crest: from "
        f"{STEADY_LOAD} to {CREST_LOAD} within {CREST_FROM_MS - RISE_FROM_MS:.0f} ms, windows of "
        f"{CREST_WINDOW_MS:.0f} ms from the start of the rise; load = flows at a target; the value "
        f"of a run is the mean over its windows",
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
    """Return the steady and crest values of each balancer."""
    steady: Values = {name: [] for name in BALANCERS}
    crest: Values = {name: [] for name in BALANCERS}
    for seed in range(1, repetitions + 1):
        for name, make_balancer in BALANCERS.items():
            steady[name].append(_steady(shape, make_balancer, seed))
            crest[name].append(_crest(shape, make_balancer, seed))
    for name in BALANCERS:
        print_spread(f"imbalance_steady {shape.name} {name}", "ratio", steady[name])
        print_spread(f"imbalance_crest {shape.name} {name}", "ratio", crest[name])
    return steady, crest


def _figure(name: str, shapes: list[Values], target: float) -> Figure:
    value, baseline = max((median(v["product"]), median(v["round_robin"])) for v in shapes)
    verdict = verdict_under(value, target)
    return Figure(name, value, "ratio", "round_robin", baseline, target, verdict)


def _steady(shape: FleetShape, make_balancer: BalancerFactory, seed: int) -> float:
    rate_per_ms = STEADY_LOAD * shape.slot_count / WORK_MS
    load = RequestLoad(lambda _: rate_per_ms, rate_per_ms, WORK_MS, STEADY_UNTIL_MS)
    meter = _run(shape, load, make_balancer, seed, STEADY_WINDOW_MS, STEADY_UNTIL_MS)
    return mean(meter.imbalances(STEADY_WINDOW_MS, STEADY_UNTIL_MS))


def _crest(shape: FleetShape, make_balancer: BalancerFactory, seed: int) -> float:
    capacity_per_ms = shape.slot_count / WORK_MS

    def rate_per_ms(at_ms: float) -> float:
        rise = (at_ms - RISE_FROM_MS) / (CREST_FROM_MS - RISE_FROM_MS)
        share = min(1.0, max(0.0, rise))
        return (STEADY_LOAD + (CREST_LOAD - STEADY_LOAD) * share) * capacity_per_ms

    load = RequestLoad(rate_per_ms, CREST_LOAD * capacity_per_ms, WORK_MS, CREST_UNTIL_MS)
    meter = _run(shape, load, make_balancer, seed, CREST_WINDOW_MS, CREST_UNTIL_MS)
    return mean(meter.imbalances(RISE_FROM_MS, CREST_UNTIL_MS))


def _stream_imbalance(stream_count: int, seed: int) -> float:
    """Open long-lived streams; return the ratio of the most connections of a target to the mean."""
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
    make_balancer: BalancerFactory,
    seed: int,
    window_ms: float,
    until_ms: float,
) -> LoadMeter:
    names = [target.name for members in shape.targets().values() for target in members]
    meter = LoadMeter(names, window_ms)
    run(load.draw(seed), lambda clock: make_balancer(clock, shape, meter, seed), until_ms)
    return meter


if __name__ == "__main__":
    from .figure import print_figure

    for figure in measure(5):
        print_figure(figure)
