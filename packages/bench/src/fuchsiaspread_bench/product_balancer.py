"""The product's admission with simulated targets: one shard per zone, with spill between them."""

from fuchsiaspread_core.admission import (
    Admit,
    Decision,
    Decline,
    Enqueue,
    Inform,
    OpenRequest,
    Refuse,
    ShardAdmission,
)
from fuchsiaspread_core.configuration import RequestKind
from fuchsiaspread_core.notices import FlowEnd
from fuchsiaspread_core.rendezvous import rank_weighted

from .request_load import Request
from .target_fleet import FleetShape, LoadMeter
from .virtual_clock import VirtualClock

TICK_MS = 20
# One-way delays from the design document: 0.5 ms between zones, 1 ms from clients. A shard's
# manager and its targets are in one zone.
CALLER_DELAY_MS = 1.0
ZONE_DELAY_MS = 0.5
TARGET_DELAY_MS = 0.1
# Delay from the SYN-ACK at the manager to the request at the target: SYN-ACK to the caller, request
# back to an entry VM, one hop between zones, and the hop to the target.
REQUEST_DELAY_MS = 2 * CALLER_DELAY_MS + ZONE_DELAY_MS + TARGET_DELAY_MS
# Time for which a request holds its slot in addition to its work.
SLOT_OVERHEAD_MS = 3 * TARGET_DELAY_MS + 2 * CALLER_DELAY_MS + ZONE_DELAY_MS + TARGET_DELAY_MS


class ProductBalancer:
    """Offers requests to the shards in the product's order, and simulates the targets."""

    def __init__(
        self,
        clock: VirtualClock,
        shape: FleetShape,
        deadline_ms: int,
        meter: LoadMeter | None = None,
    ) -> None:
        self._clock = clock
        self._meter = meter
        self._kind = RequestKind(deadline_ms, repeatable=False)
        self._requests: dict[bytes, Request] = {}
        self._paths: dict[bytes, list[tuple[str, bool]]] = {}
        self._places: dict[bytes, ShardAdmission] = {}
        self._targets: dict[bytes, str] = {}
        self._shards: dict[str, ShardAdmission] = {}
        targets = shape.targets()
        self._weights = {zone: len(members) for zone, members in targets.items()}
        for zone, members in targets.items():
            self._shards[zone] = ShardAdmission()
            self._shards[zone].configure(0, members)
        clock.call_later(TICK_MS, self._tick)

    def offer(self, request: Request) -> None:
        """Offer a request that a caller opens now."""
        self._requests[request.flow] = request
        order = rank_weighted(request.flow, self._weights)
        path = [(zone, True) for zone in order] + [(order[0], False)]
        self._paths[request.flow] = path
        self._clock.call_later(CALLER_DELAY_MS, lambda: self._try(request, path))
        self._clock.call_later(self._kind.deadline_ms, lambda: self._give_up(request))

    def _try(self, request: Request, path: list[tuple[str, bool]]) -> None:
        if request.flow not in self._requests:
            return  # The caller gave up while the open was in transit between shards.
        (zone, may_spill), *rest = path
        shard = self._shards[zone]
        open_request = OpenRequest(request.flow, 1, self._kind, may_spill, not may_spill)
        decision = shard.offer(int(self._clock.now_ms), open_request)
        if isinstance(decision, Decline):
            self._pass_on(request, rest)
        else:
            self._apply(shard, [decision])

    def _pass_on(self, request: Request, path: list[tuple[str, bool]]) -> None:
        self._clock.call_later(ZONE_DELAY_MS, lambda: self._try(request, path))

    def _apply(self, shard: ShardAdmission, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case Admit(flow=flow, target=target):
                    self._start(shard, self._requests[flow], target)
                case Enqueue(flow=flow):
                    self._places[flow] = shard
                case Refuse(flow=flow):
                    self._places.pop(flow, None)
                    request = self._requests.pop(flow)
                    request.refused_ms = self._clock.now_ms + CALLER_DELAY_MS
                case Decline(flow=flow):
                    # A queued open is offered to the other shards again.
                    del self._places[flow]
                    self._pass_on(self._requests[flow], self._paths[flow][1:])
                case Inform():
                    pass

    def _start(self, shard: ShardAdmission, request: Request, target: str) -> None:
        self._places[request.flow] = shard
        self._targets[request.flow] = target
        if self._meter is not None:
            self._meter.change(self._clock.now_ms, target, 1)
        self._clock.call_later(2 * TARGET_DELAY_MS, lambda: self._accept(shard, request))
        self._clock.call_later(
            SLOT_OVERHEAD_MS + request.work_ms, lambda: self._end(shard, request)
        )

    def _accept(self, shard: ShardAdmission, request: Request) -> None:
        self._apply(shard, shard.accept(int(self._clock.now_ms), request.flow))

    def _end(self, shard: ShardAdmission, request: Request) -> None:
        now_ms = self._clock.now_ms
        if self._meter is not None:
            self._meter.change(now_ms, self._targets[request.flow], -1)
        del self._targets[request.flow]
        if self._places.pop(request.flow, None) is not None:
            request.answered_ms = now_ms + CALLER_DELAY_MS
        self._requests.pop(request.flow, None)
        self._paths.pop(request.flow, None)
        self._apply(shard, shard.release(int(now_ms), request.flow, FlowEnd.ANSWERED))

    def _give_up(self, request: Request) -> None:
        shard = self._places.pop(request.flow, None)
        if shard is not None:
            self._apply(shard, shard.cancel(int(self._clock.now_ms), request.flow))
        if request.flow not in self._targets:
            self._requests.pop(request.flow, None)
            self._paths.pop(request.flow, None)

    def _tick(self) -> None:
        for shard in self._shards.values():
            self._apply(shard, shard.tick(int(self._clock.now_ms)))
        self._clock.call_later(TICK_MS, self._tick)
