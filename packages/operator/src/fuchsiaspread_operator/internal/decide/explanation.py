"""Explanation of a flow or a target, put together from the answers of the entry VMs."""

import re
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from fuchsiaspread_configuration import parse_endpoint_text

from ..outcomes import UsageProblem
from .answers import FlowAnswer, Missing, RecordAnswer, TargetExplanationAnswer
from .fleet import joined

_FLOW_FORM = re.compile(r"^([0-9.]+:[0-9]+)[->]([0-9.]+:[0-9]+)$")
_TARGET_FORM = re.compile(r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")


@dataclass(frozen=True, slots=True)
class FlowSubject:
    """Name a flow to explain."""

    flow: str

    @property
    def path(self) -> str:
        """Return the path that asks an entry VM."""
        return "/explain?" + urlencode({"flow": self.flow})


@dataclass(frozen=True, slots=True)
class TargetSubject:
    """Name a target to explain."""

    target: str

    @property
    def path(self) -> str:
        """Return the path that asks an entry VM."""
        return "/explain?" + urlencode({"target": self.target})


Subject = FlowSubject | TargetSubject


@dataclass(frozen=True, slots=True)
class FlowExplanation:
    """Tell where a flow goes and who holds its record; `is_known` tells whether anyone does."""

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
    missing: tuple[Missing, ...]
    is_known: bool


@dataclass(frozen=True, slots=True)
class TargetExplanation:
    """Tell the state of a target and why it has it."""

    target: str
    service: str
    zone: str
    state: str
    manager: str
    reason: str
    disagreements: tuple[str, ...]
    next_step: str
    missing: tuple[Missing, ...]
    is_known: bool


def parse_subject(text: str) -> Subject | UsageProblem:
    """Return the flow or the target that a text names."""
    flow = _FLOW_FORM.match(text.strip())
    if flow is not None:
        if any(parse_endpoint_text(end) is None for end in flow.groups()):
            return UsageProblem(f"{text} is no flow", "write CALLER:PORT-SERVICE:PORT")
        return FlowSubject(f"{flow[1]}-{flow[2]}")
    if _TARGET_FORM.match(text.strip()):
        return TargetSubject(text.strip())
    step = "give a target's name, or a flow as CALLER:PORT-SERVICE:PORT, such as "
    return UsageProblem(
        f"{text} is neither a flow nor a target", step + "10.30.0.5:40000-10.20.0.1:7001"
    )


def explain_flow(
    subject: FlowSubject, answers: dict[str, FlowAnswer], missing: tuple[Missing, ...]
) -> FlowExplanation:
    """Return what the entry VMs together know of a flow."""
    holding = {label: answer for label, answer in answers.items() if answer.record is not None}
    # An entry VM with the record knows most; without one, any answer tells the route.
    routed = (answer for answer in answers.values() if answer.service)
    # A copy may still say `accepted` when the manager knows that the flow is established.
    managing = (answer for label, answer in holding.items() if answer.manager == label)
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
        disagreements=_flow_disagreements(list(answers.values())),
        next_step=_flow_step(best, missing),
        missing=missing,
        is_known=best is not None,
    )


def explain_target(
    subject: TargetSubject,
    answers: dict[str, TargetExplanationAnswer],
    missing: tuple[Missing, ...],
) -> TargetExplanation:
    """Return what the entry VMs together know of a target."""
    known = [answer for answer in answers.values() if answer.state]
    # Only the manager observes the target; the others report what they last heard.
    managing = (a for label, a in answers.items() if a.state and a.manager == label)
    best = next(managing, None) or max(known, key=lambda a: bool(a.reason), default=None)
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


def _flow_disagreements(answers: list[FlowAnswer]) -> tuple[str, ...]:
    found = _disagreements(answers, ("service", "manager", "backup"))
    targets = sorted({answer.record.target for answer in answers if answer.record})
    if len(targets) > 1:
        found += (f"record: entry VMs name {' and '.join(targets)}",)
    return found


def _disagreements(answers: list[Any], keys: tuple[str, ...]) -> tuple[str, ...]:
    found = []
    for key in keys:
        values = sorted({str(getattr(a, key)) for a in answers if getattr(a, key) is not None})
        if len(values) > 1:
            found.append(f"{key}: entry VMs name {' and '.join(values)}")
    return tuple(found)


def _flow_reason(best: FlowAnswer | None, holders: list[str]) -> str:
    if best is None:
        return "no service of the configuration in force has this address"
    if best.record is None:
        return "no entry VM that answered has a record of the flow"
    # The daemons' own words say "this entry VM"; here the answers of several are put together.
    return f"{joined(holders)} {'have' if len(holders) > 1 else 'has'} the flow's record"


def _record_step(record: RecordAnswer, manager: str) -> str:
    match record.phase:
        case "queued":
            return "none; it waits for a slot, and status shows how many wait"
        case "closing" | "closed" | "cancelled":
            return (
                "none if the caller is content; a flow that broke is named in the log of "
                f"{manager} (event=flow_broken)"
            )
        case "refused":
            return f"the log of {manager} has the reason (event=open_refused)"
        case _:
            return f"none; the flow goes to {record.target or 'a target'}"


def _flow_step(best: FlowAnswer | None, missing: tuple[Missing, ...]) -> str:
    if best is None:
        return "check the service address; run show to see all addresses of the site"
    if best.record is not None:
        return _record_step(best.record, best.manager or "the manager")
    if missing:
        return "ask again when the entry VMs below answer; one of them may hold the record"
    return "none if the flow has ended; the next packet of an open flow brings its record back"


def _target_step(best: TargetExplanationAnswer | None, missing: tuple[Missing, ...]) -> str:
    if best is not None:
        return "none"
    if missing:
        return "ask again when the entry VMs below answer"
    return "check the name; run show to see all targets of the site"
