"""Routes: the services that receive the new flows of an address."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..identifiers import AddressKey, FlowKey, ServiceName
from ..rendezvous import rank_weighted


class RouteKind(StrEnum):
    """Kind of a route's requests; it decides whether callers may safely retry them."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


@dataclass(frozen=True, slots=True)
class Destination:
    """A service and its share of a route's new flows."""

    service: ServiceName
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """An address and the destinations of its new flows."""

    name: str
    address: AddressKey
    kind: RouteKind
    destinations: tuple[Destination, ...]
    timeout_ms: int
    latency_objective_ms: int

    def service_for(self, flow: FlowKey) -> ServiceName:
        """Return the service of a new flow; retransmissions of an open get the same one."""
        if len(self.destinations) == 1:
            return self.destinations[0].service
        weights = {one.service: one.weight for one in self.destinations}
        return rank_weighted(flow, weights)[0]


@dataclass(frozen=True, slots=True)
class RouteSet:
    """The routes of one configuration version."""

    version: int
    routes: tuple[Route, ...]
    idle_timeout_ms: int
    by_address: dict[AddressKey, Route] = field(init=False, compare=False, repr=False)
    # The services that a route names.
    services: frozenset[ServiceName] = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        by_address = {route.address: route for route in self.routes}
        object.__setattr__(self, "by_address", by_address)
        services = {one.service for route in self.routes for one in route.destinations}
        object.__setattr__(self, "services", frozenset(services))

    def find(self, address: AddressKey) -> Route | None:
        """Return the route of an address, or None."""
        return self.by_address.get(address)
