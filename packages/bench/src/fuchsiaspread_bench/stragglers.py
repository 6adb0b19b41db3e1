"""Measure how much the few requests with a hundred times the work (stragglers) delay short ones."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from .figure import Figure, print_spread, verdict_under
from .product_balancer import SLOT_OVERHEAD_MS, ProductBalancer
from .queue_balancers import PooledQueueBalancer, TargetQueuesBalancer
from .request_load import RequestLoad, Stragglers
from .request_run import Balancer, percentile, run
from .target_fleet import INSPECTION, MANIFESTS, ORDER_DESK, TRACKING, FleetShape
from .virtual_clock import VirtualClock

TARGET_RATIO = 1.5
DEADLINE_MS = 2000
WORK_MS = 10.0
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 100.0
# This share of the stragglers comes from networks that send nothing else; the rest come from
# networks that mostly send short requests, and cannot be recognised when they open.
RECOGNISABLE_SHARE = 0.6
# On average half of all slots are busy, including stragglers: a service of three hosts that loses
# one still has a quarter of its remaining slots free.
OFFERED_LOAD = 0.5
# The same number of requests for each fleet shape, so that small fleets, whose results vary most,
# run longest. The first ones, which fill histories and queues, are not counted.
REQUEST_COUNT = 10_000
WARM_UP_COUNT = 2_000
SHAPES = (ORDER_DESK, TRACKING, INSPECTION, MANIFESTS)
WITHOUT = Stragglers()
RECOGNISABLE = Stragglers(STRAGGLER_SHARE, STRAGGLER_FACTOR, RECOGNISABLE_SHARE)
UNRECOGNISABLE = Stragglers(STRAGGLER_SHARE, STRAGGLER_FACTOR, 0.0)

POOLED = "pooled"
KINDS = {"recognisable": RECOGNISABLE, "unrecognisable": UNRECOGNISABLE}

BalancerFactory = Callable[[VirtualClock], Balancer]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one run."""

    short_p99_ms: float
    refused_straggler_share: float


def measure(repetitions: int) -> list[Figure]:
    """Return the ratio of short requests' p99 latency with and without stragglers.

    One figure has partly recognisable stragglers, the other unrecognisable ones.
    """
    print(
        f"# short_p99: offered load {OFFERED_LOAD} of all slots' time with stragglers, the same "
        f"rate without; short work {WORK_MS:.0f} ms, {STRAGGLER_SHARE:.0%} stragglers of "
        f"{STRAGGLER_FACTOR:.0f} times; {RECOGNISABLE_SHARE:.0%} of them from networks that send "
        f"nothing else; the value is that of the worst fleet shape",
        flush=True,
    )
    ratios = [_measure_shape(shape, repetitions) for shape in SHAPES]
    variants = {"short_p99": RECOGNISABLE, "short_p99_unrecognisable": UNRECOGNISABLE}
    figures = []
    for name, stragglers in variants.items():
        value, baseline = max(ratio[stragglers] for ratio in ratios)
        verdict = verdict_under(value, TARGET_RATIO)
        figures.append(Figure(name, value, "ratio", "round_robin", baseline, TARGET_RATIO, verdict))
    return figures


def _measure_shape(shape: FleetShape, repetitions: int) -> dict[Stragglers, tuple[float, float]]:
    """Return the median ratios of product and baseline for each kind of straggler."""
    balancers: dict[str, BalancerFactory] = {
        "product": lambda clock: ProductBalancer(clock, shape, DEADLINE_MS),
        "round_robin": lambda clock: TargetQueuesBalancer(clock, shape),
        # One first-come-first-served queue for all slots, printed for comparison: a policy that
        # cannot recognise stragglers is not expected to do much better.
        POOLED: lambda clock: PooledQueueBalancer(clock, shape),
    }
    ratios: dict[tuple[str, str], list[float]] = {}
    refused: dict[str, list[float]] = {}
    for seed in range(1, repetitions + 1):
        for balancer_name, make_balancer in balancers.items():
            without = _outcome(shape, WITHOUT, make_balancer, seed)
            for kind_name, stragglers in KINDS.items():
                if balancer_name == POOLED and stragglers is RECOGNISABLE:
                    continue  # It has no history by which to recognise stragglers.
                outcome = _outcome(shape, stragglers, make_balancer, seed)
                ratio = outcome.short_p99_ms / without.short_p99_ms
                ratios.setdefault((kind_name, balancer_name), []).append(ratio)
                if balancer_name == "product":
                    refused.setdefault(kind_name, []).append(outcome.refused_straggler_share)
    for (kind_name, balancer_name), values in ratios.items():
        print_spread(f"short_p99 {shape.name} {kind_name} {balancer_name}", "ratio", values)
    for kind_name, values in refused.items():
        print_spread(f"stragglers_refused {shape.name} {kind_name} product", "share", values)
    return {
        stragglers: (
            median(ratios[kind_name, "product"]),
            median(ratios[kind_name, "round_robin"]),
        )
        for kind_name, stragglers in KINDS.items()
    }


def _outcome(
    shape: FleetShape, stragglers: Stragglers, make_balancer: BalancerFactory, seed: int
) -> Outcome:
    straggler_work_ms = STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1) * WORK_MS
    slot_ms = SLOT_OVERHEAD_MS + WORK_MS + straggler_work_ms
    rate_per_ms = OFFERED_LOAD * shape.slot_count / slot_ms
    until_ms = REQUEST_COUNT / rate_per_ms
    load = RequestLoad(lambda _: rate_per_ms, rate_per_ms, WORK_MS, until_ms, stragglers)
    requests = run(load.draw(seed), make_balancer, until_ms + 2 * DEADLINE_MS)[WARM_UP_COUNT:]
    # The latency of a refused or unanswered short request is infinite.
    short_ms = [request.latency_ms() for request in requests if not request.is_straggler]
    long = [request for request in requests if request.is_straggler]
    refused_count = sum(request.refused_ms < math.inf for request in long)
    return Outcome(percentile(short_ms, 0.99), refused_count / max(1, len(long)))


if __name__ == "__main__":
    from .figure import print_figure

    for figure in measure(5):
        print_figure(figure)
