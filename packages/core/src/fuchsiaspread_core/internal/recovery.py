"""Recovery of a flow's lost target by trying the targets of its service."""

from dataclasses import dataclass

from ..effects import Effect, SendToCaller
from ..identifiers import FlowKey, TargetName, address_of
from ..notices import DropReason
from ..rendezvous import rank
from .entry_state import EntryState, drop

# A dead candidate never resets the flow, so the next one is tried after this many packets.
PACKETS_PER_CANDIDATE = 3
ATTEMPT_LIMIT_MS = 60_000
# Bounds the memory that packets of unknown flows can use.
MAX_ATTEMPTS = 50_000


@dataclass(slots=True)
class Attempt:
    """Hold the state of one flow's recovery."""

    candidates: list[TargetName]
    started_ms: int
    packets_sent: int = 0


class Recovery:
    """Try the targets of a service, one packet at a time, until one knows the flow.

    A target's TCP stack answers a packet of an unknown connection with a reset. That reset is
    only due to the lost record, so it must not reach the caller.
    """

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._attempts: dict[FlowKey, Attempt] = {}

    def is_active(self, flow: FlowKey) -> bool:
        """Return whether this entry VM is searching for the flow's target."""
        return flow in self._attempts

    def send(self, now_ms: int, flow: FlowKey, payload: bytes) -> list[Effect]:
        """Send a caller's packet to the current candidate."""
        if not self._state.history.is_settled(now_ms, address_of(flow)):
            # The flow may have been opened when the address belonged to another service.
            return drop(DropReason.UNKNOWN_FLOW)
        attempt = self._attempts.get(flow) or self._start(now_ms, flow)
        if attempt is None:
            return drop(DropReason.UNKNOWN_FLOW)
        if attempt.packets_sent >= PACKETS_PER_CANDIDATE:
            attempt.candidates.append(attempt.candidates.pop(0))
            attempt.packets_sent = 0
        attempt.packets_sent += 1
        return self._state.to_target(attempt.candidates[0], payload)

    def withhold_reset(self, flow: FlowKey, target: TargetName, payload: bytes) -> list[Effect]:
        """Drop a candidate that reset the flow; deliver the reset only if no candidate is left."""
        attempt = self._attempts[flow]
        if target in attempt.candidates:
            attempt.candidates.remove(target)
            attempt.packets_sent = 0
        if attempt.candidates:
            return []
        del self._attempts[flow]
        return [SendToCaller(payload)]

    def confirm(self, flow: FlowKey) -> bool:
        """End the recovery of a flow whose target was found; return whether one was active."""
        return self._attempts.pop(flow, None) is not None

    def tick(self, now_ms: int) -> None:
        """Drop attempts that have lasted too long."""
        # Attempts are inserted in the order of their start.
        while self._attempts:
            flow, attempt = next(iter(self._attempts.items()))
            if now_ms - attempt.started_ms < ATTEMPT_LIMIT_MS:
                return
            del self._attempts[flow]

    def _start(self, now_ms: int, flow: FlowKey) -> Attempt | None:
        address = self._state.routes.address(flow)
        if address is None or len(self._attempts) >= MAX_ATTEMPTS:
            return None
        candidates: list[TargetName] = []
        for shard in self._state.routes.shard_order(flow, address.service):
            targets = self._state.routes.index.shards[shard]
            candidates += rank(flow, [target.name for target in targets])
        if not candidates:
            return None
        attempt = self._attempts[flow] = Attempt(candidates, now_ms)
        return attempt
