"""Handling of packets on open flows, and resets of flows whose target is lost."""

from ..identifiers import TargetName, address_of
from .effects import DirectEffect, ForwardPacket, Notify, ResetCaller
from .events import CheckOutcome, FlowPacket
from .flows import Flow, FlowPhase, is_after, waiting_for
from .known_target import KnownTarget
from .notices import (
    DropReason,
    FlowReset,
    OpenAnswered,
    PacketDropped,
    PacketUnrouted,
    RequestAnswered,
    RequestEnd,
    RequestRepeated,
    RequestUnanswered,
    ResetReason,
)
from .passive_health import record_answer
from .routes import RouteKind
from .state import DirectState

# Callers retransmit a packet after 200 ms at the earliest. Old data that arrives sooner than this
# after newer data was reordered by the network.
MIN_RETRANSMIT_GAP_MS = 100


class FlowHandler:
    """Route packets by cookie and update flow records and target health from them."""

    def __init__(self, state: DirectState) -> None:
        self._state = state

    def handle(self, now_ms: int, event: FlowPacket) -> list[DirectEffect]:
        """Handle a caller's packet on an open flow."""
        state = self._state
        assert state.routes is not None
        target = state.targets.by_cookie(event.cookie)
        if target is None:
            return [Notify(PacketDropped(event.flow, DropReason.UNKNOWN_COOKIE))]
        address = address_of(event.flow)
        route = state.routes.find(address)
        if route is None:
            if address in state.dropped_routes:
                return self._reset_dropped(event, target)
            return self._forward_unrouted(event, target)
        flow = state.flows.get(event.flow)
        if flow is None and event.data_bytes and not event.is_reset:
            flow = state.flows.add(event.flow, route, now_ms, FlowPhase.OPEN)
        effects: list[DirectEffect] = []
        if flow is not None and flow.owns(event.sequence):
            effects += self._observe(now_ms, flow, target, event)
            if event.data_bytes and _should_reset(now_ms, flow, target):
                return effects + self._reset(now_ms, flow, target, event.ack_number)
            if _has_ended(event):
                end = RequestEnd.CALLER_RESET if event.is_reset else RequestEnd.CALLER_CLOSED
                effects += _report_unanswered(now_ms, flow, end)
                state.flows.remove(event.flow)
        endpoint = target.published.endpoint
        effects.append(ForwardPacket(target.name, endpoint, event.packet))
        return effects

    def _reset_dropped(self, event: FlowPacket, target: KnownTarget) -> list[DirectEffect]:
        self._state.flows.remove(event.flow)
        reset = FlowReset(event.flow, target.name, ResetReason.ROUTE_REMOVED, b"")
        return [ResetCaller(event.flow, event.ack_number), Notify(reset)]

    def _forward_unrouted(self, event: FlowPacket, target: KnownTarget) -> list[DirectEffect]:
        """Forward a packet whose route is not known here: its cookie names the target.

        The VM that placed the flow knew a route, which this one has not read yet or which was
        dropped before this one started. A record is kept once the route is known.
        """
        forwarded = PacketUnrouted(event.flow, target.name, self._state.version)
        forward = ForwardPacket(target.name, target.published.endpoint, event.packet)
        return [forward, Notify(forwarded)]

    def handle_check(
        self, now_ms: int, name: TargetName, outcome: CheckOutcome
    ) -> list[DirectEffect]:
        """Handle the outcome of a check; reset flows that wait for an unreachable target."""
        target = self._state.targets.by_name(name)
        if target is None:
            return []
        effects = self._state.reachability_checks.handle_outcome(now_ms, target, outcome)
        if target.reachability.is_unreachable:
            for flow in waiting_for(target):
                if _should_reset(now_ms, flow, target):
                    effects += self._reset(now_ms, flow, target, flow.acknowledged)
        return effects

    def expire(self, now_ms: int) -> list[DirectEffect]:
        """Remove idle flow records and requests past their timeout, a bounded number per call."""
        if self._state.routes is None:
            return []
        effects: list[DirectEffect] = []
        idle_ms = self._state.routes.idle_timeout_ms
        for flow in list(self._state.flows.next_for_expiry()):
            if now_ms - flow.last_seen_ms > idle_ms:
                effects += _report_unanswered(now_ms, flow, RequestEnd.FORGOTTEN)
                self._state.flows.remove(flow.key)
            elif flow.is_busy_longer_than(now_ms, flow.route.timeout_ms):
                effects += _report_unanswered(now_ms, flow, RequestEnd.FORGOTTEN)
                flow.end_request()
        return effects

    def _observe(
        self, now_ms: int, flow: Flow, target: KnownTarget, event: FlowPacket
    ) -> list[DirectEffect]:
        """Update a flow record and the health of its target from a packet."""
        effects: list[DirectEffect] = []
        flow.assign(target)
        flow.last_seen_ms = now_ms
        if flow.phase is FlowPhase.OPENING:
            flow.mark_open(event.sequence, event.ack_number)
            effects += self._record_answer(now_ms, target)
            waited_ms = now_ms - flow.opened_ms
            effects.append(Notify(OpenAnswered(target.published.service, waited_ms)))
        if flow.sent_end is None:
            flow.sent_end, flow.acknowledged = event.sequence, event.ack_number
        if is_after(event.ack_number, flow.acknowledged):
            flow.acknowledged = event.ack_number
            flow.retransmits = 0
            effects += _report_answered(now_ms, flow, target)
            flow.end_request()
            effects += self._record_answer(now_ms, target)
        end = event.sequence + event.data_bytes
        if event.data_bytes and is_after(end, flow.sent_end):
            flow.sent_end, flow.sent_ms = end, now_ms
            flow.begin_request(now_ms)
            flow.request = flow.request or event.packet
            effects += self._state.reachability_checks.check_in_lost_zone(now_ms, target)
        elif event.data_bytes and now_ms - flow.sent_ms >= MIN_RETRANSMIT_GAP_MS:
            flow.retransmits += 1
            effects += _report_retransmitted(now_ms, flow, target)
            if target.health.answered_ms <= flow.sent_ms:
                effects += self._state.reachability_checks.start_check(now_ms, target)
        return effects

    def _record_answer(self, now_ms: int, target: KnownTarget) -> list[DirectEffect]:
        self._state.reachability_checks.record_answer(now_ms, target)
        self._state.targets.record_answer(target)
        return record_answer(now_ms, target)

    def _reset(
        self, now_ms: int, flow: Flow, target: KnownTarget, ack_number: int
    ) -> list[DirectEffect]:
        is_gone = target.is_gone(now_ms)
        reason = ResetReason.TARGET_GONE if is_gone else ResetReason.TARGET_UNREACHABLE
        reset = FlowReset(flow.key, target.name, reason, flow.request)
        self._state.flows.remove(flow.key)
        return [ResetCaller(flow.key, ack_number), Notify(reset)]


def _has_ended(event: FlowPacket) -> bool:
    """Return whether a caller's packet ends its flow.

    A caller may close its side with the last data of its request and still wait for the answer.
    """
    return event.is_reset or (event.is_last and not event.data_bytes)


def _should_reset(now_ms: int, flow: Flow, target: KnownTarget) -> bool:
    """Return whether a flow's target is lost and its caller may safely retry the request."""
    if flow.route.kind is not RouteKind.IDEMPOTENT:
        return False
    if target.reachability.is_unreachable:
        return True
    # A target that answers others while its entry is missing is only slow to report.
    is_silent = target.health.answered_ms <= flow.sent_ms
    return flow.retransmits > 0 and is_silent and target.is_gone(now_ms)


def _report_answered(now_ms: int, flow: Flow, target: KnownTarget) -> list[DirectEffect]:
    if flow.busy_since_ms is None or not flow.request:
        return []
    took_ms = now_ms - flow.busy_since_ms
    objective_ms = flow.route.latency_objective_ms
    is_late = 0 < objective_ms < took_ms
    service = target.published.service
    answered = RequestAnswered(flow.key, service, target.name, took_ms, is_late, flow.request)
    return [Notify(answered)]


def _report_retransmitted(now_ms: int, flow: Flow, target: KnownTarget) -> list[DirectEffect]:
    waited_ms = now_ms - flow.sent_ms
    silent_ms = now_ms - target.health.answered_ms
    return [Notify(RequestRepeated(flow.key, target.name, waited_ms, silent_ms, flow.request))]


def _report_unanswered(now_ms: int, flow: Flow, end: RequestEnd) -> list[DirectEffect]:
    if flow.busy_since_ms is None or flow.target is None or not flow.request:
        return []
    waited_ms = now_ms - flow.busy_since_ms
    return [Notify(RequestUnanswered(flow.key, flow.target.name, waited_ms, end, flow.request))]
