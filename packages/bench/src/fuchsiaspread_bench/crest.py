"""Measure service at a demand peak (crest): a rise to three times capacity within two seconds."""

import math
from statistics import median

from .figure import Figure, print_spread, verdict_over, verdict_under
from .product_balancer import SLOT_OVERHEAD_MS, ProductBalancer
from .queue_balancers import UnboundedQueueBalancer
from .request_load import Request, RequestLoad
from .request_run import percentile, run
from .target_fleet import MANIFESTS, ORDER_DESK, FleetShape

GOODPUT_TARGET = 0.95
REFUSAL_TARGET_MS = 50.0
DEADLINE_MS = 2000
# Work to render a job card. The handshake also holds the slot; the figure includes it.
WORK_MS = 100.0
QUIET_LOAD = 0.5
CREST_LOAD = 3.0
RISE_FROM_MS = 10_000.0
CREST_FROM_MS = 12_000.0
CREST_UNTIL_MS = 22_000.0
UNTIL_MS = 26_000.0
SHAPES = (ORDER_DESK, MANIFESTS)


def measure(repetitions: int) -> list[Figure]:
    """Return goodput and refusal latency at the crest, for the worst fleet shape."""
    print(
        f"# crest: offered load {QUIET_LOAD} of capacity, {CREST_LOAD} from "
        f"{CREST_FROM_MS - RISE_FROM_MS:.0f} ms after the start of the rise, for "
        f"{CREST_UNTIL_MS - CREST_FROM_MS:.0f} ms; capacity = slots / {WORK_MS:.0f} ms of work; "
        f"deadline {DEADLINE_MS} ms; the handshake holds a slot for {SLOT_OVERHEAD_MS:.1f} ms more",
        flush=True,
    )
    results = [_measure_shape(shape, repetitions) for shape in SHAPES]
    goodput, base_goodput = min(pair for pair, _ in results)
    refusal_ms, base_refusal_ms = max(pair for _, pair in results)
    return [
        Figure(
            name="crest_goodput",
            value=goodput,
            unit="share",
            baseline_name="unbounded_queue",
            baseline_value=base_goodput,
            target=GOODPUT_TARGET,
            verdict=verdict_over(goodput, GOODPUT_TARGET),
        ),
        Figure(
            name="refusal_latency_p99",
            value=refusal_ms,
            unit="ms",
            baseline_name="unbounded_queue",
            baseline_value=base_refusal_ms,
            target=REFUSAL_TARGET_MS,
            verdict=verdict_under(refusal_ms, REFUSAL_TARGET_MS),
        ),
    ]


def _measure_shape(
    shape: FleetShape, repetitions: int
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Return the median goodput and refusal latency, each for product and baseline."""
    balancers = {
        "product": lambda clock: ProductBalancer(clock, shape, DEADLINE_MS),
        "unbounded_queue": lambda clock: UnboundedQueueBalancer(clock, shape),
    }
    goodputs: dict[str, list[float]] = {name: [] for name in balancers}
    refusals: dict[str, list[float]] = {name: [] for name in balancers}
    counts: list[float] = []
    for seed in range(1, repetitions + 1):
        for name, make_balancer in balancers.items():
            requests = run(_load(shape).draw(seed), make_balancer, UNTIL_MS + 2 * DEADLINE_MS)
            goodputs[name].append(_goodput(requests, shape))
            refusals[name].append(_refusal_latency_p99_ms(requests))
            if name == "product":
                counts.append(_answer_rate(requests, shape))
    for name in balancers:
        print_spread(f"crest_goodput {shape.name} {name}", "share", goodputs[name])
        print_spread(f"refusal_latency_p99 {shape.name} {name}", "ms", refusals[name])
    print_spread(f"crest_answers {shape.name} product, by count", "share", counts)
    medians = [median(goodputs[name]) for name in balancers]
    refusal_medians = [median(refusals[name]) for name in balancers]
    return (medians[0], medians[1]), (refusal_medians[0], refusal_medians[1])


def _load(shape: FleetShape) -> RequestLoad:
    capacity_per_ms = shape.slot_count / WORK_MS

    def rate_per_ms(at_ms: float) -> float:
        if at_ms < RISE_FROM_MS or at_ms >= CREST_UNTIL_MS:
            return QUIET_LOAD * capacity_per_ms
        rise = min(1.0, (at_ms - RISE_FROM_MS) / (CREST_FROM_MS - RISE_FROM_MS))
        return (QUIET_LOAD + (CREST_LOAD - QUIET_LOAD) * rise) * capacity_per_ms

    return RequestLoad(rate_per_ms, CREST_LOAD * capacity_per_ms, WORK_MS, UNTIL_MS)


def _answered_in_time(requests: list[Request]) -> list[Request]:
    """Return the requests answered before their deadline during the crest."""
    return [
        request
        for request in requests
        if request.latency_ms() <= DEADLINE_MS
        and CREST_FROM_MS <= request.answered_ms < CREST_UNTIL_MS
    ]


def _goodput(requests: list[Request], shape: FleetShape) -> float:
    # Sum the work of the requests answered in time instead of counting them: at a crest, long
    # requests miss their deadline more often, so a count of the many short ones would exceed the
    # capacity.
    work_ms = sum(request.work_ms for request in _answered_in_time(requests))
    return work_ms / (shape.slot_count * (CREST_UNTIL_MS - CREST_FROM_MS))


def _answer_rate(requests: list[Request], shape: FleetShape) -> float:
    capacity = shape.slot_count / WORK_MS * (CREST_UNTIL_MS - CREST_FROM_MS)
    return len(_answered_in_time(requests)) / capacity


def _refusal_latency_p99_ms(requests: list[Request]) -> float:
    """Return the p99 wait for a refusal; a request without any response waits for its deadline."""
    offered = [r for r in requests if RISE_FROM_MS <= r.at_ms < CREST_UNTIL_MS]
    unserved = [request for request in offered if request.latency_ms() > DEADLINE_MS]
    waits_ms = [min(DEADLINE_MS, request.refused_ms - request.at_ms) for request in unserved]
    return percentile(waits_ms, 0.99) if waits_ms else math.nan


if __name__ == "__main__":
    from .figure import print_figure

    for figure in measure(5):
        print_figure(figure)
