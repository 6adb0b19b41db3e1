"""Models of the responses of the entry VMs' admin HTTP endpoint."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, TypeVar, assert_never

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..inputs import ErrorResponse, NoResponse, OkResponse, QueryResult

# A newer daemon may return keys that this version does not know.
_CONFIG = ConfigDict(extra="ignore", frozen=True)


class ResponseModel(BaseModel):
    """Base class of all responses; unknown keys are ignored."""

    model_config = _CONFIG


class RevisionModel(ResponseModel):
    """Revision of a configuration: the revisions of its base file and its overlay."""

    base: int = 0
    overlay: int = 0

    def __str__(self) -> str:
        return f"{self.base}.{self.overlay}"


class FaultModel(ResponseModel):
    """Fault in a refused file."""

    file: str = ""
    key: str = ""
    problem: str = ""
    remedy: str = ""


class RefusedModel(ResponseModel):
    """Refused revision with its faults."""

    revision: RevisionModel = RevisionModel()
    faults: list[FaultModel] = Field(default_factory=list)


class PlatformModel(ResponseModel):
    """Reachability of the platform, as last seen by an entry VM."""

    reachable: bool
    since_ms_ago: int | None = None


class PeerModel(ResponseModel):
    """State of another entry VM, as seen by an entry VM."""

    name: str
    zone: str = ""
    state: str
    revision: RevisionModel | None = None


class TargetModel(ResponseModel):
    """State of a target, as seen by an entry VM."""

    name: str
    service: str
    zone: str = ""
    state: str
    reason: str | None = None
    manager: str | None = None
    busy_slots: int = 0
    connections: int = 0


class StatusResponse(ResponseModel):
    """Response to `/status`."""

    name: str
    site: str = ""
    zone: str = ""
    revision: RevisionModel | None = None
    in_force_since_ms_ago: int | None = None
    refused: RefusedModel | None = None
    is_stale: bool = False
    is_stopping: bool = False
    platform: PlatformModel | None = None
    peers: list[PeerModel] = Field(default_factory=list)
    targets: list[TargetModel] = Field(default_factory=list)
    flow_count: int = 0
    queued_count: int = 0


class RecordModel(ResponseModel):
    """Flow record of an entry VM."""

    target: str
    phase: str


class FlowResponse(ResponseModel):
    """Response to `/explain` for a flow."""

    flow: str
    service: str | None = None
    home_shard: str | dict[str, Any] | None = None
    manager: str | None = None
    backup: str | None = None
    record: RecordModel | None = None
    reason: str = ""


class TargetResponse(ResponseModel):
    """Response to `/explain` for a target."""

    target: str
    service: str | None = None
    zone: str | None = None
    state: str | None = None
    manager: str | None = None
    reason: str | None = None
    next_step: str | None = None


class ObjectiveModel(ResponseModel):
    """Service level objective of a service."""

    unbroken_share: float = Field(gt=0, lt=1)
    in_time_share: float = Field(gt=0, lt=1)
    period_s: int = Field(gt=0)


class CountsModel(ResponseModel):
    """Flow counts of a service, target or availability zone."""

    opened: int = Field(default=0, ge=0)
    broken: int = Field(default=0, ge=0)
    answered: int = Field(default=0, ge=0)
    in_time: int = Field(default=0, ge=0)
    refused: int = Field(default=0, ge=0)


class WindowModel(CountsModel):
    """Counts of one time window, in total and by target and zone."""

    window_s: int = Field(gt=0)
    by_target: dict[str, CountsModel] = Field(default_factory=dict)
    by_zone: dict[str, CountsModel] = Field(default_factory=dict)


class ServiceBurnModel(ResponseModel):
    """Objective and time windows of one service."""

    service: str
    objective: ObjectiveModel
    windows: list[WindowModel] = Field(default_factory=list)


class BurnResponse(ResponseModel):
    """Response to `/burn`."""

    name: str
    started_ms_ago: int = Field(ge=0)
    services: list[ServiceBurnModel] = Field(default_factory=list)


ResponseT = TypeVar("ResponseT", bound=ResponseModel)


@dataclass(frozen=True, slots=True)
class MissingResponse:
    """Entry VM without a usable response, and the reason."""

    entry: str
    reason: str


def parse_responses(
    results: Iterable[QueryResult], model: type[ResponseT]
) -> tuple[dict[str, ResponseT], tuple[MissingResponse, ...]]:
    """Return the valid responses by label, and the queries without a usable response."""
    responses: dict[str, ResponseT] = {}
    missing: list[MissingResponse] = []
    for result in results:
        match result:
            case OkResponse(label=label, body=body):
                try:
                    responses[label] = model.model_validate_json(body)
                except ValidationError as error:
                    missing.append(MissingResponse(label, _validation_problem(error)))
            case ErrorResponse(label=label, status=status, reason=reason):
                missing.append(MissingResponse(label, f"HTTP status {status}: {reason}"))
            case NoResponse(label=label, reason=reason):
                missing.append(MissingResponse(label, reason))
            case _:
                assert_never(result)
    return responses, tuple(missing)


def _validation_problem(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    where = ".".join(str(step) for step in first["loc"])
    return f"invalid response body at {where or 'the top level'}: {first['msg']}"
