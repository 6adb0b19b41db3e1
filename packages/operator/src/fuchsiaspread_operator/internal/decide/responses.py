"""Models of the responses of the entry VMs' admin HTTP endpoint."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, TypeVar, assert_never

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..inputs import Answered, NotAnswered, Rejected, Reply

# A newer daemon may return keys that this version does not know.
_CONFIG = ConfigDict(extra="ignore", frozen=True)


class AnswerModel(BaseModel):
    """Base class of all responses; unknown keys are ignored."""

    model_config = _CONFIG


class RevisionAnswer(AnswerModel):
    """Revision of a configuration: the revisions of its base file and its overlay."""

    base: int = 0
    overlay: int = 0

    def __str__(self) -> str:
        return f"{self.base}.{self.overlay}"


class FaultAnswer(AnswerModel):
    """Fault in a refused file."""

    file: str = ""
    key: str = ""
    problem: str = ""
    remedy: str = ""


class RefusedAnswer(AnswerModel):
    """Refused revision with its faults."""

    revision: RevisionAnswer = RevisionAnswer()
    faults: list[FaultAnswer] = Field(default_factory=list)


class PlatformAnswer(AnswerModel):
    """Reachability of the platform, as last seen by an entry VM."""

    reachable: bool
    since_ms_ago: int | None = None


class PeerAnswer(AnswerModel):
    """State of another entry VM, as seen by an entry VM."""

    name: str
    zone: str = ""
    state: str
    revision: RevisionAnswer | None = None


class TargetAnswer(AnswerModel):
    """State of a target, as seen by an entry VM."""

    name: str
    service: str
    zone: str = ""
    state: str
    reason: str | None = None
    manager: str | None = None
    busy_slots: int = 0
    connections: int = 0


class StatusAnswer(AnswerModel):
    """Response to `/status`."""

    name: str
    site: str = ""
    zone: str = ""
    revision: RevisionAnswer | None = None
    in_force_since_ms_ago: int | None = None
    refused: RefusedAnswer | None = None
    is_stale: bool = False
    is_stopping: bool = False
    platform: PlatformAnswer | None = None
    peers: list[PeerAnswer] = Field(default_factory=list)
    targets: list[TargetAnswer] = Field(default_factory=list)
    flow_count: int = 0
    queued_count: int = 0


class RecordAnswer(AnswerModel):
    """Flow record of an entry VM."""

    target: str
    phase: str


class FlowAnswer(AnswerModel):
    """Response to `/explain` for a flow."""

    flow: str
    service: str | None = None
    home_shard: str | dict[str, Any] | None = None
    manager: str | None = None
    backup: str | None = None
    record: RecordAnswer | None = None
    reason: str = ""


class TargetExplanationAnswer(AnswerModel):
    """Response to `/explain` for a target."""

    target: str
    service: str | None = None
    zone: str | None = None
    state: str | None = None
    manager: str | None = None
    reason: str | None = None
    next_step: str | None = None


class ObjectiveAnswer(AnswerModel):
    """Service level objective of a service."""

    unbroken_share: float = Field(gt=0, lt=1)
    in_time_share: float = Field(gt=0, lt=1)
    period_s: int = Field(gt=0)


class CountsAnswer(AnswerModel):
    """Flow counts of a service, target or availability zone."""

    opened: int = Field(default=0, ge=0)
    broken: int = Field(default=0, ge=0)
    answered: int = Field(default=0, ge=0)
    in_time: int = Field(default=0, ge=0)
    refused: int = Field(default=0, ge=0)


class WindowAnswer(CountsAnswer):
    """Counts of one time window, in total and by target and zone."""

    window_s: int = Field(gt=0)
    by_target: dict[str, CountsAnswer] = Field(default_factory=dict)
    by_zone: dict[str, CountsAnswer] = Field(default_factory=dict)


class ServiceBurnAnswer(AnswerModel):
    """Objective and time windows of one service."""

    service: str
    objective: ObjectiveAnswer
    windows: list[WindowAnswer] = Field(default_factory=list)


class BurnAnswer(AnswerModel):
    """Response to `/burn`."""

    name: str
    started_ms_ago: int = Field(ge=0)
    services: list[ServiceBurnAnswer] = Field(default_factory=list)


AnswerT = TypeVar("AnswerT", bound=AnswerModel)


@dataclass(frozen=True, slots=True)
class MissingReply:
    """Entry VM without a usable response, and the reason."""

    entry: str
    reason: str


def parse_replies(
    replies: Iterable[Reply], model: type[AnswerT]
) -> tuple[dict[str, AnswerT], tuple[MissingReply, ...]]:
    """Return the valid responses by label, and the queries without a usable response."""
    answers: dict[str, AnswerT] = {}
    missing: list[MissingReply] = []
    for reply in replies:
        match reply:
            case Answered(label=label, body=body):
                try:
                    answers[label] = model.model_validate_json(body)
                except ValidationError as error:
                    missing.append(MissingReply(label, _validation_problem(error)))
            case Rejected(label=label, status=status, reason=reason):
                missing.append(MissingReply(label, f"HTTP status {status}: {reason}"))
            case NotAnswered(label=label, reason=reason):
                missing.append(MissingReply(label, reason))
            case _:
                assert_never(reply)
    return answers, tuple(missing)


def _validation_problem(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    where = ".".join(str(step) for step in first["loc"])
    return f"invalid response body at {where or 'the top level'}: {first['msg']}"
