"""Timeouts of suspicions."""

import math
from dataclasses import dataclass

from ..identifiers import EntryName

# A suspicion and its refutation each take O(log n) intervals to reach all members.
SUSPICION_MS_PER_DOUBLING = 250
# The member that raised a suspicion sends it to its subject several times, since datagrams get
# lost.
PROBES_PER_SUSPICION = 3
SUSPECT_PROBE_INTERVAL_MS = 125


@dataclass(slots=True)
class Suspicion:
    """Hold the time limit for a refutation and the probes that are still to be sent."""

    until_ms: int
    probes_left: int = 0
    probe_due_ms: int = 0


class Suspicions:
    """Track the suspicion of each suspected member."""

    def __init__(self) -> None:
        self._suspicions: dict[EntryName, Suspicion] = {}

    def start(self, now_ms: int, name: EntryName, member_count: int) -> None:
        """Start a suspicion; its timeout grows with the logarithm of the fleet size."""
        doublings = math.ceil(math.log2(member_count + 1))
        self._suspicions[name] = Suspicion(now_ms + SUSPICION_MS_PER_DOUBLING * doublings)

    def schedule_probes(self, now_ms: int, name: EntryName) -> None:
        """Schedule probes of the subject of a suspicion that this member raised itself."""
        self._suspicions[name].probes_left = PROBES_PER_SUSPICION
        self._suspicions[name].probe_due_ms = now_ms

    def end(self, name: EntryName) -> None:
        """End the suspicion of a member, if there is one."""
        self._suspicions.pop(name, None)

    def pop_due_probes(self, now_ms: int) -> list[EntryName]:
        """Return the subjects to probe now."""
        due = []
        for name, suspicion in self._suspicions.items():
            if suspicion.probes_left > 0 and suspicion.probe_due_ms <= now_ms:
                suspicion.probes_left -= 1
                suspicion.probe_due_ms = now_ms + SUSPECT_PROBE_INTERVAL_MS
                due.append(name)
        return due

    def expired(self, now_ms: int) -> list[EntryName]:
        """Return the members whose suspicion has timed out."""
        return [
            name for name, suspicion in self._suspicions.items() if suspicion.until_ms <= now_ms
        ]

    def postpone(self, gap_ms: int) -> None:
        """Extend all timeouts by a pause of this process."""
        for suspicion in self._suspicions.values():
            suspicion.until_ms += gap_ms
