"""Slots of cancelled requests, which stay busy until the target is known to be done."""

from collections import OrderedDict
from dataclasses import dataclass

from ..identifiers import FlowKey

# A single report may have been made before the cancellation reached the target.
FREE_REPORTS_NEEDED = 2
# If the target ends a flow this long after a hint freed its slot, the hint was wrong.
LATE_END_MS = 250
DISTRUST_MS = 60_000
FREED_LIMIT = 64


@dataclass(slots=True)
class HeldSlot:
    """Hold the slot of a cancelled request.

    `flow` is None if its key was reused; `admitted_ms` is None if another manager admitted it.
    """

    flow: FlowKey | None
    is_long: bool
    admitted_ms: int | None
    expires_ms: int
    free_reports: int = 0


class HeldSlots:
    """Decide when the slots of a target's cancelled requests are free again."""

    def __init__(self) -> None:
        self._slots: list[HeldSlot] = []
        self._freed_by_hint: OrderedDict[FlowKey, int] = OrderedDict()
        self._distrusted_until_ms = 0

    def __len__(self) -> int:
        return len(self._slots)

    def add(self, slot: HeldSlot) -> None:
        """Hold a slot."""
        self._slots.append(slot)

    def detach(self, flow: FlowKey) -> None:
        """Hold the slot of a flow whose key a new open reuses, until a hint or the time limit."""
        for slot in self._slots:
            if slot.flow == flow:
                slot.flow = None

    def take(self, flow: FlowKey) -> HeldSlot | None:
        """Remove and return the slot of a flow that the target ended, or None."""
        for index, slot in enumerate(self._slots):
            if slot.flow == flow:
                return self._slots.pop(index)
        return None

    def expire(self, now_ms: int) -> list[HeldSlot]:
        """Remove and return the slots that reached the time limit."""
        expired = [slot for slot in self._slots if slot.expires_ms <= now_ms]
        self._slots = [slot for slot in self._slots if slot.expires_ms > now_ms]
        return expired

    def report(self, now_ms: int, apparently_free: int) -> list[HeldSlot]:
        """Remove and return the slots that two consecutive hints of the target reported free."""
        if now_ms < self._distrusted_until_ms:
            return []
        for index, slot in enumerate(self._slots):
            slot.free_reports = slot.free_reports + 1 if index < apparently_free else 0
        freed = [slot for slot in self._slots if slot.free_reports >= FREE_REPORTS_NEEDED]
        self._slots = [slot for slot in self._slots if slot.free_reports < FREE_REPORTS_NEEDED]
        for slot in freed:
            if slot.flow is not None:
                self._freed_by_hint[slot.flow] = now_ms
                if len(self._freed_by_hint) > FREED_LIMIT:
                    self._freed_by_hint.popitem(last=False)
        return freed

    def note_end(self, now_ms: int, flow: FlowKey) -> None:
        """Ignore hints for a while if a slot that they reported free was still busy."""
        freed_ms = self._freed_by_hint.pop(flow, None)
        if freed_ms is not None and now_ms - freed_ms > LATE_END_MS:
            self._distrusted_until_ms = now_ms + DISTRUST_MS
