"""Log lines and counters for the core's notices."""

from typing import assert_never

from fuchsiaspread_core.identifiers import describe_flow
from fuchsiaspread_core.notices import (
    ConfigurationApplied,
    ConfigurationRefused,
    FlowEnded,
    FlowOpened,
    FlowRecovered,
    MemberChanged,
    Notice,
    OpenRefused,
    OpenRetried,
    PacketDropped,
    PartConflict,
    RecordsHandedOver,
    TargetEjected,
    ViewBecameFresh,
    ViewBecameStale,
)
from fuchsiaspread_core.objectives import BROKEN_ENDS

from .counts import CountKey, Metric
from .log import Level, Log


def count_key(notice: Notice) -> CountKey:
    """Return the key of the counter that a notice increments."""
    match notice:
        case PacketDropped(reason):
            return CountKey(Metric.PACKETS_DROPPED, (("reason", str(reason)),))
        case FlowOpened(service=service):
            return CountKey(Metric.FLOWS_OPENED, (("service", service),))
        case FlowEnded(service=service, end=end):
            return CountKey(Metric.FLOWS_ENDED, (("service", service), ("end", str(end))))
        case OpenRefused(service, reason):
            return CountKey(Metric.OPENS_REFUSED, (("service", service), ("reason", str(reason))))
        case OpenRetried(service=service):
            return CountKey(Metric.OPENS_RETRIED, (("service", service),))
        case FlowRecovered():
            return CountKey(Metric.FLOWS_RECOVERED)
        case ConfigurationApplied():
            return CountKey(Metric.CONFIGURATIONS, (("outcome", "applied"),))
        case ConfigurationRefused():
            return CountKey(Metric.CONFIGURATIONS, (("outcome", "refused"),))
        case PartConflict(part=part):
            return CountKey(Metric.PART_CONFLICTS, (("part", part),))
        case MemberChanged(state=state):
            return CountKey(Metric.MEMBER_CHANGES, (("state", state),))
        case ViewBecameStale():
            return CountKey(Metric.STALE_VIEWS, (("change", "stale"),))
        case ViewBecameFresh():
            return CountKey(Metric.STALE_VIEWS, (("change", "fresh"),))
        case TargetEjected():
            return CountKey(Metric.TARGETS_EJECTED)
        case RecordsHandedOver():
            return CountKey(Metric.RECORDS_HANDED_OVER)
        case _:
            assert_never(notice)


def log_notice(log: Log, notice: Notice) -> None:
    """Log a notice; dropped packets and flows that did not break are only counted."""
    match notice:
        case PacketDropped() | FlowOpened():
            return
        case FlowEnded(service, target, end, flow=flow):
            # Operators investigate broken flows; the other flows would fill the log.
            if end in BROKEN_ENDS:
                name = describe_flow(flow) if flow is not None else ""
                fields = {"flow": name, "service": service, "target": target, "end": end}
                log.write(Level.WARNING, "flow_broken", **fields)
        case OpenRefused(service, reason):
            log.write(Level.INFO, "open_refused", service=service, reason=reason)
        case OpenRetried(service, failed, target):
            log.write(Level.INFO, "open_retried", service=service, failed=failed, target=target)
        case FlowRecovered(flow, target):
            log.write(Level.INFO, "flow_recovered", flow=describe_flow(flow), target=target)
        case ConfigurationApplied(revision):
            base, overlay = revision
            log.write(Level.INFO, "configuration_applied", base=base, overlay=overlay)
        case ConfigurationRefused():
            _log_refusal(log, notice)
        case PartConflict(part, index, source):
            log.write(Level.ERROR, "part_conflict", part=part, index=index, source=source)
        case MemberChanged(name, state):
            log.write(Level.INFO, "member_changed", member=name, state=state)
        case ViewBecameStale(gap_ms):
            log.write(Level.WARNING, "view_became_stale", gap_ms=gap_ms)
        case ViewBecameFresh(waited_ms):
            log.write(Level.INFO, "view_became_fresh", waited_ms=waited_ms)
        case TargetEjected(target, cause, ejected_for_ms):
            fields = {"target": target, "cause": cause, "ejected_for_ms": ejected_for_ms}
            log.write(Level.WARNING, "target_ejected", **fields)
        case RecordsHandedOver(peer, record_count):
            log.write(Level.INFO, "records_handed_over", peer=peer, record_count=record_count)
        case _:
            assert_never(notice)


def _log_refusal(log: Log, notice: ConfigurationRefused) -> None:
    base, overlay = notice.revision
    for fault in notice.faults:
        log.write(
            Level.ERROR,
            "configuration_refused",
            base=base,
            overlay=overlay,
            file=fault.file,
            key=fault.key,
            problem=fault.problem,
            remedy=fault.remedy,
        )
