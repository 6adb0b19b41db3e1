"""Measure whether short requests wait behind the few that take a hundred times as long."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from .figure import Figure, print_spread, verdict_under
from .product_front import SLOT_OVERHEAD_MS, ProductFront
from .queue_fronts import PooledQueueFront, TargetQueuesFront
from .request_load import RequestLoad, Stragglers
from .request_run import Front, percentile, run
from .target_fleet import INSPECTION, MANIFESTS, ORDER_DESK, TRACKING, FleetShape
from .virtual_clock import VirtualClock

TARGET_RATIO = 1.5
DEADLINE_MS = 2000
WORK_MS = 10.0
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 100.0
# Networks that send bulk only account for this part of the stragglers; the rest come from
# networks that otherwise send short requests and cannot be told apart when they open.
RECOGNISABLE_SHARE = 0.6
# Half of all slots are busy on average, stragglers included: a service of three hosts that
# loses one still has a quarter of its remaining slots free.
OFFERED_LOAD = 0.5
# The same number of requests for each host count, so that the small ones, which vary most,
# run longest. The first ones fill histories and queues and are not counted.
REQUEST_COUNT = 10_000
WARM_UP_COUNT = 2_000
SHAPES = (ORDER_DESK, TRACKING, INSPECTION, MANIFESTS)
WITHOUT = Stragglers()
RECOGNISABLE = Stragglers(STRAGGLER_SHARE, STRAGGLER_FACTOR, RECOGNISABLE_SHARE)
UNRECOGNISABLE = Stragglers(STRAGGLER_SHARE, STRAGGLER_FACTOR, 0.0)

POOLED = "pooled"
KINDS = {"recognisable": RECOGNISABLE, "unrecognisable": UNRECOGNISABLE}

FrontMaker = Callable[[VirtualClock], Front]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold what one run gave."""

    short_p99_ms: float
    refused_straggler_share: float


def measure(repetitions: int) -> list[Figure]:
    """Return the ratio for partly recognisable and for unrecognisable stragglers."""
    print(
        f"# short_p99: offered load {OFFERED_LOAD} of all slots' time with stragglers, the same "
        f"rate without; short work {WORK_MS:.0f} ms, {STRAGGLER_SHARE:.0%} stragglers of "
        f"{STRAGGLER_FACTOR:.0f} times; {RECOGNISABLE_SHARE:.0%} of them from networks that send "
        f"nothing else; the value is the worst of the host counts",
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
    """Return the median ratios of product and baseline for each kind of stragglers."""
    fronts: dict[str, FrontMaker] = {
        "product": lambda clock: ProductFront(clock, shape, DEADLINE_MS),
        "round_robin": lambda clock: TargetQueuesFront(clock, shape),
        # One first-come-first-served queue over all slots: what no policy that cannot tell
        # requests apart is expected to beat by much. Printed for comparison.
        POOLED: lambda clock: PooledQueueFront(clock, shape),
    }
    ratios: dict[tuple[str, str], list[float]] = {}
    refused: dict[str, list[float]] = {}
    for seed in range(1, repetitions + 1):
        for front_name, make_front in fronts.items():
            without = _outcome(shape, WITHOUT, make_front, seed)
            for kind_name, stragglers in KINDS.items():
                if front_name == POOLED and stragglers is RECOGNISABLE:
                    continue  # it has no history to recognise anything by
                outcome = _outcome(shape, stragglers, make_front, seed)
                ratio = outcome.short_p99_ms / without.short_p99_ms
                ratios.setdefault((kind_name, front_name), []).append(ratio)
                if front_name == "product":
                    refused.setdefault(kind_name, []).append(outcome.refused_straggler_share)
    for (kind_name, front_name), values in ratios.items():
        print_spread(f"short_p99 {shape.name} {kind_name} {front_name}", "ratio", values)
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
    shape: FleetShape, stragglers: Stragglers, make_front: FrontMaker, seed: int
) -> Outcome:
    straggler_work_ms = STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1) * WORK_MS
    slot_ms = SLOT_OVERHEAD_MS + WORK_MS + straggler_work_ms
    rate_per_ms = OFFERED_LOAD * shape.slot_count / slot_ms
    until_ms = REQUEST_COUNT / rate_per_ms
    load = RequestLoad(lambda _: rate_per_ms, rate_per_ms, WORK_MS, until_ms, stragglers)
    requests = run(load.draw(seed), make_front, until_ms + 2 * DEADLINE_MS)[WARM_UP_COUNT:]
    # A refused or unanswered short request counts with an infinite latency.
    short_ms = [request.latency_ms() for request in requests if not request.is_straggler]
    long = [request for request in requests if request.is_straggler]
    refused_count = sum(request.refused_ms < math.inf for request in long)
    return Outcome(percentile(short_ms, 0.99), refused_count / max(1, len(long)))


if __name__ == "__main__":
    from .figure import print_figure

    for figure in measure(5):
        print_figure(figure)
