"""Slopes of the direct core's memory and CPU time against size, for docs/CAPACITY.md."""

from fuchsiaspread_core.direct import (
    Destination,
    DirectCore,
    DirectEvent,
    FlowPacket,
    ForwardOpen,
    OpenPacket,
    PublishedTarget,
    Route,
    RouteKind,
    RouteSet,
    RoutesPublished,
    TargetPhase,
    TargetsListed,
    Tick,
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

from .figure import Figure
from .slope import Slope, allocated_bytes, fit, processor_us, slope_line

TARGET_SIZES = (1_000, 2_000, 4_000)
FLOW_SIZES = (2_000, 4_000, 8_000)
TARGETS_PER_SERVICE = 6
ZONE_COUNT = 3
FLOW_LIFETIME_MS = 60_000
STOP_GRACE_MS = 6_000
TICKS = 50
FIRST_PORT = 20_000


def targets_of(count: int) -> tuple[PublishedTarget, ...]:
    """Return targets in services of six each, over three availability zones."""
    return tuple(
        PublishedTarget(
            TargetName(f"i-{number + 1:010x}"),
            ServiceName(f"service-{number // TARGETS_PER_SERVICE}"),
            Endpoint(f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}", 8080),
            ZoneName(f"zone-{number % ZONE_COUNT}"),
            3,
            TargetPhase.READY,
            0,
            1_000,
        )
        for number in range(count)
    )


def routes_of(target_count: int) -> RouteSet:
    """Return one route for each service."""
    routes = tuple(
        Route(
            f"route-{number}",
            address_key(service_endpoint(number)),
            RouteKind.IDEMPOTENT,
            (Destination(ServiceName(f"service-{number}"), 1),),
            2_500,
            250,
        )
        for number in range(target_count // TARGETS_PER_SERVICE)
    )
    return RouteSet(1, routes, 15_000)


def service_endpoint(number: int) -> Endpoint:
    """Return the address of a service."""
    return Endpoint(f"198.18.{number // 250}.{number % 250 + 1}", 443)


def core_of(target_count: int) -> DirectCore:
    """Return a configured core."""
    core = DirectCore(1, FLOW_LIFETIME_MS, STOP_GRACE_MS)
    core.handle(0, RoutesPublished(routes_of(target_count)))
    core.handle(0, TargetsListed(targets_of(target_count)))
    return core


def flow_of(number: int) -> FlowKey:
    """Return the flow of a numbered caller to one of the first services."""
    caller = Endpoint(f"100.64.{number // 40_000}.7", FIRST_PORT + number % 40_000)
    return flow_key(caller, service_endpoint(number % 100))


def open_flows(core: DirectCore, count: int) -> list[int]:
    """Open flows, handle one packet of each caller, and return the flows' cookies."""
    cookies = []
    for number in range(count):
        effects = core.handle(number // 10, OpenPacket(flow_of(number), 0, 0, b"open"))
        (opened,) = (effect for effect in effects if isinstance(effect, ForwardOpen))
        cookies.append(opened.cookie)
        core.handle(number // 10, packet_of(number, opened.cookie, 1, 0))
    return cookies


def packet_of(number: int, cookie: int, sequence: int, data_bytes: int) -> FlowPacket:
    """Return a caller's packet."""
    return FlowPacket(flow_of(number), cookie, sequence, 7, data_bytes, False, False, b"data")


def slopes(repetitions: int) -> list[Slope]:
    """Measure all slopes."""
    memory_a_target = [(n, float(allocated_bytes(lambda n=n: core_of(n)))) for n in TARGET_SIZES]
    ticks, lists = [], []
    for count in TARGET_SIZES:
        core = core_of(count)
        ticks.append((count, processor_us(lambda core=core: _tick(core), repetitions) / TICKS))
        lists.append(
            (count, processor_us(lambda core=core, n=count: _relist_targets(core, n), repetitions))
        )
    opens, packets, memory_a_flow = [], [], []
    for count in FLOW_SIZES:
        opens.append(
            (count, processor_us(lambda n=count: open_flows(core_of(600), n), repetitions))
        )
        core = core_of(600)
        cookies = open_flows(core, count)
        events = [packet_of(n, cookie, 1, 100) for n, cookie in enumerate(cookies)]
        packets.append(
            (count, processor_us(lambda c=core, e=events: _handle_events(c, e), repetitions))
        )
        memory_a_flow.append((count, float(_memory_of_flows(count))))
    return [
        fit("direct_memory_a_target", "B", memory_a_target),
        fit("direct_tick_time_a_target", "us", ticks),
        fit("direct_list_time_a_target", "us", lists),
        fit("direct_time_an_open", "us", opens),
        fit("direct_time_a_packet", "us", packets),
        fit("direct_memory_a_flow", "B", memory_a_flow),
    ]


def measure(repetitions: int) -> list[Figure]:
    """Print the slopes, which have no target values."""
    for slope in slopes(repetitions):
        print(f"# {slope_line(slope)}")
    return []


def _memory_of_flows(count: int) -> int:
    core = core_of(600)
    return allocated_bytes(lambda: open_flows(core, count) and core)


def _tick(core: DirectCore) -> None:
    for _ in range(TICKS):
        core.handle(1_000, Tick())


def _relist_targets(core: DirectCore, count: int) -> None:
    core.handle(1_000, TargetsListed(targets_of(count)))


def _handle_events(core: DirectCore, events: list[DirectEvent]) -> None:
    for event in events:
        core.handle(2_000, event)


if __name__ == "__main__":
    measure(5)
