"""State shared by the handlers of the direct core."""

from dataclasses import dataclass, field

from ..identifiers import ServiceName
from .dropped_routes import DroppedRoutes
from .flows import FlowRecords
from .reachability_checks import ReachabilityChecks
from .routes import RouteSet
from .store_contact import StoreContact
from .targets import TargetDirectory
from .unrouted_targets import UnroutedTargets


@dataclass(slots=True)
class DirectState:
    """The routes, targets and flows of one entry VM."""

    targets: TargetDirectory
    dropped_routes: DroppedRoutes
    flows: FlowRecords = field(default_factory=FlowRecords)
    store_contact: StoreContact = field(default_factory=StoreContact)
    unrouted: UnroutedTargets = field(default_factory=UnroutedTargets)
    routes: RouteSet | None = None
    reachability_checks: ReachabilityChecks = field(init=False)

    def __post_init__(self) -> None:
        self.reachability_checks = ReachabilityChecks(self.targets)

    def is_routed(self, service: ServiceName) -> bool:
        """Return whether a route of the configuration in use names a service."""
        return self.routes is not None and service in self.routes.services

    @property
    def version(self) -> int:
        """Return the configuration version in use, or 0 before the first."""
        return 0 if self.routes is None else self.routes.version
