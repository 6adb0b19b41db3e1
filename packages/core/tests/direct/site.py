"""Test site for the direct core: two services, with targets in three zones."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fuchsiaspread_core.direct import (
    CheckTarget,
    Destination,
    DirectCore,
    DirectEffect,
    DirectEvent,
    FlowPacket,
    ForwardOpen,
    ForwardPacket,
    Notify,
    OpenPacket,
    PublishedTarget,
    ResetCaller,
    Route,
    RouteKind,
    RouteSet,
    RoutesPublished,
    TargetPhase,
    TargetsListed,
)
from fuchsiaspread_core.identifiers import (
    Endpoint,
    FlowKey,
    ServiceName,
    TargetName,
    ZoneName,
    address_key,
    flow_key,
)

DESK, INSPECTION = ServiceName("desk"), ServiceName("inspection")
FEED_ADDRESS = Endpoint("198.18.0.1", 443)
CARD_ADDRESS = Endpoint("198.18.0.1", 8080)
SCAN_ADDRESS = Endpoint("198.18.0.2", 8443)
ZONES = ("centre", "north", "south")
FLOW_LIFETIME_MS = 60_000
IDLE_TIMEOUT_MS = 15_000
STOP_GRACE_MS = 6_000


def target(number: int, service: ServiceName = DESK, **changes: object) -> PublishedTarget:
    """Return the entry of a target; its number decides its zone."""
    values: dict[str, object] = {
        "name": TargetName(f"i-{number:010x}"),
        "service": service,
        "endpoint": Endpoint(f"10.128.0.{number}", 8080),
        "zone": ZoneName(ZONES[number % len(ZONES)]),
        "slots": 3,
        "phase": TargetPhase.READY,
        "cold_ms": 0,
        "started_ms": 1_000,
    }
    return PublishedTarget(**(values | changes))  # type: ignore[arg-type]


def route(name: str, address: Endpoint, kind: RouteKind, service: ServiceName) -> Route:
    """Return a route to one service."""
    destinations = (Destination(service, 1),)
    return Route(name, address_key(address), kind, destinations, 2_500, 250)


def routes(version: int = 1, without: Iterable[str] = ()) -> RouteSet:
    """Return the routes of the site."""
    every = (
        route("feed", FEED_ADDRESS, RouteKind.IDEMPOTENT, DESK),
        route("card", CARD_ADDRESS, RouteKind.NON_IDEMPOTENT, DESK),
        route("scan", SCAN_ADDRESS, RouteKind.UPLOAD, INSPECTION),
    )
    kept = tuple(one for one in every if one.name not in without)
    return RouteSet(version, kept, IDLE_TIMEOUT_MS)


@dataclass(slots=True)
class Site:
    """Drive one core on a virtual clock and record the targets that it checks."""

    targets: tuple[PublishedTarget, ...] = field(
        default_factory=lambda: (*(target(n) for n in range(1, 7)), target(9, INSPECTION))
    )
    now_ms: int = 10_000
    checked: list[TargetName] = field(default_factory=list)
    core: DirectCore = field(default_factory=lambda: DirectCore(7, FLOW_LIFETIME_MS, STOP_GRACE_MS))

    def __post_init__(self) -> None:
        self.handle(RoutesPublished(routes()))
        self.handle(TargetsListed(self.targets))

    def handle(self, event: DirectEvent, after_ms: int = 0) -> list[DirectEffect]:
        """Pass an event to the core and return the effects that send packets."""
        self.now_ms += after_ms
        effects = self.core.handle(self.now_ms, event)
        self.checked += [one.target for one in effects if isinstance(one, CheckTarget)]
        return [one for one in effects if not isinstance(one, Notify | CheckTarget)]

    def notices(self, event: DirectEvent, after_ms: int = 0) -> list[object]:
        """Pass an event to the core and return its notices."""
        self.now_ms += after_ms
        effects = self.core.handle(self.now_ms, event)
        return [one.notice for one in effects if isinstance(one, Notify)]

    def open(
        self, number: int, address: Endpoint = FEED_ADDRESS, retransmit_count: int = 0
    ) -> ForwardOpen:
        """Open a flow and return the forwarded open."""
        effects = self.handle(open_packet(number, address, retransmit_count))
        assert len(effects) == 1, effects
        (forward,) = effects
        assert isinstance(forward, ForwardOpen), forward
        return forward

    def answer(self, number: int, cookie: int, address: Endpoint = FEED_ADDRESS) -> None:
        """Let the caller acknowledge the target's SYN-ACK."""
        (forward,) = self.handle(flow_packet(number, cookie, address=address))
        assert isinstance(forward, ForwardPacket), forward


def flow_of(number: int, address: Endpoint = FEED_ADDRESS) -> FlowKey:
    """Return the flow of a numbered caller."""
    return flow_key(Endpoint("100.64.0.7", 40_000 + number), address)


def open_packet(
    number: int, address: Endpoint = FEED_ADDRESS, retransmit_count: int = 0
) -> OpenPacket:
    """Return a caller's open; retransmissions differ in their bytes."""
    packet = b"open %d %d" % (number, retransmit_count)
    return OpenPacket(flow_of(number, address), 0, retransmit_count, packet)


def flow_packet(
    number: int,
    cookie: int,
    sequence: int = 1,
    ack_number: int = 500,
    data_bytes: int = 0,
    address: Endpoint = FEED_ADDRESS,
    is_reset: bool = False,
    is_last: bool = False,
) -> FlowPacket:
    """Return a caller's packet on an open flow."""
    return FlowPacket(
        flow_of(number, address),
        cookie,
        sequence,
        ack_number,
        data_bytes,
        is_reset,
        is_last,
        b"data %d" % number,
    )


def is_reset_of(effects: list[DirectEffect], number: int) -> bool:
    """Return whether the only effect is a reset of a caller's flow."""
    return [type(one) for one in effects] == [ResetCaller] and effects[0] == ResetCaller(
        flow_of(number), effects[0].sequence  # type: ignore[union-attr]
    )
