"""What the paths of the direct core share."""

from dataclasses import dataclass, field

from .flows import FlowRecords
from .reach_watch import ReachWatch
from .routes import RouteSet
from .targets import TargetDirectory


@dataclass(slots=True)
class DirectState:
    """Hold routes, targets and flows of one entry VM."""

    targets: TargetDirectory
    flows: FlowRecords = field(default_factory=FlowRecords)
    routes: RouteSet | None = None
    reach: ReachWatch = field(init=False)

    def __post_init__(self) -> None:
        self.reach = ReachWatch(self.targets)

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 before the first."""
        return 0 if self.routes is None else self.routes.version
