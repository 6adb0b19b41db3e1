"""Explanation of a flow or a target, combined from the responses of all entry VMs."""

import re
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from fuchsiaspread_configuration import parse_endpoint_text

from ..outcomes import UsageProblem
from .fleet import join_names
from .responses import FlowResponse, MissingResponse, RecordModel, TargetResponse

_FLOW_PATTERN = re.compile(r"^([0-9.]+:[0-9]+)[->]([0-9.]+:[0-9]+)$")
_TARGET_PATTERN = re.compile(r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")


@dataclass(frozen=True, slots=True)
class FlowSubject:
    """Flow to explain."""

    flow: str

    @property
    def path(self) -> str:
        """Return the request path of the query to an entry VM."""
        return "/explain?" + urlencode({"flow": self.flow})


@dataclass(frozen=True, slots=True)
class TargetSubject:
    """Target to explain."""

    target: str

    @property
    def path(self) -> str:
        """Return the request path of the query to an entry VM."""
        return "/explain?" + urlencode({"target": self.target})


Subject = FlowSubject | TargetSubject


@dataclass(frozen=True, slots=True)
class FlowExplanation:
    """Route of a flow and the entry VMs that hold its record.

    `is_known` is false if no entry VM has a record of the flow or a service at its address.
    """

    flow: str
    service: str
    home_shard: str
    manager: str
    backup: str
    target: str
    phase: str
    holders: tuple[str, ...]
    reason: str
    disagreements: tuple[str, ...]
    next_step: str
    missing: tuple[MissingResponse, ...]
    is_known: bool


@dataclass(frozen=True, slots=True)
class TargetExplanation:
    """State of a target, and the reason for it."""

    target: str
    service: str
    zone: str
    state: str
    manager: str
    reason: str
    disagreements: tuple[str, ...]
    next_step: str
    missing: tuple[MissingResponse, ...]
    is_known: bool


def parse_subject(text: str) -> Subject | UsageProblem:
    """Parse the name of a target, or a flow given as CALLER:PORT-SERVICE:PORT."""
    flow = _FLOW_PATTERN.match(text.strip())
    if flow is not None:
        if any(parse_endpoint_text(end) is None for end in flow.groups()):
            return UsageProblem(
                f"{text} is not a valid flow: invalid address or port",
                "write CALLER:PORT-SERVICE:PORT",
            )
        return FlowSubject(f"{flow[1]}-{flow[2]}")
    if _TARGET_PATTERN.match(text.strip()):
        return TargetSubject(text.strip())
    step = "give a target's name, or a flow as CALLER:PORT-SERVICE:PORT, such as "
    return UsageProblem(
        f"{text} is neither a flow nor a target", step + "10.30.0.5:40000-10.20.0.1:7001"
    )


def explain_flow(
    subject: FlowSubject, responses: dict[str, FlowResponse], missing: tuple[MissingResponse, ...]
) -> FlowExplanation:
    """Combine the responses of the entry VMs about a flow."""
    holding = {
        label: response for label, response in responses.items() if response.record is not None
    }
    # Prefer an entry VM that holds the flow's record; without one, any response has the route.
    routed = (response for response in responses.values() if response.service)
    # A replica may still have phase `accepted` after the manager has set `established`.
    managing = (response for label, response in holding.items() if response.manager == label)
    best = next(managing, None) or next(iter(holding.values()), None) or next(routed, None)
    record = best.record if best else None
    return FlowExplanation(
        flow=subject.flow,
        service=(best and best.service) or "",
        home_shard=_shard_text(best.home_shard if best else None),
        manager=(best and best.manager) or "",
        backup=(best and best.backup) or "",
        target=record.target if record else "",
        phase=record.phase if record else "",
        holders=tuple(sorted(holding)),
        reason=_flow_reason(best, sorted(holding)),
        disagreements=_flow_disagreements(list(responses.values())),
        next_step=_flow_step(best, missing),
        missing=missing,
        is_known=best is not None,
    )


def explain_target(
    subject: TargetSubject,
    responses: dict[str, TargetResponse],
    missing: tuple[MissingResponse, ...],
) -> TargetExplanation:
    """Combine the responses of the entry VMs about a target."""
    known = [response for response in responses.values() if response.state]
    # Only the manager observes the target; the others report the last state they received.
    managing = (
        response
        for label, response in responses.items()
        if response.state and response.manager == label
    )
    best = next(managing, None) or max(
        known, key=lambda response: bool(response.reason), default=None
    )
    step = (best and best.next_step) or _target_step(best, missing)
    return TargetExplanation(
        target=subject.target,
        service=(best and best.service) or "",
        zone=(best and best.zone) or "",
        state=(best and best.state) or "unknown",
        manager=(best and best.manager) or "",
        reason=(best and best.reason) or "",
        disagreements=_disagreements(known, ("service", "state", "manager")),
        next_step=step,
        missing=missing,
        is_known=best is not None,
    )


def _shard_text(shard: str | dict[str, Any] | None) -> str:
    match shard:
        case None:
            return ""
        case str():
            return shard
        case _:
            return "/".join(str(value) for value in shard.values())


def _flow_disagreements(responses: list[FlowResponse]) -> tuple[str, ...]:
    found = _disagreements(responses, ("service", "manager", "backup"))
    targets = sorted({response.record.target for response in responses if response.record})
    if len(targets) > 1:
        found += (f"record: entry VMs report {' and '.join(targets)}",)
    return found


def _disagreements(responses: list[Any], keys: tuple[str, ...]) -> tuple[str, ...]:
    found = []
    for key in keys:
        values = sorted(
            {
                str(getattr(response, key))
                for response in responses
                if getattr(response, key) is not None
            }
        )
        if len(values) > 1:
            found.append(f"{key}: entry VMs report {' and '.join(values)}")
    return tuple(found)


def _flow_reason(best: FlowResponse | None, holders: list[str]) -> str:
    if best is None:
        return "no service of the configuration in force has this address"
    if best.record is None:
        return "none of the entry VMs that responded has a record of the flow"
    # The daemons' reasons refer to "this entry VM"; here several responses are combined.
    return f"{join_names(holders)} {'have' if len(holders) > 1 else 'has'} the flow's record"


def _record_step(record: RecordModel, manager: str) -> str:
    match record.phase:
        case "queued":
            return "none; the flow is queued for a free slot (status shows the queue lengths)"
        case "closing" | "closed" | "cancelled":
            return (
                "none if the flow ended normally; if it broke, look for event=flow_broken in the "
                f"log of {manager}"
            )
        case "refused":
            return f"look for the reason in the log of {manager} (event=open_refused)"
        case _:
            return f"none; the flow is forwarded to {record.target or 'a target'}"


def _flow_step(best: FlowResponse | None, missing: tuple[MissingResponse, ...]) -> str:
    if best is None:
        return "check the service address; run show to list all addresses of the site"
    if best.record is not None:
        return _record_step(best.record, best.manager or "the manager")
    if missing:
        return "repeat when the entry VMs below respond; one of them may hold the record"
    return "none if the flow has ended; if it is open, its next packet restores the record"


def _target_step(best: TargetResponse | None, missing: tuple[MissingResponse, ...]) -> str:
    if best is not None:
        return "none"
    if missing:
        return "repeat when the entry VMs below respond"
    return "check the name; run show to list all targets of the site"
