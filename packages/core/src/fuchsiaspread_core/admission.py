"""Admission of opens to the targets of one shard."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from .configuration import AddressKind, RequestKind, Target, TargetState
from .flow_table import FlowRecord
from .identifiers import FlowKey, TargetName
from .notices import FlowEnd, Notice, RefusalReason


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """Ask for admission of an open; with `may_spill` a full shard declines it."""

    flow: FlowKey
    caller_token: int
    kind: AddressKind
    may_spill: bool


@dataclass(frozen=True, slots=True)
class Admit:
    """Give an open to a target."""

    flow: FlowKey
    target: TargetName
    waited_ms: int


@dataclass(frozen=True, slots=True)
class Enqueue:
    """Keep an open in the shard's queue."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class Decline:
    """Pass an open on, since the shard has no free capacity."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse an open as not run."""

    flow: FlowKey
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class Inform:
    """Report something to logs and counters."""

    notice: Notice


Decision = Admit | Enqueue | Decline | Refuse | Inform


class OpenFailure(StrEnum):
    """Name how a target failed an open."""

    SILENT = "silent"
    RESET = "reset"


class ShardAdmission:
    """Count the slots and connections of a shard's targets and choose targets for opens."""

    def __init__(self, seed: int = 0) -> None:
        self._targets: dict[TargetName, Target] = {}
        self._flows: dict[FlowKey, tuple[TargetName, bool]] = {}
        self._busy: dict[tuple[TargetName, bool], int] = {}

    def configure(self, now_ms: int, targets: Sequence[Target]) -> list[Decision]:
        """Take the shard's targets of a new configuration."""
        self._targets = {target.name: target for target in targets}
        return []

    def offer(self, now_ms: int, request: OpenRequest) -> Decision:
        """Decide about a new open."""
        is_request = isinstance(request.kind, RequestKind)
        free = [t for t in self._targets.values() if self._free(t, is_request) > 0]
        if not free:
            if request.may_spill:
                return Decline(request.flow)
            return Refuse(request.flow, RefusalReason.QUEUE_FULL)
        target = max(free, key=lambda t: self._free(t, is_request))
        self._flows[request.flow] = (target.name, is_request)
        key = (target.name, is_request)
        self._busy[key] = self._busy.get(key, 0) + 1
        return Admit(request.flow, target.name, 0)

    def accept(self, now_ms: int, flow: FlowKey) -> list[Decision]:
        """Note that the target answered the open; after this the flow is never moved."""
        return []

    def fail_open(self, now_ms: int, flow: FlowKey, failure: OpenFailure) -> list[Decision]:
        """Give an open that its target failed to another target, or refuse it."""
        self._release(flow)
        return [Refuse(flow, RefusalReason.RETRIES_USED)]

    def cancel(self, now_ms: int, flow: FlowKey) -> list[Decision]:
        """Note that the caller left; the slot stays busy until the target is known to be free."""
        return self.release(now_ms, flow, FlowEnd.CANCELLED)

    def release(self, now_ms: int, flow: FlowKey, end: FlowEnd) -> list[Decision]:
        """Free the slot of a flow that ended and admit what waits for it."""
        self._release(flow)
        return []

    def adopt(self, now_ms: int, record: FlowRecord, kind: AddressKind) -> None:
        """Count a flow that another manager admitted."""
        if record.flow in self._flows:
            return
        key = (record.target, isinstance(kind, RequestKind))
        self._flows[record.flow] = key
        self._busy[key] = self._busy.get(key, 0) + 1

    def report_load(self, now_ms: int, target: TargetName, busy_slots: int, shed: bool) -> None:
        """Take a target's own statement of its load as a hint."""

    def tick(self, now_ms: int) -> list[Decision]:
        """Act on deadlines: silent targets, expired queue entries, unconfirmed slots."""
        return []

    def is_managed(self, flow: FlowKey) -> bool:
        """Return whether the flow counts here."""
        return flow in self._flows

    def _free(self, target: Target, is_request: bool) -> int:
        if target.state is not TargetState.ACTIVE:
            return 0
        limit = target.slots if is_request else target.connections
        return limit - self._busy.get((target.name, is_request), 0)

    def _release(self, flow: FlowKey) -> None:
        key = self._flows.pop(flow, None)
        if key is not None:
            self._busy[key] -= 1
