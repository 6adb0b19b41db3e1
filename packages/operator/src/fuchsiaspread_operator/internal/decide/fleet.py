"""State of a fleet, put together from the answers of its entry VMs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .answers import FaultAnswer, Missing, RevisionAnswer, StatusAnswer, TargetAnswer

_UNDISTURBED_STATES = ("active", "draining", "slow_start")
# A target under suspicion gets single trials, so it is not without work.
_LITTLE_WORK_STATE = "suspect"
MAX_NAMES = 4
_PEER_IS_LIVE = "live"
_PEER_IS_LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class EntryRow:
    """Describe one entry VM."""

    name: str
    zone: str
    revision: str
    in_force_since_ms_ago: int | None
    state: str
    platform: str
    flow_count: int
    queued_count: int


@dataclass(frozen=True, slots=True)
class TargetRow:
    """Describe one target as its manager sees it."""

    name: str
    service: str
    zone: str
    state: str
    reason: str
    manager: str
    busy_slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Finding:
    """Describe something that needs the operator's attention."""

    subject: str
    problem: str
    next_step: str


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Hold the state of a fleet; `missing` names the entry VMs that did not answer."""

    entries: tuple[EntryRow, ...]
    targets: tuple[TargetRow, ...]
    findings: tuple[Finding, ...]
    missing: tuple[Missing, ...]


def fleet_status(answers: list[StatusAnswer], missing: tuple[Missing, ...]) -> FleetStatus:
    """Return the state of the fleet and what is wrong with it."""
    answers = sorted(answers, key=lambda answer: answer.name)
    views = _target_views(answers)
    targets = tuple(_target_row(name, views[name]) for name in sorted(views))
    findings = [
        *_revision_findings(answers),
        *_entry_findings(answers),
        *_peer_findings(answers),
        *_target_findings(targets, views),
    ]
    return FleetStatus(tuple(map(_entry_row, answers)), targets, _grouped(findings), missing)


def joined(names: list[str]) -> str:
    """Return names in one phrase, the first few of them when there are many."""
    if len(names) > MAX_NAMES:
        return f"{', '.join(names[:MAX_NAMES])} and {len(names) - MAX_NAMES} more"
    return " and ".join(filter(None, (", ".join(names[:-1]), names[-1])))


def _grouped(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    # A platform that is down is one finding, not one for each entry VM.
    subjects: dict[tuple[str, str], list[str]] = {}
    for finding in findings:
        subjects.setdefault((finding.problem, finding.next_step), []).append(finding.subject)
    return tuple(Finding(joined(names), *words) for words, names in subjects.items())


def _entry_row(answer: StatusAnswer) -> EntryRow:
    return EntryRow(
        name=answer.name,
        zone=answer.zone,
        revision=str(answer.revision or RevisionAnswer()),
        in_force_since_ms_ago=answer.in_force_since_ms_ago,
        state=_entry_state(answer),
        platform=_platform_state(answer),
        flow_count=answer.flow_count,
        queued_count=answer.queued_count,
    )


def _entry_state(answer: StatusAnswer) -> str:
    if answer.is_stopping:
        return "stopping"
    if _revision(answer) == (0, 0):
        return "no configuration"
    return "stale view" if answer.is_stale else "serving"


def _platform_state(answer: StatusAnswer) -> str:
    if answer.platform is None:
        return "unknown"
    return "reachable" if answer.platform.reachable else "unreachable"


def _revision(answer: StatusAnswer) -> tuple[int, int]:
    return (answer.revision.base, answer.revision.overlay) if answer.revision else (0, 0)


def _revision_findings(answers: list[StatusAnswer]) -> Iterator[Finding]:
    newest_base = max((_revision(answer)[0] for answer in answers), default=0)
    newest_overlay = max((_revision(answer)[1] for answer in answers), default=0)
    for answer in answers:
        revision = _revision(answer)
        if revision == (0, 0):
            problem = "has no configuration in force and serves nothing"
            step = "check that the platform or another entry VM is reachable from it"
            yield Finding(answer.name, problem, step)
        elif revision[0] < newest_base or revision[1] < newest_overlay:
            problem = (
                f"has revision {revision[0]}.{revision[1]} in force; "
                f"the newest is {newest_base}.{newest_overlay}"
            )
            step = "ask again in a few seconds; if it stays, check its network to its peers"
            yield Finding(answer.name, problem, step)
        if answer.refused is not None:
            refused, count = answer.refused, len(answer.refused.faults)
            first = _fault_text(refused.faults[0]) if refused.faults else "no fault given"
            problem = f"refused revision {refused.revision}: {first}"
            step = "correct the files, run check, and publish again"
            yield Finding(answer.name, problem, f"{step} ({count} faults)" if count > 1 else step)


def _fault_text(fault: FaultAnswer) -> str:
    return f"{fault.file}: {fault.key}: {fault.problem}; {fault.remedy}"


def _entry_findings(answers: list[StatusAnswer]) -> Iterator[Finding]:
    for answer in answers:
        if answer.is_stale:
            problem = "its view is stale after a pause; it decides no new work"
            yield Finding(answer.name, problem, "wait some seconds; if it stays, replace the VM")
        if answer.platform is not None and not answer.platform.reachable:
            problem = "cannot reach the platform; the last good configuration stays in force"
            step = "nothing to do for the flows; tell who runs the platform if it lasts"
            yield Finding(answer.name, problem, step)


def _peer_findings(answers: list[StatusAnswer]) -> Iterator[Finding]:
    zones = {answer.name: answer.zone for answer in answers}
    reporters: dict[tuple[str, str], list[StatusAnswer]] = {}
    peer_zones: dict[str, str] = {}
    for answer in answers:
        for peer in answer.peers:
            peer_zones[peer.name] = peer.zone
            if peer.state not in (_PEER_IS_LIVE, _PEER_IS_LEAVING) and peer.name != answer.name:
                reporters.setdefault((peer.name, peer.state), []).append(answer)
    for (name, state), by in reporters.items():
        problem = f"is reported as {state} by {joined([answer.name for answer in by])}"
        if name in zones:
            between = joined(sorted({answer.zone for answer in by}))
            problem += f", but it answered; the network between {zones[name]} and {between} "
            problem += "may be partitioned"
            step = "check that network; each side serves the targets that it reaches"
        else:
            problem += f" (zone {peer_zones[name]})"
            step = "check that VM, and replace it if it is gone"
        yield Finding(name, problem, step)


def _target_views(answers: list[StatusAnswer]) -> dict[str, list[tuple[str, TargetAnswer]]]:
    views: dict[str, list[tuple[str, TargetAnswer]]] = {}
    for answer in answers:
        for target in answer.targets:
            views.setdefault(target.name, []).append((answer.name, target))
    return views


def _target_row(name: str, views: list[tuple[str, TargetAnswer]]) -> TargetRow:
    # Only the manager counts slots and connections exactly; others report what they last heard.
    by_manager = [view for entry, view in views if view.manager == entry]
    view = by_manager[0] if by_manager else views[0][1]
    return TargetRow(
        name,
        view.service,
        view.zone,
        view.state,
        view.reason or "",
        view.manager or "",
        view.busy_slots,
        view.connections,
    )


def _target_findings(
    rows: tuple[TargetRow, ...], views: dict[str, list[tuple[str, TargetAnswer]]]
) -> Iterator[Finding]:
    for row in rows:
        if row.state not in _UNDISTURBED_STATES:
            reason = f": {row.reason}" if row.reason else ""
            amount = "little" if row.state == _LITTLE_WORK_STATE else "no"
            problem = f"{row.service} gives it {amount} new work ({row.state}{reason})"
            yield Finding(row.name, problem, f"run explain {row.name}, then check the host")
        if not row.manager:
            problem = "has no manager, so it gets no new work"
            yield Finding(row.name, problem, "check that its zone has a live entry VM")
        owners = sorted({entry for entry, view in views[row.name] if view.manager == entry})
        if len(owners) > 1:
            problem = f"is managed by {joined(owners)} at the same time"
            step = "normal for some seconds after a change; if it stays, check for a partition"
            yield Finding(row.name, problem, step)
