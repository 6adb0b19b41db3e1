"""State of a fleet, combined from the responses of its entry VMs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .answers import FaultAnswer, MissingReply, RevisionAnswer, StatusAnswer, TargetAnswer

_NORMAL_STATES = ("active", "draining", "slow_start")
# A suspect target still gets single trial flows.
_SUSPECT_STATE = "suspect"
MAX_NAMES = 4
_PEER_LIVE = "live"
_PEER_LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class EntryRow:
    """One entry VM in the status report."""

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
    """One target in the status report, as seen by its manager."""

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
    """Problem that needs the operator's attention."""

    subject: str
    problem: str
    next_step: str


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """State of a fleet; `missing` lists the entry VMs without a usable response."""

    entries: tuple[EntryRow, ...]
    targets: tuple[TargetRow, ...]
    findings: tuple[Finding, ...]
    missing: tuple[MissingReply, ...]


def fleet_status(answers: list[StatusAnswer], missing: tuple[MissingReply, ...]) -> FleetStatus:
    """Return the state of the fleet with its findings."""
    answers = sorted(answers, key=lambda answer: answer.name)
    views = _target_views(answers)
    targets = tuple(_target_row(name, views[name]) for name in sorted(views))
    findings = [
        *_revision_findings(answers),
        *_entry_findings(answers),
        *_peer_findings(answers),
        *_target_findings(targets, views),
    ]
    return FleetStatus(
        tuple(map(_entry_row, answers)), targets, _group_by_problem(findings), missing
    )


def join_names(names: list[str]) -> str:
    """Join names into one phrase; of more than `MAX_NAMES` only the first ones are listed."""
    if len(names) > MAX_NAMES:
        return f"{', '.join(names[:MAX_NAMES])} and {len(names) - MAX_NAMES} more"
    return " and ".join(filter(None, (", ".join(names[:-1]), names[-1])))


def _group_by_problem(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    # Merge findings that differ only in their subject: a platform outage is one finding, not one
    # for each entry VM.
    subjects: dict[tuple[str, str], list[str]] = {}
    for finding in findings:
        subjects.setdefault((finding.problem, finding.next_step), []).append(finding.subject)
    return tuple(Finding(join_names(names), *words) for words, names in subjects.items())


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
            problem = "has no configuration in force and forwards no traffic"
            step = "check that it can reach the platform or another entry VM"
            yield Finding(answer.name, problem, step)
        elif revision[0] < newest_base or revision[1] < newest_overlay:
            problem = (
                f"has revision {revision[0]}.{revision[1]} in force; "
                f"the newest is {newest_base}.{newest_overlay}"
            )
            step = (
                "run status again in a few seconds; if this persists, check the network between "
                "it and its peers"
            )
            yield Finding(answer.name, problem, step)
        if answer.refused is not None:
            refused, count = answer.refused, len(answer.refused.faults)
            first = _fault_text(refused.faults[0]) if refused.faults else "no fault reported"
            problem = f"refused revision {refused.revision}: {first}"
            step = "correct the files, run check, and publish again"
            yield Finding(answer.name, problem, f"{step} ({count} faults)" if count > 1 else step)


def _fault_text(fault: FaultAnswer) -> str:
    return f"{fault.file}: {fault.key}: {fault.problem}; {fault.remedy}"


def _entry_findings(answers: list[StatusAnswer]) -> Iterator[Finding]:
    for answer in answers:
        if answer.is_stale:
            problem = "its view is stale after a pause; it assigns no new flows"
            yield Finding(
                answer.name, problem, "wait a few seconds; if this persists, replace the VM"
            )
        if answer.platform is not None and not answer.platform.reachable:
            problem = "cannot reach the platform; the last good configuration stays in force"
            step = "traffic is not affected; if this persists, contact the platform's operators"
            yield Finding(answer.name, problem, step)


def _peer_findings(answers: list[StatusAnswer]) -> Iterator[Finding]:
    zones = {answer.name: answer.zone for answer in answers}
    reporters: dict[tuple[str, str], list[StatusAnswer]] = {}
    peer_zones: dict[str, str] = {}
    for answer in answers:
        for peer in answer.peers:
            peer_zones[peer.name] = peer.zone
            if peer.state not in (_PEER_LIVE, _PEER_LEAVING) and peer.name != answer.name:
                reporters.setdefault((peer.name, peer.state), []).append(answer)
    for (name, state), by in reporters.items():
        problem = f"is reported as {state} by {join_names([answer.name for answer in by])}"
        if name in zones:
            between = join_names(sorted({answer.zone for answer in by}))
            problem += f", but it responded; the network between {zones[name]} and {between} "
            problem += "may be partitioned"
            step = "check that network; until then each side uses only the targets it can reach"
        else:
            problem += f" (zone {peer_zones[name]})"
            step = "check the VM, and replace it if it has failed"
        yield Finding(name, problem, step)


def _target_views(answers: list[StatusAnswer]) -> dict[str, list[tuple[str, TargetAnswer]]]:
    views: dict[str, list[tuple[str, TargetAnswer]]] = {}
    for answer in answers:
        for target in answer.targets:
            views.setdefault(target.name, []).append((answer.name, target))
    return views


def _target_row(name: str, views: list[tuple[str, TargetAnswer]]) -> TargetRow:
    # Only the manager has exact slot and connection counts; others report the last they received.
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
        if row.state not in _NORMAL_STATES:
            reason = f": {row.reason}" if row.reason else ""
            amount = "little" if row.state == _SUSPECT_STATE else "no"
            problem = f"gets {amount} new work from {row.service} ({row.state}{reason})"
            yield Finding(row.name, problem, f"run explain {row.name}, then check the host")
        if not row.manager:
            problem = "has no manager, so it gets no new work"
            yield Finding(row.name, problem, "check that its zone has a live entry VM")
        managers = sorted({entry for entry, view in views[row.name] if view.manager == entry})
        if len(managers) > 1:
            problem = f"is managed by {join_names(managers)} at the same time"
            step = (
                "expected for a few seconds after a change; if this persists, check for a network "
                "partition"
            )
            yield Finding(row.name, problem, step)
