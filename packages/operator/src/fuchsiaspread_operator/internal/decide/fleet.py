"""State of a fleet, combined from the responses of its entry VMs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .responses import FaultModel, MissingResponse, RevisionModel, StatusResponse, TargetModel

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
    missing: tuple[MissingResponse, ...]


def fleet_status(
    responses: list[StatusResponse], missing: tuple[MissingResponse, ...]
) -> FleetStatus:
    """Return the state of the fleet with its findings."""
    responses = sorted(responses, key=lambda response: response.name)
    views = _target_views(responses)
    targets = tuple(_target_row(name, views[name]) for name in sorted(views))
    findings = [
        *_revision_findings(responses),
        *_entry_findings(responses),
        *_peer_findings(responses),
        *_target_findings(targets, views),
    ]
    return FleetStatus(
        tuple(map(_entry_row, responses)), targets, _group_by_problem(findings), missing
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
    return tuple(Finding(join_names(names), *texts) for texts, names in subjects.items())


def _entry_row(response: StatusResponse) -> EntryRow:
    return EntryRow(
        name=response.name,
        zone=response.zone,
        revision=str(response.revision or RevisionModel()),
        in_force_since_ms_ago=response.in_force_since_ms_ago,
        state=_entry_state(response),
        platform=_platform_state(response),
        flow_count=response.flow_count,
        queued_count=response.queued_count,
    )


def _entry_state(response: StatusResponse) -> str:
    if response.is_stopping:
        return "stopping"
    if _revision(response) == (0, 0):
        return "no configuration"
    return "stale view" if response.is_stale else "serving"


def _platform_state(response: StatusResponse) -> str:
    if response.platform is None:
        return "unknown"
    return "reachable" if response.platform.reachable else "unreachable"


def _revision(response: StatusResponse) -> tuple[int, int]:
    return (response.revision.base, response.revision.overlay) if response.revision else (0, 0)


def _revision_findings(responses: list[StatusResponse]) -> Iterator[Finding]:
    newest_base = max((_revision(response)[0] for response in responses), default=0)
    newest_overlay = max((_revision(response)[1] for response in responses), default=0)
    for response in responses:
        revision = _revision(response)
        if revision == (0, 0):
            problem = "has no configuration in force and forwards no traffic"
            step = "check that it can reach the platform or another entry VM"
            yield Finding(response.name, problem, step)
        elif revision[0] < newest_base or revision[1] < newest_overlay:
            problem = (
                f"has revision {revision[0]}.{revision[1]} in force; "
                f"the newest is {newest_base}.{newest_overlay}"
            )
            step = (
                "run status again in a few seconds; if this persists, check the network between "
                "it and its peers"
            )
            yield Finding(response.name, problem, step)
        if response.refused is not None:
            refused, count = response.refused, len(response.refused.faults)
            first = _fault_text(refused.faults[0]) if refused.faults else "no fault reported"
            problem = f"refused revision {refused.revision}: {first}"
            step = "correct the files, run check, and publish again"
            yield Finding(response.name, problem, f"{step} ({count} faults)" if count > 1 else step)


def _fault_text(fault: FaultModel) -> str:
    return f"{fault.file}: {fault.key}: {fault.problem}; {fault.remedy}"


def _entry_findings(responses: list[StatusResponse]) -> Iterator[Finding]:
    for response in responses:
        if response.is_stale:
            problem = "its view is stale after a pause; it assigns no new flows"
            yield Finding(
                response.name, problem, "wait a few seconds; if this persists, replace the VM"
            )
        if response.platform is not None and not response.platform.reachable:
            problem = "cannot reach the platform; the last good configuration stays in force"
            step = (
                "no action needed for the flows; if this persists, contact the platform's operators"
            )
            yield Finding(response.name, problem, step)


def _peer_findings(responses: list[StatusResponse]) -> Iterator[Finding]:
    zones = {response.name: response.zone for response in responses}
    reporters: dict[tuple[str, str], list[StatusResponse]] = {}
    peer_zones: dict[str, str] = {}
    for response in responses:
        for peer in response.peers:
            peer_zones[peer.name] = peer.zone
            if peer.state not in (_PEER_LIVE, _PEER_LEAVING) and peer.name != response.name:
                reporters.setdefault((peer.name, peer.state), []).append(response)
    for (name, state), reporting in reporters.items():
        problem = (
            f"is reported as {state} by {join_names([response.name for response in reporting])}"
        )
        if name in zones:
            between = join_names(sorted({response.zone for response in reporting}))
            problem += f", but it responded; the network between {zones[name]} and {between} "
            problem += "may be partitioned"
            step = "check that network; until then each side uses only the targets it can reach"
        else:
            problem += f" (zone {peer_zones[name]})"
            step = "check the VM, and replace it if it has failed"
        yield Finding(name, problem, step)


def _target_views(responses: list[StatusResponse]) -> dict[str, list[tuple[str, TargetModel]]]:
    views: dict[str, list[tuple[str, TargetModel]]] = {}
    for response in responses:
        for target in response.targets:
            views.setdefault(target.name, []).append((response.name, target))
    return views


def _target_row(name: str, views: list[tuple[str, TargetModel]]) -> TargetRow:
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
    rows: tuple[TargetRow, ...], views: dict[str, list[tuple[str, TargetModel]]]
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
