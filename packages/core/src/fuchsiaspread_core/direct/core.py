"""Event handling of an entry VM in direct server return mode."""

from typing import assert_never

from .dropped_routes import DroppedRoutes
from .effects import DirectEffect, EndProcess, Notify
from .events import (
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
    TargetWithdrawn,
    Tick,
)
from .flow_handler import FlowHandler
from .notices import DropReason, PacketDropped, ProcessPaused, RoutesApplied
from .open_handler import OpenHandler
from .routes import RouteSet
from .startup_buffer import CallerPacket, StartupBuffer
from .state import DirectState
from .stop_drain import StopDrain
from .target_updates import (
    apply_list,
    apply_routed,
    apply_target,
    remove_target,
    withdraw_target,
)
from .targets import TargetDirectory

# A longer gap between two events means that the process was stalled.
PAUSE_THRESHOLD_MS = 500


class DirectCore:
    """Choose targets for new flows, route open flows by cookie, and track target health."""

    def __init__(self, seed: int, flow_lifetime_ms: int, stop_grace_ms: int) -> None:
        self.targets = TargetDirectory(flow_lifetime_ms)
        self._state = DirectState(self.targets, DroppedRoutes(flow_lifetime_ms))
        self._opens = OpenHandler(self._state, seed)
        self._flows = FlowHandler(self._state)
        self._startup_buffer = StartupBuffer()
        self._has_targets = False
        self._last_event_ms: int | None = None
        self._stop_drain = StopDrain(stop_grace_ms)

    @property
    def is_ready(self) -> bool:
        """Return whether the entry VM is configured and not stopping."""
        return self._is_configured and not self._stop_drain.is_draining

    @property
    def flow_count(self) -> int:
        """Return the number of flow records."""
        return len(self._state.flows)

    @property
    def deadline_ms(self) -> int | None:
        """Return when the next `Tick` is due for buffered packets or pending opens, or None."""
        if self._startup_buffer and self._is_configured:
            return self._last_event_ms
        return self._opens.deadline_ms

    @property
    def _is_configured(self) -> bool:
        return self._state.routes is not None and self._has_targets

    def handle(self, now_ms: int, event: DirectEvent) -> list[DirectEffect]:
        """Handle an event and return the effects to carry out."""
        effects = self._detect_pause(now_ms)
        match event:
            case FlowPacket() | OpenPacket():
                effects += self._handle_packet(now_ms, event)
            case Tick():
                effects += self._tick(now_ms)
            case RoutesPublished(routes=routes):
                effects += self._apply_routes(now_ms, routes)
            case TargetsListed():
                self._has_targets = True
                effects += apply_list(now_ms, self._state, event)
            case TargetPublished(target=target):
                effects += apply_target(now_ms, self._state, target)
            case TargetWithdrawn(name=name):
                effects += withdraw_target(now_ms, self._state, name)
            case TargetRemoved(name=name):
                effects += remove_target(now_ms, self._state, name)
            case TargetChecked(name=name, outcome=outcome):
                effects += self._flows.handle_check(now_ms, name, outcome)
            case StoreReached(is_reachable=is_reachable):
                # Routes and targets stay in use while the store is unreachable.
                self._state.store_contact.record(now_ms, is_reachable)
            case StopRequested():
                self._stop_drain.start(now_ms)
            case _:
                assert_never(event)
        return effects

    def _detect_pause(self, now_ms: int) -> list[DirectEffect]:
        last_ms = now_ms if self._last_event_ms is None else self._last_event_ms
        self._last_event_ms = max(last_ms, now_ms)
        gap_ms = now_ms - last_ms
        if gap_ms <= PAUSE_THRESHOLD_MS:
            return []
        self._opens.clear_pending()
        return [Notify(ProcessPaused(gap_ms))]

    def _handle_packet(self, now_ms: int, packet: CallerPacket) -> list[DirectEffect]:
        self._stop_drain.record_packet(now_ms)
        if self._is_configured and not self._startup_buffer:
            return self._dispatch(now_ms, packet)
        if self._startup_buffer.add(now_ms, packet):
            return []
        return [Notify(PacketDropped(packet.flow, DropReason.NOT_CONFIGURED))]

    def _dispatch(self, now_ms: int, packet: CallerPacket) -> list[DirectEffect]:
        match packet:
            case FlowPacket():
                return self._flows.handle(now_ms, packet)
            case OpenPacket():
                return self._opens.handle(now_ms, packet)

    def _apply_routes(self, now_ms: int, routes: RouteSet) -> list[DirectEffect]:
        # A delayed response from the store may hold an older version.
        if routes.version <= self._state.version:
            return []
        self._state.dropped_routes.record_change(now_ms, self._state.routes, routes)
        self._state.routes = routes
        applied = Notify(RoutesApplied(routes.version, len(routes.routes)))
        return [applied, *apply_routed(now_ms, self._state)]

    def _tick(self, now_ms: int) -> list[DirectEffect]:
        if self._stop_drain.is_over(now_ms):
            return [EndProcess()]
        effects: list[DirectEffect] = []
        if self._is_configured:
            for packet in self._startup_buffer.pop_batch(now_ms):
                effects += self._dispatch(now_ms, packet)
        effects += self._opens.retry_due(now_ms)
        effects += self._flows.expire(now_ms)
        self.targets.remove_expired(now_ms)
        self._state.dropped_routes.remove_expired(now_ms)
        return effects + self._state.reachability_checks.recheck_due(now_ms)
