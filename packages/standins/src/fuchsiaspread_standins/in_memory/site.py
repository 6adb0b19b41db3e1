"""A site of the in-memory fleet, with as many targets and slots as the users' sites."""

import random
from dataclasses import dataclass, field, replace

from fuchsiaspread_core.configuration import (
    Configuration,
    Objective,
    RequestKind,
    Revision,
    Service,
    ServiceAddress,
    StreamKind,
    Target,
    TargetState,
)
from fuchsiaspread_core.identifiers import (
    Endpoint,
    EntryName,
    ServiceName,
    TargetName,
    ZoneName,
    flow_key,
)
from fuchsiaspread_core.internal.address_history import FLOW_LIFETIME_LIMIT_MS
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.parts import InvalidConfiguration, Part, PartName

from .caller import FleetCaller
from .fleet import Fleet
from .target import FleetTarget

ZONES = tuple(ZoneName(f"occidente-{letter}") for letter in "abc")
ENTRY_ZONES = (ZONES[0], ZONES[1], ZONES[2], ZONES[0])
SCREENS = Endpoint("10.20.0.1", 7001)
JOB_CARDS = Endpoint("10.20.0.1", 7002)
SCANS = Endpoint("10.20.0.2", 7003)
ORDER_DESK = ServiceName("order-desk")
INSPECTION = ServiceName("inspection")
OBJECTIVE = Objective(0.9999, 0.99, 30 * 24 * 3600)


def entry_member(number: int) -> Member:
    """Return the member record of an entry VM; numbers start at 1."""
    host = f"127.0.1.{number}"
    zone = ENTRY_ZONES[(number - 1) % len(ENTRY_ZONES)]
    name = EntryName(f"entry-{number}")
    return Member(name, zone, Endpoint(host, 6081), Endpoint(host, 6082))


def _targets(prefix: str, third_octet: int, count: int, slots: int) -> tuple[Target, ...]:
    return tuple(
        Target(
            name=TargetName(f"{prefix}-{number + 1}"),
            tunnel=Endpoint(f"127.0.{third_octet}.{number + 1}", 6080),
            zone=ZONES[number % len(ZONES)],
            weight=1,
            state=TargetState.ACTIVE,
            slots=slots,
            connections=2000,
        )
        for number in range(count)
    )


@dataclass(slots=True)
class Site:
    """Hold the configuration that tests change and publish."""

    desk_targets: tuple[Target, ...] = field(default_factory=lambda: _targets("desk", 2, 7, 3))
    inspection_targets: tuple[Target, ...] = field(
        default_factory=lambda: _targets("bench", 3, 3, 3)
    )
    desk_addresses: tuple[ServiceAddress, ...] = (
        ServiceAddress(SCREENS, StreamKind(open_deadline_ms=5000)),
        ServiceAddress(JOB_CARDS, RequestKind(deadline_ms=3000, repeatable=False)),
    )
    inspection_addresses: tuple[ServiceAddress, ...] = (
        ServiceAddress(SCANS, RequestKind(deadline_ms=10_000, repeatable=True)),
    )
    index: int = 0
    published: dict[int, "Site"] = field(default_factory=dict)

    def compile(self, base: Part, overlay: Part) -> Configuration | InvalidConfiguration:
        """Return the configuration that was published at the index of a base part."""
        revision = Revision(base.index, overlay.index)
        site = self.published.get(base.index)
        if site is None:
            return InvalidConfiguration(revision, ())
        desk = Service(ORDER_DESK, site.desk_addresses, site.desk_targets, OBJECTIVE)
        inspection = Service(
            INSPECTION, site.inspection_addresses, site.inspection_targets, OBJECTIVE
        )
        return Configuration("occidente", revision, (desk, inspection))

    def publish(self, fleet: Fleet) -> None:
        """Publish the current configuration at the next base index."""
        self.index += 1
        self.published[self.index] = replace(self)
        fleet.publish(Part(PartName.BASE, self.index, str(self.index).encode()))

    def change_desk_target(self, name: str, **changes: object) -> None:
        """Change one target of the order desk."""
        self.desk_targets = tuple(
            replace(target, **changes) if target.name == name else target
            for target in self.desk_targets
        )


def start_site(
    seed: int, entry_count: int = 4, flow_lifetime_limit_ms: int = FLOW_LIFETIME_LIMIT_MS
) -> tuple[Site, Fleet]:
    """Return a running site whose entry VMs have received the configuration and the members."""
    site = Site()
    fleet = Fleet(site.compile, seed, flow_lifetime_limit_ms)
    for target in site.desk_targets:
        fleet.targets[target.tunnel.host] = FleetTarget(target.name, ORDER_DESK)
    for target in site.inspection_targets:
        fleet.targets[target.tunnel.host] = FleetTarget(target.name, INSPECTION)
    fleet.publish(Part(PartName.OVERLAY, 1, b""))
    site.publish(fleet)
    for number in range(1, entry_count + 1):
        fleet.add_entry(entry_member(number))
    fleet.run(3000)
    return site, fleet


def callers(
    count: int, address: Endpoint, service: str, is_stream: bool, seed: int, interval_ms: int = 1000
) -> list[FleetCaller]:
    """Return callers with distinct flow keys."""
    rng = random.Random(seed)
    result = []
    for number in range(count):
        host = f"10.30.{number // 200 % 250}.{number % 200 + 1}"
        caller = Endpoint(host, 20_000 + number // 50_000 + rng.randrange(40_000))
        flow = flow_key(caller, address)
        token = rng.randrange(2**32)
        result.append(FleetCaller(flow, service, token, is_stream, interval_ms))
    return result
