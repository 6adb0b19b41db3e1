"""Steps of a scenario."""

from dataclasses import dataclass

from ..internal.faults import LinkFault
from ..internal.publishing import FileChange
from ..internal.serving import Behaviour
from ..platform import Condition


@dataclass(frozen=True, slots=True)
class LoadStreams:
    """Open long streams that exchange a message in each interval."""

    count: int
    address: str
    interval_ms: int


@dataclass(frozen=True, slots=True)
class LoadRequests:
    """Send short requests, spread evenly over a time, while the next steps run."""

    count: int
    address: str
    work_ms: int
    over_ms: int


@dataclass(frozen=True, slots=True)
class ChangeFiles:
    """Publish changed files."""

    change: FileChange


@dataclass(frozen=True, slots=True)
class KillEntry:
    """Kill an entry VM."""

    entry: str


@dataclass(frozen=True, slots=True)
class StopEntry:
    """Stop an entry VM gracefully and wait for its end."""

    entry: str


@dataclass(frozen=True, slots=True)
class StartEntry:
    """Start an entry VM that is not running."""

    entry: str


@dataclass(frozen=True, slots=True)
class FreezeEntry:
    """Pause an entry VM."""

    entry: str


@dataclass(frozen=True, slots=True)
class ThawEntry:
    """Let a paused entry VM go on."""

    entry: str


@dataclass(frozen=True, slots=True)
class IsolateZone:
    """Separate a zone from the other zones and from the platform."""

    zone: str


@dataclass(frozen=True, slots=True)
class HidePlatform:
    """Separate an entry VM from the platform."""

    entry: str


@dataclass(frozen=True, slots=True)
class TroubleLinks:
    """Put a fault on every link."""

    fault: LinkFault


@dataclass(frozen=True, slots=True)
class HealLinks:
    """End all link faults."""


@dataclass(frozen=True, slots=True)
class SwitchPlatform:
    """Set the condition of the platform."""

    condition: Condition


@dataclass(frozen=True, slots=True)
class SwitchTarget:
    """Set the behaviour of a target."""

    target: str
    behaviour: Behaviour


@dataclass(frozen=True, slots=True)
class LieLoad:
    """Let a target state a load that is not true."""

    target: str
    busy_slots: int


@dataclass(frozen=True, slots=True)
class WaitTime:
    """Let time pass."""

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
    """End all streams and expect that at most so many broke."""

    most: int


@dataclass(frozen=True, slots=True)
class ExpectAnswers:
    """Expect at least so many requests with whole answers."""

    least: int


@dataclass(frozen=True, slots=True)
class ExpectRefusals:
    """Expect at least so many refused opens."""

    least: int


@dataclass(frozen=True, slots=True)
class ExpectBrokenRequests:
    """Expect at most so many requests that were neither answered nor refused."""

    most: int


@dataclass(frozen=True, slots=True)
class ExpectQuiet:
    """Expect that a target got no new work from 3 s after its drain on."""

    target: str


@dataclass(frozen=True, slots=True)
class ExpectRefusedRevision:
    """Expect that every running entry VM reports an invalid configuration as refused."""


Load = LoadStreams | LoadRequests
EntryFault = KillEntry | StopEntry | StartEntry | FreezeEntry | ThawEntry
SurroundingFault = (
    HidePlatform | IsolateZone | TroubleLinks | HealLinks | SwitchPlatform | SwitchTarget | LieLoad
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
Step = Load | ChangeFiles | EntryFault | SurroundingFault | Wait | Expectation


@dataclass(frozen=True, slots=True)
class NumberedStep:
    """Hold a step with its line, for reports."""

    line: int
    text: str
    step: Step


@dataclass(frozen=True, slots=True)
class Scenario:
    """Hold the example that a scenario runs on and its steps."""

    example: str
    steps: tuple[NumberedStep, ...]
