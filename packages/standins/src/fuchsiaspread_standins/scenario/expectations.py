"""Checks on the reports of callers and targets."""

from collections import Counter
from dataclasses import dataclass
from typing import assert_never

from ..caller import CallerReport
from ..fleet import SiteReport
from ..internal.serving import TargetReport
from ..outcomes import Answered, BreakReason, Broken, FlowEnded, NotRun, TimedOut

# The design requires that a draining target receives no new work after this time.
DRAIN_LIMIT_MS = 3000
EXAMPLES_SHOWN = 3


@dataclass(frozen=True, slots=True)
class Failed:
    """Describe a failed check: what was observed instead of the expected result."""

    problem: str


@dataclass(frozen=True, slots=True)
class Tally:
    """Count flows by outcome, and violations of the invariants.

    `not_run_lies` are requests that were reported as not run although a target ran them;
    `double_runs` are requests that ran more than once.
    """

    opened: int
    answered_requests: int
    complete_streams: int
    broken_streams: int
    broken_requests: int
    refused: int
    wrong_service_packets: int
    not_run_lies: tuple[str, ...]
    double_runs: tuple[str, ...]
    corrupt_answers: tuple[str, ...]


def tally(report: SiteReport) -> Tally:
    """Return the counts for a report of callers and targets."""
    ended = report.callers.ended
    executed: Counter[str] = Counter()
    for target in report.targets:
        executed += target.executed
    counts = Counter((flow.is_stream, _kind(flow)) for flow in ended)
    refused = [flow.identifier for flow in ended if isinstance(flow.outcome, NotRun)]
    return Tally(
        opened=report.callers.opened_count,
        answered_requests=counts[False, "answered"],
        complete_streams=counts[True, "answered"],
        broken_streams=counts[True, "broken"],
        broken_requests=counts[False, "broken"],
        refused=len(refused),
        wrong_service_packets=sum(target.wrong_service_count for target in report.targets),
        not_run_lies=tuple(name for name in refused if executed[name]),
        double_runs=tuple(name for name, runs in executed.items() if runs > 1),
        corrupt_answers=tuple(flow.identifier for flow in ended if _is_corrupt(flow)),
    )


def invariant_violations(report: SiteReport) -> list[Failed]:
    """Return the violations of the invariants that hold in every scenario."""
    counts = tally(report)
    found = []
    if counts.wrong_service_packets:
        found.append(
            Failed(f"{counts.wrong_service_packets} packets reached a target of the wrong service")
        )
    for name, flows in (
        ("reported as not run, but run", counts.not_run_lies),
        ("run twice", counts.double_runs),
        ("answered with corrupt data or another caller's data", counts.corrupt_answers),
    ):
        if flows:
            examples = ", ".join(flows[:EXAMPLES_SHOWN])
            found.append(Failed(f"{len(flows)} requests {name}: {examples}"))
    return found


def check_streams(report: CallerReport, count: int, most: int) -> Failed | None:
    """Check the streams after `EndStreams`; a stream that is still open counts as broken."""
    streams = [flow for flow in report.ended if flow.is_stream]
    complete = sum(isinstance(flow.outcome, Answered) for flow in streams)
    if count - complete <= most:
        return None
    return Failed(f"{count - complete} of {count} streams broke: {_describe(streams, count)}")


def check_answers(report: CallerReport, least: int) -> Failed | None:
    """Check the number of requests with complete answers."""
    requests = [flow for flow in report.ended if not flow.is_stream]
    answered = sum(isinstance(flow.outcome, Answered) for flow in requests)
    if answered >= least:
        return None
    return Failed(f"{answered} answers, at least {least} expected: {_describe(requests)}")


def check_refusals(report: CallerReport, least: int) -> Failed | None:
    """Check the number of refused opens."""
    refused = sum(isinstance(flow.outcome, NotRun) for flow in report.ended)
    if refused >= least:
        return None
    return Failed(f"{refused} refusals, at least {least} expected: {_describe(report.ended)}")


def check_broken_requests(report: CallerReport, most: int) -> Failed | None:
    """Check the number of requests that were neither answered nor refused."""
    requests = [flow for flow in report.ended if not flow.is_stream]
    broken = sum(_kind(flow) == "broken" for flow in requests)
    return None if broken <= most else Failed(f"{broken} requests broke: {_describe(requests)}")


def check_quiet(report: TargetReport, drained_ms: int | None) -> Failed | None:
    """Check that a target received no new work later than `DRAIN_LIMIT_MS` after its drain."""
    if drained_ms is None:
        return Failed(f"{report.name} was never drained; add a `change drain` step")
    late_ms = (report.last_open_ms or 0) - drained_ms
    if late_ms <= DRAIN_LIMIT_MS:
        return None
    return Failed(f"{report.name} received new work {late_ms} ms after its drain")


def _kind(flow: FlowEnded) -> str:
    match flow.outcome:
        case Answered():
            return "answered"
        case NotRun():
            return "refused"
        case Broken() | TimedOut():
            return "broken"
        case _:
            assert_never(flow.outcome)


def _is_corrupt(flow: FlowEnded) -> bool:
    outcome = flow.outcome
    return isinstance(outcome, Broken) and outcome.reason in (
        BreakReason.CROSSED,
        BreakReason.DAMAGED,
    )


def _describe(flows: list[FlowEnded] | tuple[FlowEnded, ...], count: int | None = None) -> str:
    outcomes = Counter(str(flow.outcome) for flow in flows if _kind(flow) != "answered")
    described = ", ".join(f"{number} {outcome}" for outcome, number in outcomes.items())
    missing = 0 if count is None else count - len(flows)
    return described + (f", {missing} not ended" if missing else "")
