"""Handling of opens (SYN): choice of a target, and retries of unanswered ones."""

from ..identifiers import address_of
from ..retry_budget import RetryBudget
from .effects import DirectEffect, ForwardOpen, Notify, ResetCaller
from .events import OpenPacket
from .flows import Flow, FlowPhase
from .notices import DropReason, OpenPlaced, OpenRefusal, OpenRefused, PacketDropped
from .passive_health import record_unanswered_open
from .pending_opens import PendingOpens
from .placement import Placement
from .state import DirectState

# Maximum number of targets that one open is sent to.
MAX_ATTEMPTS = 4
# With half of the targets behind a partition, about every second open needs a retry.
RETRIES_PER_OPEN = 0.5


class OpenHandler:
    """Send opens to targets and retry those that are not answered in time."""

    def __init__(self, state: DirectState, seed: int) -> None:
        self._state = state
        self._pending = PendingOpens()
        self._budget = RetryBudget(RETRIES_PER_OPEN)
        self._placement = Placement(state.targets, seed.to_bytes(8, "big"))

    @property
    def deadline_ms(self) -> int | None:
        """Return when the next pending open is due for a retry, or None."""
        return self._pending.deadline_ms

    def clear_pending(self) -> None:
        """Discard all pending opens: after a process pause, a missing answer proves nothing."""
        self._pending.clear()

    def handle(self, now_ms: int, event: OpenPacket) -> list[DirectEffect]:
        """Handle a caller's open or a retransmission of it."""
        assert self._state.routes is not None
        route = self._state.routes.find(address_of(event.flow))
        if route is None:
            refused = OpenRefused(event.flow, OpenRefusal.NO_ROUTE, self._state.version)
            return [ResetCaller(event.flow, 0), Notify(refused)]
        flow = self._state.flows.get(event.flow)
        if flow is not None and flow.is_duplicate_open(event.retransmit_count, event.packet):
            return []
        if flow is None or event.retransmit_count <= flow.open_retransmit_count:
            flow = self._state.flows.add(event.flow, route, now_ms, FlowPhase.OPENING)
            self._budget.earn()
        flow.open_sequence, flow.open_packet = event.sequence, event.packet
        flow.open_retransmit_count, flow.last_seen_ms = event.retransmit_count, now_ms
        return self._place(now_ms, flow)

    def retry_due(self, now_ms: int) -> list[DirectEffect]:
        """Retry the opens that were not answered in time."""
        effects: list[DirectEffect] = []
        for key, attempt_ms in self._pending.pop_due(now_ms):
            flow = self._state.flows.get(key)
            if flow is not None and flow.is_attempt_unanswered(attempt_ms):
                effects += self._retry(now_ms, flow)
        return effects

    def _place(self, now_ms: int, flow: Flow) -> list[DirectEffect]:
        service = flow.route.service_for(flow.key)
        candidates = self._state.targets.of_service(service)
        # An open that one target did not answer is retried in another zone, which may be reachable.
        avoided_zones = {known.published.zone for known in candidates if known.name in flow.tried}
        lost_zones = self._state.reachability_checks.lost_zones(now_ms)
        target = self._placement.choose(
            now_ms, flow.key, candidates, flow.tried, avoided_zones, lost_zones
        )
        if target is None:
            return self._drop_or_refuse(flow)
        placed = OpenPlaced(
            flow.key,
            service,
            flow.route.name,
            self._state.version,
            target.name,
            len(flow.tried),
            target.busy_requests,
            target.open_flows,
        )
        flow.tried.append(target.name)
        flow.assign(target)
        flow.begin_request(now_ms)
        flow.attempt_ms = now_ms
        target.health.record_open(now_ms)
        self._pending.add(now_ms, flow.key)
        endpoint = target.published.endpoint
        forward = ForwardOpen(target.name, endpoint, target.cookie, flow.open_packet)
        return [forward, Notify(placed)]

    def _drop_or_refuse(self, flow: Flow) -> list[DirectEffect]:
        if flow.tried:
            # The next retransmission of the open may go to any target again.
            flow.tried.clear()
            return [Notify(PacketDropped(flow.key, DropReason.NO_OTHER_TARGET))]
        self._state.flows.remove(flow.key)
        refused = OpenRefused(flow.key, OpenRefusal.NO_TARGET, self._state.version)
        return [ResetCaller(flow.key, 0), Notify(refused)]

    def _retry(self, now_ms: int, flow: Flow) -> list[DirectEffect]:
        """Send an unanswered open to another target."""
        assert flow.target is not None
        check = self._state.reachability_checks.start_check(now_ms, flow.target)
        if flow.target.busy_requests > flow.target.capacity(now_ms):
            # An overloaded target answers late; a second connection would only add to its load.
            return check
        effects = record_unanswered_open(now_ms, flow.target) + check
        flow.end_request()
        if len(flow.tried) >= MAX_ATTEMPTS or not self._budget.spend():
            return effects
        return effects + self._place(now_ms, flow)
