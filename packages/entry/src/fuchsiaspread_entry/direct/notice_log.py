"""Log lines of the direct core's notices."""

from collections.abc import Callable
from dataclasses import fields

from fuchsiaspread_core.direct.notices import (
    DirectNotice,
    FlowReset,
    OpenAnswered,
    OpenPlaced,
    OpenRefused,
    PacketDropped,
    ProcessPaused,
    ReachabilityChanged,
    RequestAnswered,
    RequestRepeated,
    RequestUnanswered,
    RoutesApplied,
    TargetChanged,
    TargetCleared,
    TargetSuspected,
)
from fuchsiaspread_core.identifiers import TargetName, describe_flow

from ..internal.log import Level, Log

# The head of a request that did not pass this entry VM in one packet names no request.
UNNAMED = "unknown"
# Event name and level of each notice; the fields are the notice's own.
LINES: dict[type, tuple[str, Level]] = {
    OpenPlaced: ("open_placed", Level.INFO),
    OpenRefused: ("open_refused", Level.INFO),
    FlowReset: ("flow_reset", Level.INFO),
    RequestAnswered: ("request_late", Level.INFO),
    RequestRepeated: ("request_repeated", Level.INFO),
    RequestUnanswered: ("request_unanswered", Level.WARNING),
    PacketDropped: ("packet_dropped", Level.INFO),
    TargetSuspected: ("target_suspected", Level.WARNING),
    TargetCleared: ("target_cleared", Level.INFO),
    TargetChanged: ("target_changed", Level.INFO),
    RoutesApplied: ("routes_in_force", Level.INFO),
    ReachabilityChanged: ("reach_changed", Level.WARNING),
    ProcessPaused: ("pause_seen", Level.WARNING),
}


class NoticeLog:
    """Write notices as log lines."""

    def __init__(self, log: Log, identify: Callable[[bytes], str | None]) -> None:
        self._log = log
        self._identify = identify

    def write(self, notice: DirectNotice) -> None:
        """Write one notice."""
        match notice:
            case OpenAnswered() | RequestAnswered(is_late=False):
                # Each open and request would have a second line; the metrics hold these times.
                return
        event, level = LINES[type(notice)]
        values = {field.name: getattr(notice, field.name) for field in fields(notice)}
        if "request" in values:
            values["request"] = self._identify(values["request"]) or UNNAMED
        if "flow" in values:
            values["flow"] = describe_flow(values["flow"])
        self._log.write(level, event, **values)

    def write_lost_check(self, target: TargetName) -> None:
        """Write that a target is not checked; one out of reach is checked again later."""
        self._log.write(Level.WARNING, "check_lost", target=target)

    def write_readiness(self, is_ready: bool) -> None:
        """Write that the readiness changed."""
        self._log.write(Level.INFO, "readiness_changed", is_ready=is_ready)
