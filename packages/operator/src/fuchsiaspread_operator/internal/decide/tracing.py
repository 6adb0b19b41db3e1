"""What the lines of several entry VMs tell about one request or flow."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median_low

# Lines about the flow's entry VMs and targets so close to it may explain what happened.
SURROUNDINGS_MS = 3_000
# The entry VM did not see the head of the request.
UNNAMED_REQUEST = "unknown"
PROCESS_EVENTS = frozenset(
    {"started", "stopped", "stop_requested", "pause_seen", "store_lost", "store_reached"}
    | {"readiness_changed", "task_failed"}
)
TARGET_EVENTS = frozenset({"target_suspected", "target_cleared", "target_changed", "reach_changed"})
REFUSALS = {
    "no_route": "no route has its address in configuration version {version}",
    "no_target": "no target of its service took new flows (configuration version {version})",
}
RESETS = {
    "route_removed": "the configuration in force has no route for it any more",
    "target_gone": "its target {target} had left the store's list for good",
    "target_unreachable": "its target {target} did not accept connections",
}
ENDS = {
    "caller_reset": "the caller gave up after {waited_ms} ms",
    "caller_closed": "the caller closed the flow after {waited_ms} ms",
    "forgotten": "no answer was acknowledged within {waited_ms} ms",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line; `recorded_ms` is the time of day of its VM, `steady_ms` its steady clock."""

    source: str
    event: str
    recorded_ms: int
    steady_ms: int
    fields: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class TracedLine:
    """Hold a line with its moment, counted from the flow's first line."""

    after_ms: int
    source: str
    event: str
    fields: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Trace:
    """Hold the lines about a request or flow in order, and what they say in a sentence."""

    subject: str
    verdict: str
    lines: tuple[TracedLine, ...]

    @property
    def is_known(self) -> bool:
        """Return whether any line names the subject."""
        return bool(self.lines)


def trace(subject: str, lines: Sequence[LogLine]) -> Trace:
    """Return what the lines tell about a request id or a flow."""
    named = [line for line in lines if subject in (_request(line), _flow(line))]
    flows = {_flow(line) for line in named} - {None}
    placed = _aligned(lines)
    about = [(moment, line) for moment, line in placed if _flow(line) in flows]
    if not about:
        verdict = (
            f"No line names {subject}. The lines may have been left out under load "
            "(suppressed_lines), the request may have been answered in time, or its packets may "
            "not have reached these entry VMs."
        )
        return Trace(subject, verdict, ())
    begin_ms, end_ms = about[0][0], about[-1][0]
    shown = about + _surroundings(placed, about, begin_ms, end_ms)
    shown.sort(key=lambda one: one[0])
    traced = tuple(
        TracedLine(moment - begin_ms, line.source, line.event, line.fields)
        for moment, line in shown
    )
    # Another request may have gone over the same flow.
    own = [line for _, line in about if line.fields.get("request", subject) in (subject, "unknown")]
    verdict = _verdict(own if flows != {subject} else [line for _, line in about])
    return Trace(subject, verdict, traced)


def _flow(line: LogLine) -> str | None:
    return line.fields.get("flow")


def _request(line: LogLine) -> str | None:
    request = line.fields.get("request")
    return None if request == UNNAMED_REQUEST else request


def _aligned(lines: Iterable[LogLine]) -> list[tuple[int, LogLine]]:
    """Return the lines with moments of one clock, in their order.

    Within one start of a VM the steady clock orders the lines, since the time of day may jump;
    the median difference of both clocks places the start among those of other VMs.
    """
    starts: dict[str, list[list[LogLine]]] = {}
    for line in lines:
        runs = starts.setdefault(line.source, [])
        if not runs or line.event == "started":
            runs.append([])
        runs[-1].append(line)
    placed = []
    for runs in starts.values():
        for run in runs:
            offset_ms = median_low(line.recorded_ms - line.steady_ms for line in run)
            placed += [(line.steady_ms + offset_ms, line) for line in run]
    return sorted(placed, key=lambda one: one[0])


def _surroundings(
    placed: Iterable[tuple[int, LogLine]],
    about: Sequence[tuple[int, LogLine]],
    begin_ms: int,
    end_ms: int,
) -> list[tuple[int, LogLine]]:
    """Return lines about the flow's entry VMs and targets shortly before, within and after."""
    sources = {line.source for _, line in about}
    targets = {line.fields["target"] for _, line in about if "target" in line.fields}
    return [
        (moment, line)
        for moment, line in placed
        if begin_ms - SURROUNDINGS_MS <= moment <= end_ms + SURROUNDINGS_MS
        and line.source in sources
        and (
            line.event in PROCESS_EVENTS
            or (line.event in TARGET_EVENTS and line.fields.get("target") in targets)
        )
    ]


def _verdict(lines: Sequence[LogLine]) -> str:
    """Say what happened, by the line that weighs most."""
    by_event = {line.event: line for line in lines}
    for event, say in SAYINGS.items():
        if event in by_event:
            return say(by_event[event].fields)
    return "The entry VMs carried it and saw nothing wrong; look at the target's own log."


def _refused(fields: Mapping[str, str]) -> str:
    cause = _filled(REFUSALS, fields.get("reason", ""), fields)
    return f"The open was refused: {cause}. No target saw it, so the request did not run."


def _reset(fields: Mapping[str, str]) -> str:
    cause = _filled(RESETS, fields.get("reason", ""), fields)
    return f"The flow was reset to its caller, since {cause}."


def _unanswered(fields: Mapping[str, str]) -> str:
    end = _filled(ENDS, fields.get("end", ""), fields)
    return (
        f"Target {fields.get('target')} had the request, and {end}. "
        "Whether it ran stands in the target's own log."
    )


def _repeated(fields: Mapping[str, str]) -> str:
    return (
        f"The caller repeated the request after {fields.get('waited_ms')} ms; its target "
        f"{fields.get('target')} had answered nobody for {fields.get('target_silent_ms')} ms."
    )


def _late(fields: Mapping[str, str]) -> str:
    return (
        f"Target {fields.get('target')} answered after {fields.get('took_ms')} ms, "
        "later than the route's objective; the time was spent at the target or on the way back."
    )


def _placed(fields: Mapping[str, str]) -> str:
    retries = int(fields.get("attempt", "0"))
    before = f" after {retries} that did not answer in time" if retries else ""
    return (
        f"The open went to target {fields.get('target')}{before}. No line tells of a failure: "
        "its requests were answered in time, or their lines were left out under load."
    )


def _filled(texts: Mapping[str, str], key: str, fields: Mapping[str, str]) -> str:
    """Return a text with the line's fields; an unknown key stands for itself."""
    return texts.get(key, key).format_map(
        {"version": "?", "waited_ms": "?", "target": "?"} | fields
    )


# In the order of what explains a failure best.
SAYINGS = {
    "open_refused": _refused,
    "flow_reset": _reset,
    "request_unanswered": _unanswered,
    "request_late": _late,
    "request_repeated": _repeated,
    "open_placed": _placed,
}
