"""Control work for each daemon against the fleet size, and detection of a killed member."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from statistics import median

from fuchsiaspread_core.configuration import Revision
from fuchsiaspread_core.control import ControlMessage, Probe
from fuchsiaspread_core.membership import PROBE_INTERVAL_MS

from .figure import Figure, print_figure, print_spread, verdict_under
from .fleet import Fleet, SizeOf, Work
from .heartbeats import HeartbeatFleet
from .processor import baseline_processor_us, product_processor_us

SIZES = (4, 16, 64, 200)
MEASURED_MS = 10_000
# All-to-all heartbeats repeat exactly, and 200 members send 80,000 of them a second.
BASELINE_MEASURED_MS = 1_000
KILLS = 10
KILL_LIMIT_MS = 10_000
SLOPE_TARGET_PERCENT = 5
BYTES_TARGET_PER_SECOND = 2_000
NOTICE_TARGET_MS = 2_000
BASELINE = "all-to-all heartbeats"

# Estimate of a datagram: IP and UDP headers; keyed hash of 32 bytes, key number, replay bounds and
# sender's name; sequence and revisions; and each member with its name, zone and two endpoints.
HEADER_BYTES = 28
ENVELOPE_BYTES = 64
MESSAGE_BYTES = 30
UPDATE_BYTES = 64

HEARTBEAT = Probe(1, Revision(1, 1), ())


@dataclass(frozen=True, slots=True)
class Load:
    """Hold the control work of a daemon in a second."""

    messages: float
    bytes: float
    processor_us: float = 0.0


def estimated_bytes(message: ControlMessage) -> int:
    """Estimate the size of a control datagram on the wire."""
    return HEADER_BYTES + ENVELOPE_BYTES + MESSAGE_BYTES + UPDATE_BYTES * len(message.updates)


def product_load(count: int, seed: int, size_of: SizeOf) -> tuple[Load, float]:
    """Return the settled load of a daemon, and the most bytes a second of any while settling."""
    fleet = Fleet(count, seed, size_of)
    works = [node.work for node in fleet.nodes.values()]
    # Settled means that every two members have exchanged a message.
    settling_ms = count * PROBE_INTERVAL_MS + 2_000
    fleet.clock.run(settling_ms)
    settling_bytes = max(work.bytes for work in works) * 1000 / settling_ms
    before = _total(works)
    fleet.clock.run(MEASURED_MS)
    return _load(before, _total(works), count, MEASURED_MS), settling_bytes


def baseline_load(count: int, seed: int, size_of: SizeOf) -> Load:
    """Return the load of a daemon under all-to-all heartbeats."""
    fleet = HeartbeatFleet(count, seed, size_of, HEARTBEAT)
    fleet.clock.run(600)
    before = _total(fleet.work.values())
    fleet.clock.run(BASELINE_MEASURED_MS)
    return _load(before, _total(fleet.work.values()), count, BASELINE_MEASURED_MS)


def product_notice_ms(seed: int) -> int:
    """Return how long the last of 3 others takes to notice that the fourth was killed."""
    fleet = Fleet(4, seed, estimated_bytes)
    fleet.clock.run(5_000 + seed * 137)
    killed = fleet.members[seed % 4].name
    fleet.nodes[killed].is_running = False
    others = [node for name, node in fleet.nodes.items() if name != killed]
    for waited_ms in range(0, KILL_LIMIT_MS, 10):
        if all(killed not in {one.name for one in node.live} for node in others):
            return waited_ms
        fleet.clock.run(10)
    return KILL_LIMIT_MS


def baseline_notice_ms(seed: int) -> int:
    """Return the same for all-to-all heartbeats."""
    fleet = HeartbeatFleet(4, seed, estimated_bytes, HEARTBEAT)
    fleet.clock.run(5_000 + seed * 137)
    killed = list(fleet.nodes)[seed % 4]
    fleet.stopped.add(killed)
    others = [node for name, node in fleet.nodes.items() if name != killed]
    for waited_ms in range(0, KILL_LIMIT_MS, 10):
        if all(killed not in node.live for node in others):
            return waited_ms
        fleet.clock.run(10)
    return KILL_LIMIT_MS


def slope_percent(smallest: float, largest: float) -> float:
    """Return the growth for each doubling of the fleet between the ends of `SIZES`."""
    doublings = math.log2(SIZES[-1] / SIZES[0])
    return ((largest / smallest) ** (1 / doublings) - 1) * 100


def measure(repetitions: int, size_of: SizeOf = estimated_bytes) -> list[Figure]:
    """Measure product and baseline in turn and return the figures."""
    product: list[dict[int, Load]] = []
    baseline: list[dict[int, Load]] = []
    settling: list[float] = []
    notices: list[tuple[float, float]] = []
    for seed in range(repetitions):
        product.append({})
        baseline.append({})
        # All sizes one right after the other, since the clock rate of the processor drifts.
        processor = {
            count: (product_processor_us(count, seed), baseline_processor_us(count, seed))
            for count in SIZES
        }
        for count, (ours_us, theirs_us) in processor.items():
            load, settling_bytes = product_load(count, seed, size_of)
            product[-1][count] = replace(load, processor_us=ours_us)
            load = baseline_load(count, seed, size_of)
            baseline[-1][count] = replace(load, processor_us=theirs_us)
            settling.append(settling_bytes)
        kills = range(seed * KILLS, (seed + 1) * KILLS)
        noticed = [(product_notice_ms(kill), baseline_notice_ms(kill)) for kill in kills]
        notices.append((max(one for one, _ in noticed), max(one for _, one in noticed)))
    _print_loads("product", product)
    _print_loads("baseline", baseline)
    print_spread("product settling most bytes of a daemon", "bytes/s", settling)
    figures = [_slope(product, baseline, field) for field in ("bytes", "messages", "processor_us")]
    return [*figures, _most_bytes(product, baseline), _notice(notices)]


def _slope(product: list[dict[int, Load]], baseline: list[dict[int, Load]], field: str) -> Figure:
    ours, theirs = (
        [
            slope_percent(getattr(run[SIZES[0]], field), getattr(run[SIZES[-1]], field))
            for run in one
        ]
        for one in (product, baseline)
    )
    name = "control_slope" if field == "bytes" else f"control_slope_{field}"
    print_spread(f"{name} product", "percent/doubling", ours)
    print_spread(f"{name} baseline", "percent/doubling", theirs)
    value, target = median(ours), SLOPE_TARGET_PERCENT
    verdict = verdict_under(value, target)
    return Figure(name, value, "percent/doubling", BASELINE, median(theirs), target, verdict)


def _most_bytes(product: list[dict[int, Load]], baseline: list[dict[int, Load]]) -> Figure:
    ours, theirs = (
        median(max(load.bytes for load in run.values()) for run in one)
        for one in (product, baseline)
    )
    target = BYTES_TARGET_PER_SECOND
    verdict = verdict_under(ours, target)
    return Figure("control_bytes_4_to_200", ours, "bytes/s", BASELINE, theirs, target, verdict)


def _notice(notices: list[tuple[float, float]]) -> Figure:
    ours, theirs = [one for one, _ in notices], [one for _, one in notices]
    print_spread("kill_noticed product", "ms", ours)
    print_spread("kill_noticed baseline", "ms", theirs)
    value, target = median(ours), NOTICE_TARGET_MS
    verdict = verdict_under(value, target)
    return Figure("kill_noticed_p100", value, "ms", BASELINE, median(theirs), target, verdict)


def _print_loads(who: str, runs: list[dict[int, Load]]) -> None:
    for count in SIZES:
        loads = [run[count] for run in runs]
        print_spread(f"{who} n={count} messages", "1/s", [load.messages for load in loads])
        print_spread(f"{who} n={count} bytes", "bytes/s", [load.bytes for load in loads])
        print_spread(f"{who} n={count} processor", "us/s", [load.processor_us for load in loads])


def _total(works: Iterable[Work]) -> Work:
    total = Work()
    for work in works:
        total.messages += work.messages
        total.bytes += work.bytes
    return total


def _load(before: Work, after: Work, count: int, duration_ms: int) -> Load:
    daemon_seconds = count * duration_ms / 1000
    return Load(
        (after.messages - before.messages) / daemon_seconds,
        (after.bytes - before.bytes) / daemon_seconds,
    )


if __name__ == "__main__":
    for figure in measure(5):
        print_figure(figure)
