"""Control traffic and CPU time of a daemon by fleet size, and detection of a killed member."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from statistics import median

from fuchsiaspread_core.configuration import Revision
from fuchsiaspread_core.control import ControlMessage, Probe
from fuchsiaspread_core.membership import PROBE_INTERVAL_MS

from .figure import Figure, print_figure, print_spread, verdict_under
from .fleet import Fleet, SentTraffic, SizeOf
from .heartbeats import HeartbeatFleet
from .processor import baseline_processor_us, product_processor_us

FLEET_SIZES = (4, 16, 64, 200)
MEASURED_MS = 10_000
# A short run is enough: all-to-all heartbeats repeat exactly, and 200 members send 80,000 per
# second.
BASELINE_MEASURED_MS = 1_000
KILLS = 10
KILL_LIMIT_MS = 10_000
SLOPE_TARGET_PERCENT = 5
BYTES_TARGET_PER_SECOND = 2_000
DETECTION_TARGET_MS = 2_000
BASELINE = "all-to-all heartbeats"

# Estimated sizes of the parts of an IP packet with a control message.
HEADER_BYTES = 28  # IP and UDP headers
ENVELOPE_BYTES = 64  # keyed hash of 32 bytes, key number, replay bounds and sender's name
MESSAGE_BYTES = 30  # sequence and revisions
UPDATE_BYTES = 64  # for each member: name, zone and two endpoints

# No message has a smaller estimated size than a probe without updates, so that the baseline's bytes
# are not overstated.
HEARTBEAT = Probe(1, Revision(1, 1), ())


@dataclass(frozen=True, slots=True)
class Load:
    """Messages and bytes that a daemon sends per second, and the CPU time it spends per second."""

    messages: float
    bytes: float
    processor_us: float = 0.0


def estimated_bytes(message: ControlMessage) -> int:
    """Estimate the size of the IP packet of a control message."""
    return HEADER_BYTES + ENVELOPE_BYTES + MESSAGE_BYTES + UPDATE_BYTES * len(message.updates)


def product_load(count: int, seed: int, size_of: SizeOf) -> tuple[Load, float]:
    """Return the steady load of a daemon, and a send rate in bytes per second.

    The rate is the average send rate of the busiest daemon during settling.
    """
    fleet = Fleet(count, seed, size_of)
    traffic = [node.traffic for node in fleet.nodes.values()]
    # After this time each pair of members has exchanged a message.
    settling_ms = count * PROBE_INTERVAL_MS + 2_000
    fleet.clock.run(settling_ms)
    settling_bytes = max(sent.bytes for sent in traffic) * 1000 / settling_ms
    before = _total(traffic)
    fleet.clock.run(MEASURED_MS)
    return _load(before, _total(traffic), count, MEASURED_MS), settling_bytes


def baseline_load(count: int, seed: int, size_of: SizeOf) -> Load:
    """Return the load of a daemon under all-to-all heartbeats."""
    fleet = HeartbeatFleet(count, seed, size_of, HEARTBEAT)
    # After this time, which is longer than the heartbeat interval, all members send heartbeats.
    fleet.clock.run(600)
    before = _total(fleet.traffic.values())
    fleet.clock.run(BASELINE_MEASURED_MS)
    return _load(before, _total(fleet.traffic.values()), count, BASELINE_MEASURED_MS)


def product_detection_ms(seed: int) -> int:
    """Return the time until all of the 3 other members have detected a killed member."""
    fleet = Fleet(4, seed, estimated_bytes)
    # By then the fleet has settled; the seed varies the time of the kill.
    fleet.clock.run(5_000 + seed * 137)
    killed = fleet.members[seed % 4].name
    fleet.nodes[killed].is_running = False
    others = [node for name, node in fleet.nodes.items() if name != killed]
    for waited_ms in range(0, KILL_LIMIT_MS, 10):
        if all(killed not in {member.name for member in node.live} for node in others):
            return waited_ms
        fleet.clock.run(10)
    return KILL_LIMIT_MS


def baseline_detection_ms(seed: int) -> int:
    """Return the detection time, measured alike, for all-to-all heartbeats."""
    fleet = HeartbeatFleet(4, seed, estimated_bytes, HEARTBEAT)
    # The same time as for the product.
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
    """Return the growth in percent per doubling of the fleet, between the ends of `FLEET_SIZES`."""
    doublings = math.log2(FLEET_SIZES[-1] / FLEET_SIZES[0])
    return ((largest / smallest) ** (1 / doublings) - 1) * 100


def measure(repetitions: int, size_of: SizeOf = estimated_bytes) -> list[Figure]:
    """Measure product and baseline alternately and return the figures."""
    product: list[dict[int, Load]] = []
    baseline: list[dict[int, Load]] = []
    settling: list[float] = []
    detections: list[tuple[float, float]] = []
    for seed in range(repetitions):
        product.append({})
        baseline.append({})
        # Measure all sizes in immediate succession, since the clock rate of the CPU drifts.
        processor = {
            count: (product_processor_us(count, seed), baseline_processor_us(count, seed))
            for count in FLEET_SIZES
        }
        for count, (product_us, baseline_us) in processor.items():
            load, settling_bytes = product_load(count, seed, size_of)
            product[-1][count] = replace(load, processor_us=product_us)
            load = baseline_load(count, seed, size_of)
            baseline[-1][count] = replace(load, processor_us=baseline_us)
            settling.append(settling_bytes)
        kills = range(seed * KILLS, (seed + 1) * KILLS)
        detected = [(product_detection_ms(kill), baseline_detection_ms(kill)) for kill in kills]
        detections.append((max(ms for ms, _ in detected), max(ms for _, ms in detected)))
    _print_loads("product", product)
    _print_loads("baseline", baseline)
    print_spread("product settling most bytes of a daemon", "bytes/s", settling)
    figures = [
        _slope_figure(product, baseline, field) for field in ("bytes", "messages", "processor_us")
    ]
    return [*figures, _max_bytes_figure(product, baseline), _detection_figure(detections)]


def _slope_figure(
    product: list[dict[int, Load]], baseline: list[dict[int, Load]], field: str
) -> Figure:
    product_values, baseline_values = (
        [
            slope_percent(getattr(run[FLEET_SIZES[0]], field), getattr(run[FLEET_SIZES[-1]], field))
            for run in runs
        ]
        for runs in (product, baseline)
    )
    name = "control_slope" if field == "bytes" else f"control_slope_{field}"
    print_spread(f"{name} product", "percent/doubling", product_values)
    print_spread(f"{name} baseline", "percent/doubling", baseline_values)
    value, target = median(product_values), SLOPE_TARGET_PERCENT
    verdict = verdict_under(value, target)
    return Figure(
        name, value, "percent/doubling", BASELINE, median(baseline_values), target, verdict
    )


def _max_bytes_figure(product: list[dict[int, Load]], baseline: list[dict[int, Load]]) -> Figure:
    product_value, baseline_value = (
        median(max(load.bytes for load in run.values()) for run in runs)
        for runs in (product, baseline)
    )
    target = BYTES_TARGET_PER_SECOND
    verdict = verdict_under(product_value, target)
    return Figure(
        "control_bytes_4_to_200",
        product_value,
        "bytes/s",
        BASELINE,
        baseline_value,
        target,
        verdict,
    )


def _detection_figure(detections: list[tuple[float, float]]) -> Figure:
    product_values, baseline_values = [ms for ms, _ in detections], [ms for _, ms in detections]
    print_spread("kill_noticed product", "ms", product_values)
    print_spread("kill_noticed baseline", "ms", baseline_values)
    value, target = median(product_values), DETECTION_TARGET_MS
    verdict = verdict_under(value, target)
    return Figure(
        "kill_noticed_p100", value, "ms", BASELINE, median(baseline_values), target, verdict
    )


def _print_loads(label: str, runs: list[dict[int, Load]]) -> None:
    for count in FLEET_SIZES:
        loads = [run[count] for run in runs]
        print_spread(f"{label} n={count} messages", "1/s", [load.messages for load in loads])
        print_spread(f"{label} n={count} bytes", "bytes/s", [load.bytes for load in loads])
        print_spread(f"{label} n={count} processor", "us/s", [load.processor_us for load in loads])


def _total(traffic: Iterable[SentTraffic]) -> SentTraffic:
    total = SentTraffic()
    for sent in traffic:
        total.messages += sent.messages
        total.bytes += sent.bytes
    return total


def _load(before: SentTraffic, after: SentTraffic, count: int, duration_ms: int) -> Load:
    daemon_seconds = count * duration_ms / 1000
    return Load(
        (after.messages - before.messages) / daemon_seconds,
        (after.bytes - before.bytes) / daemon_seconds,
    )


if __name__ == "__main__":
    for figure in measure(5):
        print_figure(figure)
