"""The pending probes of one entry VM: its own, and those that it relays for others."""

from dataclasses import dataclass
from enum import Enum, auto

from ..identifiers import EntryName

# Fifty times the round trip between zones, so that a process on a busy VM answers in time.
PROBE_TIMEOUT_MS = 100
# Counted from the direct probe, so the indirect probes have the remaining time. The total must be
# shorter than a probe interval.
INDIRECT_TIMEOUT_MS = 250
# Bounds the pending relayed probes, so that a faulty peer cannot exhaust the memory.
MAX_RELAYED = 64


class ProbePhase(Enum):
    """Phase of a probe."""

    DIRECT = auto()
    INDIRECT = auto()
    ANSWERED = auto()
    UNANSWERED = auto()


class ProbeSignal(Enum):
    """Event that moves a probe from one phase to another."""

    ANSWER = auto()
    TIMEOUT = auto()


PROBE_TRANSITIONS: dict[tuple[ProbePhase, ProbeSignal], ProbePhase] = {
    (ProbePhase.DIRECT, ProbeSignal.ANSWER): ProbePhase.ANSWERED,
    (ProbePhase.DIRECT, ProbeSignal.TIMEOUT): ProbePhase.INDIRECT,
    (ProbePhase.INDIRECT, ProbeSignal.ANSWER): ProbePhase.ANSWERED,
    (ProbePhase.INDIRECT, ProbeSignal.TIMEOUT): ProbePhase.UNANSWERED,
}


@dataclass(slots=True)
class PendingProbe:
    """Hold the probe of the current interval."""

    target: EntryName
    sequence: int
    sent_ms: int
    phase: ProbePhase = ProbePhase.DIRECT

    def signal(self, signal: ProbeSignal) -> ProbePhase:
        """Apply a signal by the transition table and return the resulting phase."""
        self.phase = PROBE_TRANSITIONS.get((self.phase, signal), self.phase)
        return self.phase

    def is_due(self, now_ms: int) -> bool:
        """Return whether the current phase has timed out."""
        is_direct = self.phase is ProbePhase.DIRECT
        timeout_ms = PROBE_TIMEOUT_MS if is_direct else INDIRECT_TIMEOUT_MS
        return now_ms - self.sent_ms >= timeout_ms


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """Hold a probe that is made on behalf of another member."""

    requester: EntryName
    sequence: int
    subject: EntryName
    until_ms: int


class RelayedProbes:
    """Hold the relayed probes by their local sequence number."""

    def __init__(self) -> None:
        self._probes: dict[int, RelayedProbe] = {}

    def add(self, sequence: int, probe: RelayedProbe) -> None:
        """Add a probe; evicts the oldest one when there are too many."""
        if len(self._probes) >= MAX_RELAYED:
            del self._probes[next(iter(self._probes))]
        self._probes[sequence] = probe

    def pop(self, sequence: int, subject: EntryName) -> RelayedProbe | None:
        """Remove and return the probe that a member answered, or None."""
        probe = self._probes.get(sequence)
        if probe is None or probe.subject != subject:
            return None
        return self._probes.pop(sequence)

    def expire(self, now_ms: int) -> None:
        """Drop the probes whose requester no longer waits."""
        while self._probes:
            sequence, probe = next(iter(self._probes.items()))
            if probe.until_ms > now_ms:
                return
            del self._probes[sequence]
