"""JSON bodies of the operators' reports."""

from collections.abc import Mapping

from fuchsiaspread_core.configuration import Configuration, Revision, TargetState
from fuchsiaspread_core.identifiers import FlowKey, TargetName, describe_flow
from fuchsiaspread_core.internal.explanation import CONDITION_TEXTS
from fuchsiaspread_core.internal.target_load import TargetCondition
from fuchsiaspread_core.notices import ConfigurationRefused
from fuchsiaspread_core.objectives import Counts, ObjectiveSnapshot, ServiceCounts, WindowCounts
from fuchsiaspread_core.status import (
    EntryStatus,
    FlowExplanation,
    PeerStatus,
    TargetExplanation,
    TargetStatus,
)

Body = dict[str, object]


def status_body(site: str, status: EntryStatus, configuration: Configuration | None) -> Body:
    """Return the body of `/status` without the fields that the admin task adds."""
    services = configuration.services if configuration is not None else ()
    states = {target.name: target.state for service in services for target in service.targets}
    return {
        "name": status.name,
        "site": site,
        "zone": status.zone,
        "revision": _revision_body(status.revision),
        "in_force_since_ms_ago": status.in_force_since_ms_ago,
        "refused": _refused_body(status.refused),
        "is_stale": status.is_stale,
        "is_stopping": status.is_stopping,
        "peers": [_peer_body(peer) for peer in status.peers],
        "targets": [_target_body(target, states) for target in status.targets],
        "flow_count": status.flow_count,
        "queued_count": status.queued_count,
    }


def flow_body(flow: FlowKey, explanation: FlowExplanation) -> Body:
    """Return the body of `/explain?flow=`."""
    shard, phase = explanation.home_shard, explanation.phase
    return {
        "flow": describe_flow(flow),
        "service": explanation.service,
        "home_shard": None if shard is None else {"service": shard.service, "zone": shard.zone},
        "manager": explanation.manager,
        "backup": explanation.backup,
        "record": (
            None
            if phase is None
            else {"target": explanation.target or "", "phase": phase.name.lower()}
        ),
        "reason": explanation.reason,
    }


def target_body(name: TargetName, explanation: TargetExplanation) -> Body:
    """Return the body of `/explain?target=`."""
    status = explanation.status
    return {
        "target": name,
        "service": status.service if status else None,
        "zone": status.zone if status else None,
        "state": _observed_state(status),
        "manager": status.manager if status else None,
        "reason": explanation.reason,
        "next_step": explanation.next_step,
    }


def burn_body(snapshot: ObjectiveSnapshot) -> Body:
    """Return the body of `/burn` without the name, which the admin task adds."""
    return {
        "started_ms_ago": snapshot.started_ms_ago,
        "services": [_service_body(service) for service in snapshot.services],
    }


def _service_body(service: ServiceCounts) -> Body:
    objective = service.objective
    return {
        "service": service.service,
        "objective": {
            "unbroken_share": objective.unbroken_share,
            "in_time_share": objective.in_time_share,
            "period_s": objective.period_s,
        },
        "windows": [_window_body(window) for window in service.windows],
    }


def _window_body(window: WindowCounts) -> Body:
    return {
        "window_s": window.window_s,
        **_counts_body(window),
        "by_target": {name: _counts_body(counts) for name, counts in window.by_target.items()},
        "by_zone": {name: _counts_body(counts) for name, counts in window.by_zone.items()},
    }


def _counts_body(counts: Counts | WindowCounts) -> Body:
    return {
        "opened": counts.opened,
        "broken": counts.broken,
        "answered": counts.answered,
        "in_time": counts.in_time,
        "refused": counts.refused,
    }


def _revision_body(revision: Revision | None) -> Body | None:
    if revision is None:
        return None
    return {"base": revision.base, "overlay": revision.overlay}


def _refused_body(refused: ConfigurationRefused | None) -> Body | None:
    if refused is None:
        return None
    faults = [
        {
            "file": fault.file,
            "key": fault.key,
            "problem": fault.problem,
            "remedy": fault.remedy,
        }
        for fault in refused.faults
    ]
    return {"revision": _revision_body(refused.revision), "faults": faults}


def _peer_body(peer: PeerStatus) -> Body:
    return {
        "name": peer.name,
        "zone": peer.zone,
        "state": peer.state,
        "revision": _revision_body(peer.revision),
    }


def _target_body(target: TargetStatus, states: Mapping[TargetName, TargetState]) -> Body:
    load = target.load
    return {
        "name": target.name,
        "service": target.service,
        "zone": target.zone,
        # Only its manager observes a target; other entry VMs report the configured state.
        "state": _observed_state(target) or str(states.get(target.name, "")),
        "reason": CONDITION_TEXTS[load.condition][0] if load else "",
        "manager": target.manager,
        "busy_slots": load.busy_slots if load else 0,
        "connections": load.connections if load else 0,
    }


def _observed_state(status: TargetStatus | None) -> str | None:
    if status is None or status.load is None:
        return None
    condition = status.load.condition
    # A target in normal use is reported as `active`, as in the configuration file.
    return str(TargetState.ACTIVE if condition is TargetCondition.IN_USE else condition)
