"""The probes that one entry VM has open: its own, and those it makes for others."""

from dataclasses import dataclass
from enum import Enum, auto

from ..identifiers import EntryName

# Fifty times the round trip between zones; a process on a busy VM answers within this time.
PROBE_TIMEOUT_MS = 100
# From the first probe; the indirect probes have the rest, and all of it fits in one interval.
INDIRECT_TIMEOUT_MS = 250
# Requests of others that wait for an answer; a faulty peer cannot fill the memory with them.
MAX_RELAYED = 64


class ProbePhase(Enum):
    """Name the phases of a probe."""

    DIRECT = auto()
    INDIRECT = auto()
    ANSWERED = auto()
    UNANSWERED = auto()


class ProbeSignal(Enum):
    """Name what moves a probe from phase to phase."""

    ANSWER = auto()
    TIMEOUT = auto()


PROBE_TRANSITIONS: dict[tuple[ProbePhase, ProbeSignal], ProbePhase] = {
    (ProbePhase.DIRECT, ProbeSignal.ANSWER): ProbePhase.ANSWERED,
    (ProbePhase.DIRECT, ProbeSignal.TIMEOUT): ProbePhase.INDIRECT,
    (ProbePhase.INDIRECT, ProbeSignal.ANSWER): ProbePhase.ANSWERED,
    (ProbePhase.INDIRECT, ProbeSignal.TIMEOUT): ProbePhase.UNANSWERED,
}


@dataclass(slots=True)
class OpenProbe:
    """Hold the one probe of the current interval."""

    target: EntryName
    sequence: int
    sent_ms: int
    phase: ProbePhase = ProbePhase.DIRECT

    def signal(self, signal: ProbeSignal) -> ProbePhase:
        """Move along the transition table and return the phase."""
        self.phase = PROBE_TRANSITIONS.get((self.phase, signal), self.phase)
        return self.phase

    def is_due(self, now_ms: int) -> bool:
        """Return whether the current phase has timed out."""
        is_direct = self.phase is ProbePhase.DIRECT
        timeout_ms = PROBE_TIMEOUT_MS if is_direct else INDIRECT_TIMEOUT_MS
        return now_ms - self.sent_ms >= timeout_ms


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """Remember for whom a member is probed."""

    requester: EntryName
    sequence: int
    subject: EntryName
    until_ms: int


class RelayedProbes:
    """Hold the probes made for others, by the own sequence number."""

    def __init__(self) -> None:
        self._probes: dict[int, RelayedProbe] = {}

    def add(self, sequence: int, probe: RelayedProbe) -> None:
        """Remember a probe; the oldest one goes when there are too many."""
        if len(self._probes) >= MAX_RELAYED:
            del self._probes[next(iter(self._probes))]
        self._probes[sequence] = probe

    def pop(self, sequence: int, subject: EntryName) -> RelayedProbe | None:
        """Return and forget the probe that a member answers, if there is one."""
        probe = self._probes.get(sequence)
        if probe is None or probe.subject != subject:
            return None
        return self._probes.pop(sequence)

    def expire(self, now_ms: int) -> None:
        """Forget the probes whose requester no longer waits."""
        while self._probes:
            sequence, probe = next(iter(self._probes.items()))
            if probe.until_ms > now_ms:
                return
            del self._probes[sequence]
