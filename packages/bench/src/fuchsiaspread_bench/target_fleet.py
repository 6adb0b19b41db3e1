"""Target fleets of the admission benchmarks, and a meter of their load."""

from collections.abc import Sequence
from dataclasses import dataclass

from fuchsiaspread_core.configuration import Target, TargetState
from fuchsiaspread_core.identifiers import Endpoint, TargetName, ZoneName

CONNECTIONS = 2000


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Number of targets in each availability zone, and the slots of each target."""

    name: str
    zone_counts: tuple[int, ...]
    slots: int

    @property
    def slot_count(self) -> int:
        """Return the total slots of all targets."""
        return sum(self.zone_counts) * self.slots

    def targets(self) -> dict[str, list[Target]]:
        """Return the targets by zone."""
        by_zone: dict[str, list[Target]] = {}
        number = 0
        for index, target_count in enumerate(self.zone_counts):
            zone = f"zone-{'abc'[index]}"
            by_zone[zone] = []
            for _ in range(target_count):
                number += 1
                by_zone[zone].append(_target(number, zone, self.slots))
        return by_zone


# Host counts of the design document: order desk and inspection at Empresa, tracking and manifests
# at Glenfixer.
ORDER_DESK = FleetShape("order-desk-7x3", (3, 2, 2), slots=3)
TRACKING = FleetShape("tracking-7x2", (3, 2, 2), slots=2)
INSPECTION = FleetShape("inspection-3x3", (1, 1, 1), slots=3)
MANIFESTS = FleetShape("manifests-3x2", (1, 1, 1), slots=2)


def _target(number: int, zone: str, slots: int) -> Target:
    name, tunnel = TargetName(f"target-{number}"), Endpoint(f"127.0.2.{number}", 6080)
    return Target(name, tunnel, ZoneName(zone), 1, TargetState.ACTIVE, slots, CONNECTIONS)


class LoadMeter:
    """Integrates the number of flows at each target over time, by window."""

    def __init__(self, names: Sequence[str], window_ms: float) -> None:
        self._window_ms = window_ms
        self._counts = dict.fromkeys(names, 0)
        self._since_ms = dict.fromkeys(names, 0.0)
        self._areas: dict[int, dict[str, float]] = {}

    def change(self, now_ms: float, name: str, difference: int) -> None:
        """Change the number of flows at a target."""
        self._integrate(now_ms, name)
        self._counts[name] += difference

    def imbalances(self, from_ms: float, until_ms: float) -> list[float]:
        """Return the ratio of the busiest target's load to the mean in each complete window."""
        for name in self._counts:
            self._integrate(until_ms, name)
        first, last = int(from_ms // self._window_ms), int(until_ms // self._window_ms)
        areas = [self._areas.get(window, {}) for window in range(first, last)]
        loads = [[area.get(name, 0.0) for name in self._counts] for area in areas]
        return [max(load) * len(load) / sum(load) for load in loads if sum(load) > 0]

    def _integrate(self, now_ms: float, name: str) -> None:
        since_ms, flow_count = self._since_ms[name], self._counts[name]
        while since_ms < now_ms:
            window = int(since_ms // self._window_ms)
            end_ms = min(now_ms, (window + 1) * self._window_ms)
            area = self._areas.setdefault(window, {})
            area[name] = area.get(name, 0.0) + flow_count * (end_ms - since_ms)
            since_ms = end_ms
        self._since_ms[name] = now_ms
