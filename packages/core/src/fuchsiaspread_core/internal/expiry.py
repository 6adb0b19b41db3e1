"""Removal of flow records that are no longer needed."""

from collections import deque

from ..flow_table import ENDED_PHASES, FlowTable
from ..identifiers import FlowKey

# How long the record of an ended flow is kept for retransmissions of its last packets.
LINGER_MS = 10_000
# A stream without a packet in either direction for this time counts as gone. If its record was
# still needed, it is recovered from former managers or the targets.
IDLE_LIMIT_S = 4 * 3600
# Bounds the time that one tick spends on searching for idle records.
IDLE_CHECKS_PER_TICK = 500


class RecordExpiry:
    """Find expired records, checking a bounded number of idle ones at each tick."""

    def __init__(self, table: FlowTable) -> None:
        self._table = table
        self._ended: deque[tuple[int, FlowKey]] = deque()
        self._to_check: list[FlowKey] = []

    def note_end(self, now_ms: int, flow: FlowKey) -> None:
        """Schedule the record of an ended flow to expire after the linger time."""
        self._ended.append((now_ms + LINGER_MS, flow))

    def due(self, now_ms: int) -> list[FlowKey]:
        """Return the flows whose records must be removed now."""
        flows = []
        while self._ended and self._ended[0][0] <= now_ms:
            flow = self._ended.popleft()[1]
            row = self._table.row(flow)
            # The key may already be in use by a new connection.
            if row >= 0 and self._table.phases[row] in ENDED_PHASES:
                flows.append(flow)
        return flows + self._idle(now_ms)

    def _idle(self, now_ms: int) -> list[FlowKey]:
        if not self._to_check:
            self._to_check = self._table.flows()
        checked = self._to_check[-IDLE_CHECKS_PER_TICK:]
        del self._to_check[-IDLE_CHECKS_PER_TICK:]
        oldest_s = now_ms // 1000 - IDLE_LIMIT_S
        return [flow for flow in checked if self._is_idle(flow, oldest_s)]

    def _is_idle(self, flow: FlowKey, oldest_s: int) -> bool:
        row = self._table.row(flow)
        return row >= 0 and self._table.seen_s[row] < oldest_s
