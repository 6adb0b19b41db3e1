"""Time limits of suspicions."""

import math
from dataclasses import dataclass

from ..identifiers import EntryName

# A suspicion and its refutation each need O(log n) intervals to get round.
SUSPICION_MS_PER_DOUBLING = 250
# The member that raised a suspicion tells its subject, and repeats this since datagrams get lost.
PROBES = 3
PROBE_PAUSE_MS = 125


@dataclass(slots=True)
class Suspicion:
    """Hold until when a member may refute, and the probes that are still to be sent to it."""

    until_ms: int
    probes_left: int = 0
    probe_due_ms: int = 0


class Suspicions:
    """Hold the suspicion of each suspected member."""

    def __init__(self) -> None:
        self._suspicions: dict[EntryName, Suspicion] = {}

    def start(self, now_ms: int, name: EntryName, member_count: int) -> None:
        """Start the time limit of a suspicion; it grows with the logarithm of the fleet."""
        doublings = math.ceil(math.log2(member_count + 1))
        self._suspicions[name] = Suspicion(now_ms + SUSPICION_MS_PER_DOUBLING * doublings)

    def raise_own(self, now_ms: int, name: EntryName) -> None:
        """Note that this member raised a suspicion itself, so that it probes the subject."""
        self._suspicions[name].probes_left = PROBES
        self._suspicions[name].probe_due_ms = now_ms

    def end(self, name: EntryName) -> None:
        """End a suspicion if there is one."""
        self._suspicions.pop(name, None)

    def take_probes(self, now_ms: int) -> list[EntryName]:
        """Return the subjects that are to be probed now."""
        due = []
        for name, one in self._suspicions.items():
            if one.probes_left > 0 and one.probe_due_ms <= now_ms:
                one.probes_left -= 1
                one.probe_due_ms = now_ms + PROBE_PAUSE_MS
                due.append(name)
        return due

    def expired(self, now_ms: int) -> list[EntryName]:
        """Return the members whose time limit has passed."""
        return [name for name, one in self._suspicions.items() if one.until_ms <= now_ms]

    def postpone(self, gap_ms: int) -> None:
        """Extend all time limits by a pause of the own process."""
        for one in self._suspicions.values():
            one.until_ms += gap_ms
