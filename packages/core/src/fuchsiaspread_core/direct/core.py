"""Decisions of an entry VM whose targets answer callers directly."""

from collections import deque
from collections.abc import Sequence
from typing import assert_never

from ..identifiers import TargetName, address_of
from ..internal.retry_budget import RetryBudget
from .effects import DirectEffect, ForwardOpen, ForwardPacket, Notify, ResetCaller
from .events import (
    CheckOutcome,
    DirectEvent,
    FlowPacket,
    OpenPacket,
    RoutesPublished,
    StopRequested,
    StoreReached,
    TargetChecked,
    TargetPublished,
    TargetRemoved,
    TargetsListed,
    Tick,
)
from .flows import Flow, FlowPhase, FlowRecords, is_after
from .notices import (
    DropReason,
    FlowReset,
    OpenPlaced,
    OpenRefusal,
    OpenRefused,
    PacketDropped,
    PauseSeen,
    ResetReason,
    RoutesInForce,
    TargetChanged,
    TargetCleared,
    TargetSuspected,
)
from .opens import PendingOpens
from .placement import Placement
from .reach_watch import ReachWatch
from .reachability import Sign
from .routes import RouteKind, RouteSet
from .target_health import Evidence
from .targets import KnownTarget, PublishedTarget, TargetDirectory

# A longer gap between two events means that the process stood still.
PAUSE_LIMIT_MS = 500
# Packets that come before routes and targets are known. Their senders repeat them after 200 ms,
# later ones after longer pauses; an older packet has been repeated by then.
HELD_LIMIT = 2_000
HELD_LIFETIME_MS = 800
# Sending the first ones must not wait for the decisions on all others.
RELEASED_AT_ONCE = 16
# Targets that one open is sent to at most.
MAX_ATTEMPTS = 4
# With half of the targets behind a partition, about every second open needs a retry.
RETRIES_PER_OPEN = 0.5


class DirectCore:
    """Place new flows, route open ones by their cookie, and judge targets by what callers send."""

    def __init__(self, seed: int, flow_lifetime_ms: int) -> None:
        self._routes: RouteSet | None = None
        self.targets = TargetDirectory(flow_lifetime_ms)
        self._has_targets = False
        self._flows = FlowRecords()
        self._opens = PendingOpens()
        self._budget = RetryBudget(RETRIES_PER_OPEN)
        self._reach = ReachWatch(self.targets)
        self._placement = Placement(self.targets, seed.to_bytes(8, "big"))
        self._held: deque[tuple[int, FlowPacket | OpenPacket]] = deque()
        self._last_event_ms: int | None = None
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Return whether the entry VM can serve and is to receive packets."""
        return self._is_configured and not self._is_stopping

    @property
    def _is_configured(self) -> bool:
        return self._routes is not None and self._has_targets

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 before the first."""
        return 0 if self._routes is None else self._routes.version

    @property
    def flow_count(self) -> int:
        """Return the number of flow records."""
        return len(self._flows)

    @property
    def deadline_ms(self) -> int | None:
        """Return when the next `Tick` is needed for waiting packets and opens, or None."""
        if self._held and self._is_configured:
            return self._last_event_ms
        return self._opens.deadline_ms

    def handle(self, now_ms: int, event: DirectEvent) -> list[DirectEffect]:
        """Take an event and return what is to be done."""
        effects = self._note_time(now_ms)
        match event:
            case FlowPacket() | OpenPacket() if not self._is_configured or self._held:
                effects += self._hold(now_ms, event)
            case FlowPacket() | OpenPacket():
                effects += self._take_any(now_ms, event)
            case Tick():
                effects += self._tick(now_ms)
            case RoutesPublished(routes=routes):
                effects += self._take_routes(routes)
            case TargetsListed(targets=targets):
                effects += self._take_list(now_ms, targets)
            case TargetPublished(target=target):
                effects += self._take_target(now_ms, target)
            case TargetRemoved(name=name):
                known = self.targets.by_name(name)
                if known is not None and self.targets.remove(now_ms, name):
                    effects.append(_changed(known))
            case TargetChecked(name=name, outcome=outcome):
                effects += self._take_check(now_ms, name, outcome)
            case StoreReached():
                pass
            case StopRequested():
                self._is_stopping = True
            case _:
                assert_never(event)
        return effects

    def _note_time(self, now_ms: int) -> list[DirectEffect]:
        last_ms = now_ms if self._last_event_ms is None else self._last_event_ms
        self._last_event_ms = max(last_ms, now_ms)
        gap_ms = now_ms - last_ms
        if gap_ms <= PAUSE_LIMIT_MS:
            return []
        self._opens.clear()
        return [Notify(PauseSeen(gap_ms))]

    def _take_any(self, now_ms: int, event: FlowPacket | OpenPacket) -> list[DirectEffect]:
        match event:
            case FlowPacket():
                return self._take_packet(now_ms, event)
            case OpenPacket():
                return self._take_open(now_ms, event)

    def _hold(self, now_ms: int, event: FlowPacket | OpenPacket) -> list[DirectEffect]:
        """Keep a packet until routes and targets are known."""
        if len(self._held) >= HELD_LIMIT:
            return [Notify(PacketDropped(event.flow, DropReason.NOT_CONFIGURED))]
        self._held.append((now_ms, event))
        return []

    def _release(self, now_ms: int) -> list[DirectEffect]:
        """Take the packets that waited for routes and targets."""
        if not self._is_configured:
            return []
        effects: list[DirectEffect] = []
        for _ in range(min(RELEASED_AT_ONCE, len(self._held))):
            held_ms, event = self._held.popleft()
            if now_ms - held_ms < HELD_LIFETIME_MS:
                effects += self._take_any(now_ms, event)
        return effects

    def _take_routes(self, routes: RouteSet) -> list[DirectEffect]:
        # A late answer of the store may hold an older version.
        if routes.version <= self.version:
            return []
        self._routes = routes
        return [Notify(RoutesInForce(routes.version, len(routes.routes)))]

    def _take_list(self, now_ms: int, targets: Sequence[PublishedTarget]) -> list[DirectEffect]:
        effects: list[DirectEffect] = []
        self._has_targets = True
        for target in targets:
            effects += self._take_target(now_ms, target)
        for name in self.targets.missing_from(target.name for target in targets):
            known = self.targets.by_name(name)
            if known is not None and self.targets.remove(now_ms, name):
                effects.append(_changed(known))
        return effects

    def _take_target(self, now_ms: int, target: PublishedTarget) -> list[DirectEffect]:
        if not self.targets.put(now_ms, target):
            return []
        known = self.targets.by_name(target.name)
        assert known is not None
        return [_changed(known)]

    def _take_open(self, now_ms: int, event: OpenPacket) -> list[DirectEffect]:
        assert self._routes is not None
        route = self._routes.find(address_of(event.flow))
        if route is None:
            refused = OpenRefused(event.flow, OpenRefusal.NO_ROUTE, self.version)
            return [ResetCaller(event.flow, 0), Notify(refused)]
        flow = self._flows.get(event.flow)
        if flow is not None and flow.is_repeated_by(event.copy_number, event.packet):
            return []
        if flow is None or event.copy_number <= flow.copies:
            flow = self._flows.add(event.flow, route, now_ms, FlowPhase.OPENING)
            self._budget.earn()
        flow.copies, flow.open_packet, flow.seen_ms = event.copy_number, event.packet, now_ms
        return self._place(now_ms, flow)

    def _place(self, now_ms: int, flow: Flow) -> list[DirectEffect]:
        service = flow.route.service_for(flow.key)
        candidates = self.targets.of_service(service)
        # An open that one target did not answer goes to another zone, which may be reachable.
        avoided = {known.published.zone for known in candidates if known.name in flow.tried}
        target = self._placement.choose(now_ms, flow.key, candidates, flow.tried, avoided)
        if target is None:
            if flow.tried:
                # A further copy of the open begins again with all targets.
                flow.tried.clear()
                return [Notify(PacketDropped(flow.key, DropReason.NO_OTHER_TARGET))]
            self._flows.remove(flow.key)
            refused = OpenRefused(flow.key, OpenRefusal.NO_TARGET, self.version)
            return [ResetCaller(flow.key, 0), Notify(refused)]
        placed = OpenPlaced(
            flow.key,
            service,
            flow.route.name,
            self.version,
            target.name,
            len(flow.tried),
            target.busy_requests,
            target.open_flows,
        )
        flow.tried.append(target.name)
        flow.assign(target)
        flow.begin_request(now_ms)
        flow.attempt_ms = now_ms
        target.health.start_open(now_ms)
        self._opens.add(now_ms, flow.key)
        endpoint = target.published.endpoint
        forward = ForwardOpen(target.name, endpoint, target.cookie, flow.open_packet)
        return [forward, Notify(placed)]

    def _take_packet(self, now_ms: int, event: FlowPacket) -> list[DirectEffect]:
        assert self._routes is not None
        flow = self._flows.get(event.flow)
        target = self.targets.by_cookie(event.cookie)
        if target is None:
            return [Notify(PacketDropped(event.flow, DropReason.UNKNOWN_COOKIE))]
        route = self._routes.find(address_of(event.flow))
        if route is None:
            self._flows.remove(event.flow)
            reset = FlowReset(event.flow, target.name, ResetReason.ROUTE_REMOVED)
            return [ResetCaller(event.flow, event.acknowledges), Notify(reset)]
        effects: list[DirectEffect] = []
        if flow is None and event.data_bytes and not event.is_reset:
            flow = self._flows.add(event.flow, route, now_ms, FlowPhase.OPEN)
        if flow is not None:
            effects += self._observe(now_ms, flow, target, event)
            if event.data_bytes and self._is_lost(now_ms, flow, target):
                return effects + self._reset(now_ms, flow, target, event.acknowledges)
            if event.is_reset or event.is_last:
                self._flows.remove(event.flow)
        endpoint = target.published.endpoint
        effects.append(ForwardPacket(target.name, endpoint, event.packet))
        return effects

    def _observe(
        self, now_ms: int, flow: Flow, target: KnownTarget, event: FlowPacket
    ) -> list[DirectEffect]:
        """Take what a packet shows of its flow and of the target behind it."""
        effects: list[DirectEffect] = []
        flow.assign(target)
        flow.seen_ms = now_ms
        if flow.phase is FlowPhase.OPENING:
            flow.phase = FlowPhase.OPEN
            flow.open_packet = b""
            flow.acknowledged = event.acknowledges
            flow.end_request()
            effects += self._judge(now_ms, target, Evidence.ANSWER)
        if flow.sent_end is None:
            flow.sent_end = event.sequence
            flow.acknowledged = event.acknowledges
        if is_after(event.acknowledges, flow.acknowledged):
            flow.acknowledged = event.acknowledges
            flow.repeats = 0
            flow.end_request()
            effects += self._judge(now_ms, target, Evidence.ANSWER)
        end = event.sequence + event.data_bytes
        if event.data_bytes and is_after(end, flow.sent_end):
            flow.sent_end = end
            flow.sent_ms = now_ms
            flow.begin_request(now_ms)
        elif event.data_bytes:
            flow.repeats += 1
            if target.health.answered_ms <= flow.sent_ms:
                effects += self._reach.doubt(now_ms, target)
        return effects

    def _is_lost(self, now_ms: int, flow: Flow, target: KnownTarget) -> bool:
        """Return whether a flow has lost its target, and its caller may repeat the request."""
        if flow.route.kind is not RouteKind.IDEMPOTENT:
            return False
        return target.reach.is_unreachable or (flow.repeats > 0 and target.is_gone(now_ms))

    def _reset(
        self, now_ms: int, flow: Flow, target: KnownTarget, acknowledges: int
    ) -> list[DirectEffect]:
        self._flows.remove(flow.key)
        is_gone = target.is_gone(now_ms)
        reason = ResetReason.TARGET_GONE if is_gone else ResetReason.TARGET_UNREACHABLE
        reset = FlowReset(flow.key, target.name, reason)
        return [ResetCaller(flow.key, acknowledges), Notify(reset)]

    def _take_check(
        self, now_ms: int, name: TargetName, outcome: CheckOutcome
    ) -> list[DirectEffect]:
        target = self.targets.by_name(name)
        if target is None:
            return []
        effects = self._reach.take(now_ms, target, outcome)
        if target.reach.is_unreachable:
            for flow in self._flows.waiting_for(target):
                if self._is_lost(now_ms, flow, target):
                    effects += self._reset(now_ms, flow, target, flow.acknowledged)
        return effects

    def _judge(self, now_ms: int, target: KnownTarget, evidence: Evidence) -> list[DirectEffect]:
        health = target.health
        if evidence is Evidence.ANSWER:
            target.reach.note(now_ms, Sign.ANSWER)
        if not health.note(now_ms, evidence):
            return []
        match evidence:
            case Evidence.ANSWER:
                return [Notify(TargetCleared(target.name))]
            case Evidence.SILENCE:
                return [Notify(TargetSuspected(target.name, health.silences, health.pause_ms))]

    def _tick(self, now_ms: int) -> list[DirectEffect]:
        effects = self._release(now_ms)
        for key, attempt_ms in self._opens.due(now_ms):
            flow = self._flows.get(key)
            if flow is not None and flow.is_waiting_since(attempt_ms):
                effects += self._retry(now_ms, flow)
        self._expire(now_ms)
        self.targets.forget_old(now_ms)
        return effects + self._reach.due(now_ms)

    def _retry(self, now_ms: int, flow: Flow) -> list[DirectEffect]:
        """Send an open that was not answered to another target."""
        assert flow.target is not None
        if flow.target.busy_requests > flow.target.capacity(now_ms):
            # A busy target answers late; a second connection would only add to its work.
            return self._reach.doubt(now_ms, flow.target)
        effects = self._judge(now_ms, flow.target, Evidence.SILENCE)
        effects += self._reach.doubt(now_ms, flow.target)
        flow.end_request()
        if len(flow.tried) >= MAX_ATTEMPTS or not self._budget.spend():
            return effects
        return effects + self._place(now_ms, flow)

    def _expire(self, now_ms: int) -> None:
        assert self._routes is not None or not len(self._flows)
        if self._routes is None:
            return
        idle_ms = self._routes.idle_timeout_ms
        for flow in list(self._flows.next_checked()):
            if now_ms - flow.seen_ms > idle_ms:
                self._flows.remove(flow.key)
            elif (
                flow.busy_since_ms is not None
                and now_ms - flow.busy_since_ms > flow.route.timeout_ms
            ):
                flow.end_request()


def _changed(known: KnownTarget) -> DirectEffect:
    published = known.published
    return Notify(TargetChanged(published.name, published.service, str(published.phase)))
