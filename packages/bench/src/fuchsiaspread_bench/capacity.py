"""Slopes of memory, data size and CPU time against size, for docs/CAPACITY.md.

Each output line is `slope=<name> value=<n> unit=<unit> base=<n> sizes=<a,b,c>` for a least-squares
fit over the measured sizes: `value` is the slope per unit of size, `base` the value at size 0.
"""

import random
from collections.abc import Iterator, Sequence
from dataclasses import replace
from statistics import median

from fuchsiaspread_configuration import compile_parts
from fuchsiaspread_core.configuration import Configuration
from fuchsiaspread_core.effects import SendToTarget
from fuchsiaspread_core.entry import EntryCore
from fuchsiaspread_core.events import (
    CallerData,
    CallerOpen,
    MembersPublished,
    PacketEvent,
    PartPublished,
    TargetAccept,
    TargetClose,
    Tick,
)
from fuchsiaspread_core.flow_table import FlowRecord, FlowTable, Phase
from fuchsiaspread_core.identifiers import (
    Endpoint,
    EntryName,
    FlowKey,
    ServiceName,
    TargetName,
    ZoneName,
    flow_key,
)
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.parts import InvalidConfiguration, Part, PartName
from fuchsiaspread_core.relay import ShardKey
from fuchsiaspread_core.routing import ManagerRanks, ServiceIndex
from fuchsiaspread_entry.transfer_codec import encode_records

from .figure import Figure
from .slope import Slope, allocated_bytes, fit, processor_us, slope_line

TARGETS_PER_SERVICE = 6
ZONE_COUNT = 3
TARGET_SIZES = (300, 600, 1200)
MEMBER_SIZES = (100, 200, 400)
FLOW_SIZES = (50_000, 100_000, 200_000)
POOL_SIZES = (30, 60, 120)
FLOW_TIME_SIZES = (500, 1000, 2000)
TRANSFER_SIZES = (1000, 2000, 4000)
SHARD_SIZES = (300, 600, 1200)
ROUTE_MEMBERS = 400
TICKS = 200
RANKED_SHARDS = 50


def base_part(target_count: int) -> Part:
    """Return a base file whose services have six targets each, over three availability zones."""
    lines = ["services:"]
    for service in range(target_count // TARGETS_PER_SERVICE):
        lines += [
            f"  - name: service-{service}",
            "    slots: 3",
            "    connections: 4000",
            "    objective: {unbroken_share: 0.9999, in_time_share: 0.99, period_days: 30}",
            "    addresses:",
            f'      - {{name: requests, address: "10.20.{service // 250}.{service % 250 + 1}:7001",'
            " kind: request, deadline_ms: 2000, repeatable: false}",
            "    targets:",
        ]
        for target in range(TARGETS_PER_SERVICE):
            number = service * TARGETS_PER_SERVICE + target
            host = f"10.{40 + number // 62_500}.{number // 250 % 250}.{number % 250 + 1}"
            lines.append(
                f'      - {{name: host-{number}, tunnel: "{host}:6080",'
                f" zone: zone-{target % ZONE_COUNT}, weight: 1, state: active}}"
            )
    return Part(PartName.BASE, 1, "\n".join(lines).encode())


OVERLAY = Part(PartName.OVERLAY, 1, b"{}")


def member(number: int) -> Member:
    """Return a numbered entry VM in one of three availability zones."""
    host = f"10.9.{number // 250}.{number % 250 + 1}"
    zone = ZoneName(f"zone-{number % ZONE_COUNT}")
    return Member(EntryName(f"entry-{number}"), zone, Endpoint(host, 1), Endpoint(host, 2))


def compiled(target_count: int) -> Configuration:
    """Return a compiled configuration of the given size."""
    configuration = compile_parts(base_part(target_count), OVERLAY)
    assert not isinstance(configuration, InvalidConfiguration), configuration
    return configuration


def started_core(target_count: int, member_count: int) -> EntryCore:
    """Return an entry core with a configuration in force and a list of members."""
    core = EntryCore(member(0), (), compile_parts, seed=1)
    core.handle(0, MembersPublished(tuple(member(number) for number in range(member_count))))
    core.handle(0, PartPublished(OVERLAY))
    core.handle(0, PartPublished(base_part(target_count)))
    return core


def compile_slope(repetitions: int) -> Slope:
    """Measure the time per target to validate and compile a configuration."""
    points = []
    for size in TARGET_SIZES:
        part = base_part(size)
        compile_us = processor_us(lambda part=part: compile_parts(part, OVERLAY), repetitions)
        points.append((size, compile_us))
    return fit("compile_time_a_target", "us", points)


def file_slope() -> Slope:
    """Measure the size of the base file per target."""
    points = [(size, float(len(base_part(size).content))) for size in TARGET_SIZES]
    return fit("file_size_a_target", "bytes", points)


def configuration_memory_slope() -> Slope:
    """Measure the memory per target of a configuration and its index."""

    def build(size: int) -> object:
        configuration = compiled(size)
        return configuration, ServiceIndex(configuration)

    compiled(TARGET_SIZES[0])  # Fills caches whose size does not depend on the configuration.
    points = [
        (size, float(allocated_bytes(lambda size=size: build(size)))) for size in TARGET_SIZES
    ]
    return fit("configuration_memory_a_target", "bytes", points)


def rank_slope(repetitions: int) -> Slope:
    """Measure the time per member to rank the members of a zone for a shard."""
    shards = [
        ShardKey(ServiceName(f"service-{n}"), ZoneName("zone-0")) for n in range(RANKED_SHARDS)
    ]
    points = []
    for size in MEMBER_SIZES:
        members = tuple(replace(member(n), zone=ZoneName("zone-0")) for n in range(size))

        def rank_all(members: tuple[Member, ...] = members) -> None:
            ranks = ManagerRanks(members)
            for shard in shards:
                ranks.ranks(shard)

        points.append((size, processor_us(rank_all, repetitions) / RANKED_SHARDS))
    return fit("rank_time_a_shard_and_member", "us", points)


def member_memory_slope() -> Slope:
    """Measure the memory of an entry core per known member."""
    started_core(TARGET_SIZES[0], MEMBER_SIZES[0])
    points = [
        (size, float(allocated_bytes(lambda size=size: started_core(TARGET_SIZES[0], size))))
        for size in MEMBER_SIZES
    ]
    return fit("memory_a_member", "bytes", points)


def flow_memory_slope() -> Slope:
    """Measure the memory of the flow table per record."""

    def build(size: int) -> FlowTable:
        rng = random.Random(1)
        table = FlowTable()
        for _ in range(size):
            flow = FlowKey(rng.randbytes(12))
            token = rng.randrange(2**32)
            record = FlowRecord(flow, TargetName("desk-1"), Phase.ESTABLISHED, token, token)
            table.put(record, 0)
        return table

    points = [(size, float(allocated_bytes(lambda size=size: build(size)))) for size in FLOW_SIZES]
    return fit("memory_a_record", "bytes", points)


def tick_slope(repetitions: int) -> Slope:
    """Measure the time of a tick per shard that the entry VM manages."""
    points = []
    for size in POOL_SIZES:
        # Each service has two targets in each of three zones, so the only entry VM manages three
        # shards of a service.
        core = started_core(size // ZONE_COUNT * TARGETS_PER_SERVICE, 1)
        clock = iter(range(20, 10**9, 20))

        def tick(core: EntryCore = core, clock: Iterator[int] = clock) -> None:
            for _ in range(TICKS):
                core.handle(next(clock), Tick())

        points.append((size, processor_us(tick, repetitions) / TICKS))
    return fit("tick_time_a_managed_shard", "us", points)


def flow_time_slopes(repetitions: int) -> list[Slope]:
    """Measure the core's time per short flow (all of its packets) and per data packet."""
    flow_points, packet_points = [], []
    for size in FLOW_TIME_SIZES:
        flow_points.append((size, median(flows_us(size) for _ in range(repetitions))))
        packet_points.append((size, median(packets_us(size) for _ in range(repetitions))))
    return [
        fit("core_time_a_short_flow", "us", flow_points),
        fit("core_time_a_packet", "us", packet_points),
    ]


def flows_us(count: int) -> float:
    """Return the time in which a core handles open, accept and close of short flows."""
    core = started_core(TARGETS_PER_SERVICE, 1)
    events = [event for number in range(count) for event in short_flow(number)]
    return processor_us(lambda: handle_all(core, events), 1)


def packets_us(count: int) -> float:
    """Return the time in which a core handles data packets of one open flow."""
    core = started_core(TARGETS_PER_SERVICE, 1)
    opened, accepted, _ = short_flow(0)
    handle_all(core, [opened, accepted])
    data = [CallerData(opened.flow, accepted.target_token + 1, b"")] * count
    return processor_us(lambda: handle_all(core, data), 1)


def handle_all(core: EntryCore, events: Sequence[PacketEvent]) -> None:
    """Let a core handle events; a target's packets come from the host that got the open."""
    for event in events:
        if isinstance(event, CallerOpen):
            (sent,) = [e for e in core.handle(0, event) if isinstance(e, SendToTarget)]
            host = sent.tunnel.host
        elif isinstance(event, CallerData):
            core.handle(0, event)
        else:
            core.handle(0, replace(event, source_host=host))


def short_flow(number: int) -> tuple[CallerOpen, TargetAccept, TargetClose]:
    """Return the open, accept and close events of a short flow."""
    caller = Endpoint(f"10.30.{number // 250 % 250}.{number % 250 + 1}", 20_000 + number // 62_500)
    flow = flow_key(caller, Endpoint("10.20.0.1", 7001))
    return (
        CallerOpen(flow, number, b""),
        TargetAccept(flow, number + 7, number + 1, "", b""),
        TargetClose(flow, "", b""),
    )


def transfer_size_slope() -> Slope:
    """Measure the encoded size of a handover per record."""
    name, token = TargetName("host-17"), 2**31
    points = []
    for size in TRANSFER_SIZES:
        records = [
            FlowRecord(short_flow(number)[0].flow, name, Phase.ESTABLISHED, token, token)
            for number in range(size)
        ]
        points.append((size, float(len(encode_records(records, False).SerializeToString()))))
    return fit("transfer_size_a_record", "bytes", points)


def route_change_slope(repetitions: int) -> Slope:
    """Measure the time per shard to apply a new list of members."""
    points = []
    for size in SHARD_SIZES:
        core = started_core(size // ZONE_COUNT * TARGETS_PER_SERVICE, ROUTE_MEMBERS)
        counts = iter(range(ROUTE_MEMBERS + 1, 10**6))

        def change(core: EntryCore = core, counts: Iterator[int] = counts) -> None:
            members = tuple(member(number) for number in range(next(counts)))
            core.handle(0, MembersPublished(members))

        points.append((size, processor_us(change, repetitions)))
    return fit("member_change_time_a_shard", "us", points)


def slopes(repetitions: int) -> list[Slope]:
    """Measure all slopes."""
    return [
        compile_slope(repetitions),
        file_slope(),
        configuration_memory_slope(),
        rank_slope(repetitions),
        member_memory_slope(),
        flow_memory_slope(),
        tick_slope(repetitions),
        *flow_time_slopes(repetitions),
        transfer_size_slope(),
        route_change_slope(repetitions),
    ]


def measure(repetitions: int) -> list[Figure]:
    """Print the slopes, which have no target values."""
    for slope in slopes(repetitions):
        print(slope_line(slope), flush=True)
    return []


if __name__ == "__main__":
    measure(repetitions=5)
