"""Timeline of one request or flow, reconstructed from the logs of several entry VMs."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median_low

# Include lines about the flow's entry VMs and targets from this long before and after it.
CONTEXT_MS = 3_000
# Request id in lines of a request whose headers the entry VM did not see.
UNKNOWN_REQUEST = "unknown"
PROCESS_EVENTS = frozenset(
    {"started", "stopped", "stop_requested", "pause_seen", "store_lost", "store_reached"}
    | {"readiness_changed", "task_failed"}
)
TARGET_EVENTS = frozenset({"target_suspected", "target_cleared", "target_changed", "reach_changed"})
REFUSAL_TEXTS = {
    "no_route": "configuration version {version} has no route for its address",
    "no_target": "no target of its service accepted new flows (configuration version {version})",
}
RESET_TEXTS = {
    "route_removed": "the configuration in force no longer has a route for it",
    "target_gone": "its target {target} was permanently removed from the store",
    "target_unreachable": "its target {target} did not accept connections",
}
END_TEXTS = {
    "caller_reset": "the caller reset the flow after {waited_ms} ms",
    "caller_closed": "the caller closed the flow after {waited_ms} ms",
    "forgotten": "the caller acknowledged no response within {waited_ms} ms",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """Parsed log line; `recorded_ms` is the VM's wall clock, `steady_ms` its monotonic clock."""

    source: str
    event: str
    recorded_ms: int
    steady_ms: int
    fields: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class TracedLine:
    """Log line with its time relative to the flow's first line."""

    after_ms: int
    source: str
    event: str
    fields: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Trace:
    """Log lines about a request or flow in order, and a verdict that sums them up."""

    subject: str
    verdict: str
    lines: tuple[TracedLine, ...]

    @property
    def is_known(self) -> bool:
        """Return whether any line mentions the subject."""
        return bool(self.lines)


def trace(subject: str, lines: Sequence[LogLine]) -> Trace:
    """Return the timeline and verdict for a request id or a flow."""
    mentions = [line for line in lines if subject in (_request(line), _flow(line))]
    flows = {_flow(line) for line in mentions} - {None}
    timeline = _align_clocks(lines)
    flow_lines = [(moment, line) for moment, line in timeline if _flow(line) in flows]
    if not flow_lines:
        verdict = (
            f"No line names {subject}. Its lines may have been suppressed under load "
            "(suppressed_lines), the request may have been answered in time, or its packets may "
            "not have reached these entry VMs."
        )
        return Trace(subject, verdict, ())
    begin_ms, end_ms = flow_lines[0][0], flow_lines[-1][0]
    shown = flow_lines + _context_lines(timeline, flow_lines, begin_ms, end_ms)
    shown.sort(key=lambda item: item[0])
    traced = tuple(
        TracedLine(moment - begin_ms, line.source, line.event, line.fields)
        for moment, line in shown
    )
    # The same flow can carry other requests.
    matching = [
        line
        for _, line in flow_lines
        if line.fields.get("request", subject) in (subject, "unknown")
    ]
    verdict = _verdict(matching if flows != {subject} else [line for _, line in flow_lines])
    return Trace(subject, verdict, traced)


def _flow(line: LogLine) -> str | None:
    return line.fields.get("flow")


def _request(line: LogLine) -> str | None:
    request = line.fields.get("request")
    return None if request == UNKNOWN_REQUEST else request


def _align_clocks(lines: Iterable[LogLine]) -> list[tuple[int, LogLine]]:
    """Return the lines in time order, each with its time on a common clock.

    Within one run of a VM's process the monotonic clock gives the order, since the wall clock may
    jump. The median difference between the two clocks aligns the run with those of other VMs.
    """
    runs_by_source: dict[str, list[list[LogLine]]] = {}
    for line in lines:
        runs = runs_by_source.setdefault(line.source, [])
        if not runs or line.event == "started":
            runs.append([])
        runs[-1].append(line)
    timeline = []
    for runs in runs_by_source.values():
        for run in runs:
            offset_ms = median_low(line.recorded_ms - line.steady_ms for line in run)
            timeline += [(line.steady_ms + offset_ms, line) for line in run]
    return sorted(timeline, key=lambda item: item[0])


def _context_lines(
    timeline: Iterable[tuple[int, LogLine]],
    flow_lines: Sequence[tuple[int, LogLine]],
    begin_ms: int,
    end_ms: int,
) -> list[tuple[int, LogLine]]:
    """Return lines about the flow's entry VMs and targets from shortly before to shortly after."""
    sources = {line.source for _, line in flow_lines}
    targets = {line.fields["target"] for _, line in flow_lines if "target" in line.fields}
    return [
        (moment, line)
        for moment, line in timeline
        if begin_ms - CONTEXT_MS <= moment <= end_ms + CONTEXT_MS
        and line.source in sources
        and (
            line.event in PROCESS_EVENTS
            or (line.event in TARGET_EVENTS and line.fields.get("target") in targets)
        )
    ]


def _verdict(lines: Sequence[LogLine]) -> str:
    """Describe what happened, based on the most significant event."""
    by_event = {line.event: line for line in lines}
    for event, describe in VERDICTS_BY_EVENT.items():
        if event in by_event:
            return describe(by_event[event].fields)
    return "The entry VMs forwarded it and logged no problem; check the target's own log."


def _refusal_verdict(fields: Mapping[str, str]) -> str:
    cause = _fill_template(REFUSAL_TEXTS, fields.get("reason", ""), fields)
    return f"The open was refused: {cause}. It reached no target, so the request did not run."


def _reset_verdict(fields: Mapping[str, str]) -> str:
    cause = _fill_template(RESET_TEXTS, fields.get("reason", ""), fields)
    return f"The entry VM reset the flow to its caller because {cause}."


def _unanswered_verdict(fields: Mapping[str, str]) -> str:
    end = _fill_template(END_TEXTS, fields.get("end", ""), fields)
    return (
        f"Target {fields.get('target')} had received the request, and {end}. "
        "Check the target's own log for whether the request ran."
    )


def _repeat_verdict(fields: Mapping[str, str]) -> str:
    return (
        f"The caller repeated the request after {fields.get('waited_ms')} ms; its target "
        f"{fields.get('target')} had sent nothing to any caller for "
        f"{fields.get('target_silent_ms')} ms."
    )


def _late_verdict(fields: Mapping[str, str]) -> str:
    return (
        f"Target {fields.get('target')} answered after {fields.get('took_ms')} ms, "
        "later than the route's objective; the delay arose at the target or on the return path."
    )


def _placed_verdict(fields: Mapping[str, str]) -> str:
    retries = int(fields.get("attempt", "0"))
    before = f" after {retries} that did not respond in time" if retries else ""
    return (
        f"The open went to target {fields.get('target')}{before}. No line reports a failure: "
        "its requests were answered in time, or their lines were suppressed under load."
    )


def _fill_template(texts: Mapping[str, str], key: str, fields: Mapping[str, str]) -> str:
    """Fill in the text for a key with the line's fields; an unknown key is returned as it is."""
    return texts.get(key, key).format_map(
        {"version": "?", "waited_ms": "?", "target": "?"} | fields
    )


# In order of significance: the first event found decides the verdict.
VERDICTS_BY_EVENT = {
    "open_refused": _refusal_verdict,
    "flow_reset": _reset_verdict,
    "request_unanswered": _unanswered_verdict,
    "request_late": _late_verdict,
    "request_repeated": _repeat_verdict,
    "open_placed": _placed_verdict,
}
