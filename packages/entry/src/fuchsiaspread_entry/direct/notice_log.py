"""Log lines for the notices of the direct core."""

from collections.abc import Callable
from dataclasses import fields

from fuchsiaspread_core.direct.notices import (
    AddressContested,
    DirectNotice,
    FlowReset,
    OpenAnswered,
    OpenPlaced,
    OpenRefused,
    PacketDropped,
    PacketUnrouted,
    ProcessPaused,
    ReachabilityChanged,
    RequestAnswered,
    RequestRepeated,
    RequestUnanswered,
    RoutesApplied,
    TargetChanged,
    TargetCleared,
    TargetSuspected,
    ZoneReachabilityChanged,
)
from fuchsiaspread_core.identifiers import TargetName, describe_flow

from ..internal.log import Level, Log

# Logged when a request's HTTP header was not in one packet on this entry VM, so its id is unknown.
UNKNOWN_REQUEST_ID = "unknown"
# Event name and level of each notice; its fields are logged under their own names.
EVENT_AND_LEVEL: dict[type, tuple[str, Level]] = {
    OpenPlaced: ("open_placed", Level.INFO),
    OpenRefused: ("open_refused", Level.INFO),
    FlowReset: ("flow_reset", Level.INFO),
    RequestAnswered: ("request_late", Level.INFO),
    RequestRepeated: ("request_repeated", Level.INFO),
    RequestUnanswered: ("request_unanswered", Level.WARNING),
    PacketDropped: ("packet_dropped", Level.INFO),
    PacketUnrouted: ("packet_unrouted", Level.INFO),
    TargetSuspected: ("target_suspected", Level.WARNING),
    TargetCleared: ("target_cleared", Level.INFO),
    TargetChanged: ("target_changed", Level.INFO),
    AddressContested: ("address_contested", Level.WARNING),
    RoutesApplied: ("routes_in_force", Level.INFO),
    ReachabilityChanged: ("reach_changed", Level.WARNING),
    ZoneReachabilityChanged: ("zone_reach_changed", Level.WARNING),
    ProcessPaused: ("pause_seen", Level.WARNING),
}


class NoticeLog:
    """Write notices as log lines."""

    def __init__(self, log: Log, request_id_of: Callable[[bytes], str | None]) -> None:
        self._log = log
        self._request_id_of = request_id_of

    def write(self, notice: DirectNotice) -> None:
        """Log one notice."""
        match notice:
            case OpenAnswered() | RequestAnswered(is_late=False):
                # Not a second line per open and request; the metrics hold these times.
                return
        event, level = EVENT_AND_LEVEL[type(notice)]
        values = {field.name: getattr(notice, field.name) for field in fields(notice)}
        if "request" in values:
            values["request"] = self._request_id_of(values["request"]) or UNKNOWN_REQUEST_ID
        if "flow" in values:
            values["flow"] = describe_flow(values["flow"])
        self._log.write(level, event, **values)

    def write_lost_check(self, target: TargetName) -> None:
        """Log that a check was dropped; an unreachable target is checked again later."""
        self._log.write(Level.WARNING, "check_lost", target=target)

    def write_failed_event(self, name: str, error: Exception) -> None:
        """Log an event that the core could not handle, with the place of the error."""
        self._log.write(Level.ERROR, "event_failed", kind=name, cause=repr(error), at=_place(error))

    def write_readiness(self, is_ready: bool) -> None:
        """Log a change of readiness."""
        self._log.write(Level.INFO, "readiness_changed", is_ready=is_ready)


def _place(error: Exception) -> str:
    """Return the file name and line at which an error was raised."""
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    if frame is None:
        return "unknown"
    file_name = frame.tb_frame.f_code.co_filename.rpartition("/")[2]
    return f"{file_name}:{frame.tb_lineno}"
