"""The flow records of one entry VM, stored in columns."""

from array import array
from collections.abc import Collection
from dataclasses import dataclass
from enum import IntEnum

from .identifiers import FlowKey, TargetName


class Phase(IntEnum):
    """Phase of a flow record."""

    QUEUED = 0
    SPILLED = 1
    OPENING = 2
    ACCEPTED = 3
    ESTABLISHED = 4
    CANCELLED = 5
    CLOSING = 6
    CLOSED = 7
    REFUSED = 8


class Signal(IntEnum):
    """Event that moves a flow record from one phase to another."""

    ADMIT = 0
    ACCEPT = 1
    CONFIRM = 2
    CANCEL = 3
    TARGET_CLOSE = 4
    TARGET_RESET = 5
    REFUSE = 6


# A signal without an entry does not change the phase. No entry leads from a phase after the
# SYN-ACK back to one before it: work that a target may have run is never moved or refused.
TRANSITIONS: dict[tuple[Phase, Signal], Phase] = {
    (Phase.QUEUED, Signal.ADMIT): Phase.OPENING,
    (Phase.QUEUED, Signal.REFUSE): Phase.REFUSED,
    (Phase.SPILLED, Signal.ADMIT): Phase.OPENING,
    (Phase.SPILLED, Signal.ACCEPT): Phase.ACCEPTED,
    (Phase.SPILLED, Signal.REFUSE): Phase.REFUSED,
    (Phase.OPENING, Signal.ADMIT): Phase.OPENING,
    (Phase.OPENING, Signal.ACCEPT): Phase.ACCEPTED,
    (Phase.OPENING, Signal.CANCEL): Phase.CANCELLED,
    (Phase.OPENING, Signal.REFUSE): Phase.REFUSED,
    (Phase.ACCEPTED, Signal.CONFIRM): Phase.ESTABLISHED,
    (Phase.ACCEPTED, Signal.CANCEL): Phase.CANCELLED,
    (Phase.ACCEPTED, Signal.TARGET_CLOSE): Phase.CLOSING,
    (Phase.ACCEPTED, Signal.TARGET_RESET): Phase.CLOSED,
    (Phase.ESTABLISHED, Signal.CANCEL): Phase.CANCELLED,
    (Phase.ESTABLISHED, Signal.TARGET_CLOSE): Phase.CLOSING,
    (Phase.ESTABLISHED, Signal.TARGET_RESET): Phase.CLOSED,
    (Phase.CANCELLED, Signal.TARGET_CLOSE): Phase.CLOSED,
    (Phase.CANCELLED, Signal.TARGET_RESET): Phase.CLOSED,
    (Phase.CLOSING, Signal.TARGET_RESET): Phase.CLOSED,
}

# Phases in which the target may hold the connection, so that caller packets go to it.
FORWARDED_PHASES = frozenset(
    {Phase.ACCEPTED, Phase.ESTABLISHED, Phase.CANCELLED, Phase.CLOSING, Phase.CLOSED}
)
# Phases in which the flow counts against its target's slots or connections.
COUNTED_PHASES = frozenset({Phase.OPENING, Phase.ACCEPTED, Phase.ESTABLISHED, Phase.CANCELLED})
# Phases in which the flow key may be reused by a new connection.
ENDED_PHASES = frozenset({Phase.CANCELLED, Phase.CLOSING, Phase.CLOSED, Phase.REFUSED})

NO_TARGET = TargetName("")


@dataclass(frozen=True, slots=True)
class FlowRecord:
    """Hold the state of one flow, in the form that entry VMs exchange.

    A token is the initial sequence number that the caller or the target chose (SYN, SYN-ACK).
    """

    flow: FlowKey
    target: TargetName
    phase: Phase
    caller_token: int
    target_token: int


class FlowTable:
    """Map flow keys to records; columns take far less memory than an object per record."""

    def __init__(self) -> None:
        self._rows: dict[FlowKey, int] = {}
        self._free_rows: list[int] = []
        self._target_numbers: dict[TargetName, int] = {NO_TARGET: 0}
        self._target_names: list[TargetName] = [NO_TARGET]
        self.targets = array("H")
        self.phases = bytearray()
        self.caller_tokens = array("I")
        self.target_tokens = array("I")
        self.seen_s = array("I")

    def __len__(self) -> int:
        return len(self._rows)

    def row(self, flow: FlowKey) -> int:
        """Return the row of a flow, or -1 if there is no record."""
        return self._rows.get(flow, -1)

    def target_name(self, row: int) -> TargetName:
        """Return the name of the target in a row."""
        return self._target_names[self.targets[row]]

    def phase(self, row: int) -> Phase:
        """Return the phase of a row."""
        return Phase(self.phases[row])

    def phase_of(self, flow: FlowKey) -> Phase | None:
        """Return the phase of a flow, or None if there is no record."""
        row = self._rows.get(flow, -1)
        return None if row < 0 else Phase(self.phases[row])

    def record(self, flow: FlowKey) -> FlowRecord | None:
        """Return the record of a flow, or None if there is no record."""
        row = self._rows.get(flow, -1)
        return None if row < 0 else self._record_at(flow, row)

    def records_of(
        self, targets: Collection[TargetName], phases: Collection[Phase]
    ) -> list[FlowRecord]:
        """Return the records of some targets in some phases, creating objects only for these."""
        numbers = {self._target_numbers[name] for name in targets if name in self._target_numbers}
        return [
            self._record_at(flow, row)
            for flow, row in self._rows.items()
            if self.targets[row] in numbers and self.phases[row] in phases
        ]

    def flows(self) -> list[FlowKey]:
        """Return the keys of all records."""
        return list(self._rows)

    def put(self, record: FlowRecord, now_ms: int) -> int:
        """Store a record, replacing any record with the same key; return its row."""
        row = self._rows.get(record.flow, -1)
        if row < 0:
            row = self._new_row()
            self._rows[record.flow] = row
        self.targets[row] = self._target_number(record.target)
        self.phases[row] = record.phase
        self.caller_tokens[row] = record.caller_token
        self.target_tokens[row] = record.target_token
        self.seen_s[row] = now_ms // 1000
        return row

    def signal(self, row: int, signal: Signal) -> Phase:
        """Apply a signal to a row by the transition table and return the resulting phase."""
        phase = Phase(self.phases[row])
        next_phase = TRANSITIONS.get((phase, signal), phase)
        self.phases[row] = next_phase
        return next_phase

    def remove(self, flow: FlowKey) -> None:
        """Remove the record of a flow, if there is one."""
        row = self._rows.pop(flow, -1)
        if row >= 0:
            self._free_rows.append(row)

    def _record_at(self, flow: FlowKey, row: int) -> FlowRecord:
        return FlowRecord(
            flow,
            self.target_name(row),
            Phase(self.phases[row]),
            self.caller_tokens[row],
            self.target_tokens[row],
        )

    def _new_row(self) -> int:
        if self._free_rows:
            return self._free_rows.pop()
        self.targets.append(0)
        self.phases.append(0)
        self.caller_tokens.append(0)
        self.target_tokens.append(0)
        self.seen_s.append(0)
        return len(self.phases) - 1

    def _target_number(self, name: TargetName) -> int:
        number = self._target_numbers.get(name)
        if number is None:
            number = len(self._target_names)
            self._target_numbers[name] = number
            self._target_names.append(name)
        return number
