"""Steps of a scenario."""

from dataclasses import dataclass

from ..internal.faults import LinkFault
from ..internal.publishing import FileChange
from ..internal.serving import Behaviour
from ..platform import Condition


@dataclass(frozen=True, slots=True)
class LoadStreams:
    """Open long-lived streams that exchange a message in each interval."""

    count: int
    address: str
    interval_ms: int


@dataclass(frozen=True, slots=True)
class LoadRequests:
    """Send short requests, spread evenly over `over_ms`, while the next steps run."""

    count: int
    address: str
    work_ms: int
    over_ms: int


@dataclass(frozen=True, slots=True)
class ChangeFiles:
    """Publish a change of the configuration files."""

    change: FileChange


@dataclass(frozen=True, slots=True)
class KillEntry:
    """Kill an entry VM."""

    entry: str


@dataclass(frozen=True, slots=True)
class StopEntry:
    """Stop an entry VM gracefully and wait until it has exited."""

    entry: str


@dataclass(frozen=True, slots=True)
class StartEntry:
    """Start an entry VM that is not running."""

    entry: str


@dataclass(frozen=True, slots=True)
class FreezeEntry:
    """Pause the process of an entry VM."""

    entry: str


@dataclass(frozen=True, slots=True)
class ThawEntry:
    """Resume a paused entry VM."""

    entry: str


@dataclass(frozen=True, slots=True)
class IsolateZone:
    """Partition a zone from the other zones and from the platform."""

    zone: str


@dataclass(frozen=True, slots=True)
class HidePlatform:
    """Make the platform unreachable for an entry VM."""

    entry: str


@dataclass(frozen=True, slots=True)
class AddLinkFault:
    """Apply a fault to every link."""

    fault: LinkFault


@dataclass(frozen=True, slots=True)
class HealLinks:
    """Remove all link faults."""


@dataclass(frozen=True, slots=True)
class SetPlatformCondition:
    """Set the condition of the platform: healthy, down, stale or slow."""

    condition: Condition


@dataclass(frozen=True, slots=True)
class SetTargetBehaviour:
    """Set how a target handles opens and connections."""

    target: str
    behaviour: Behaviour


@dataclass(frozen=True, slots=True)
class ClaimLoad:
    """Make the load endpoint of a target report a false number of busy slots."""

    target: str
    busy_slots: int


@dataclass(frozen=True, slots=True)
class WaitTime:
    """Wait for a fixed time."""

    duration_ms: int


@dataclass(frozen=True, slots=True)
class WaitStreams:
    """Wait until all streams are open."""


@dataclass(frozen=True, slots=True)
class WaitRequests:
    """Wait until all requests have ended."""


@dataclass(frozen=True, slots=True)
class WaitRevision:
    """Wait until the newest valid revision is in force at every running entry VM."""


@dataclass(frozen=True, slots=True)
class ExpectBrokenStreams:
    """End all streams and expect at most `most` of them to be broken."""

    most: int


@dataclass(frozen=True, slots=True)
class ExpectAnswers:
    """Expect at least `least` requests with complete answers."""

    least: int


@dataclass(frozen=True, slots=True)
class ExpectRefusals:
    """Expect at least `least` refused opens."""

    least: int


@dataclass(frozen=True, slots=True)
class ExpectBrokenRequests:
    """Expect at most `most` requests that were neither answered nor refused."""

    most: int


@dataclass(frozen=True, slots=True)
class ExpectQuiet:
    """Expect that a target received no new work later than 3 s after its drain."""

    target: str


@dataclass(frozen=True, slots=True)
class ExpectRefusedRevision:
    """Expect that every running entry VM reports an invalid configuration as refused."""


Load = LoadStreams | LoadRequests
EntryFault = KillEntry | StopEntry | StartEntry | FreezeEntry | ThawEntry
EnvironmentFault = (
    HidePlatform
    | IsolateZone
    | AddLinkFault
    | HealLinks
    | SetPlatformCondition
    | SetTargetBehaviour
    | ClaimLoad
)
Wait = WaitTime | WaitStreams | WaitRequests | WaitRevision
Expectation = (
    ExpectBrokenStreams
    | ExpectAnswers
    | ExpectRefusals
    | ExpectBrokenRequests
    | ExpectQuiet
    | ExpectRefusedRevision
)
Step = Load | ChangeFiles | EntryFault | EnvironmentFault | Wait | Expectation


@dataclass(frozen=True, slots=True)
class NumberedStep:
    """Hold a step with its line number and text, for reports."""

    line: int
    text: str
    step: Step


@dataclass(frozen=True, slots=True)
class Scenario:
    """Hold the steps of a scenario and the example deployment that it runs on."""

    example: str
    steps: tuple[NumberedStep, ...]
