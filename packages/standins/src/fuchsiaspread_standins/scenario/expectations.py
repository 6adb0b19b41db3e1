"""Judgement of what callers and targets saw."""

from collections import Counter
from dataclasses import dataclass
from typing import assert_never

from ..caller import CallerReport
from ..fleet import SiteReport
from ..internal.serving import TargetReport
from ..outcomes import Answered, BreakReason, Broken, FlowEnded, NotRun, TimedOut

# The design asks that a draining target receives no new work after this time.
DRAIN_LIMIT_MS = 3000
EXAMPLES_SHOWN = 3


@dataclass(frozen=True, slots=True)
class Failed:
    """Tell what was seen instead of what was expected."""

    problem: str


@dataclass(frozen=True, slots=True)
class Tally:
    """Count flows by outcome and the violations of what must always hold."""

    opened: int
    answered_requests: int
    whole_streams: int
    broken_streams: int
    broken_requests: int
    refused: int
    wrong_service_packets: int
    not_run_lies: tuple[str, ...]
    double_runs: tuple[str, ...]
    foreign_answers: tuple[str, ...]


def tally(report: SiteReport) -> Tally:
    """Count what callers and targets saw."""
    ended = report.callers.ended
    executed: Counter[str] = Counter()
    for target in report.targets:
        executed += target.executed
    counts = Counter((flow.is_stream, _kind(flow)) for flow in ended)
    refused = [flow.identifier for flow in ended if isinstance(flow.outcome, NotRun)]
    return Tally(
        opened=report.callers.opened_count,
        answered_requests=counts[False, "answered"],
        whole_streams=counts[True, "answered"],
        broken_streams=counts[True, "broken"],
        broken_requests=counts[False, "broken"],
        refused=len(refused),
        wrong_service_packets=sum(target.wrong_service_count for target in report.targets),
        not_run_lies=tuple(name for name in refused if executed[name]),
        double_runs=tuple(name for name, runs in executed.items() if runs > 1),
        foreign_answers=tuple(flow.identifier for flow in ended if _is_foreign(flow)),
    )


def broken_promises(report: SiteReport) -> list[Failed]:
    """Return the violations of what must always hold, whatever the scenario does."""
    counts = tally(report)
    found = []
    if counts.wrong_service_packets:
        found.append(Failed(f"{counts.wrong_service_packets} packets reached a wrong service"))
    for name, flows in (
        ("told not run, but run", counts.not_run_lies),
        ("run twice", counts.double_runs),
        ("answered with damaged data or another caller's data", counts.foreign_answers),
    ):
        if flows:
            examples = ", ".join(flows[:EXAMPLES_SHOWN])
            found.append(Failed(f"{len(flows)} requests {name}: {examples}"))
    return found


def check_streams(report: CallerReport, count: int, most: int) -> Failed | None:
    """Judge streams after they were ended; one that has not ended counts as broken."""
    streams = [flow for flow in report.ended if flow.is_stream]
    whole = sum(isinstance(flow.outcome, Answered) for flow in streams)
    if count - whole <= most:
        return None
    return Failed(f"{count - whole} of {count} streams broke: {_describe(streams, count)}")


def check_answers(report: CallerReport, least: int) -> Failed | None:
    """Judge the number of requests with whole answers."""
    requests = [flow for flow in report.ended if not flow.is_stream]
    answered = sum(isinstance(flow.outcome, Answered) for flow in requests)
    if answered >= least:
        return None
    return Failed(f"{answered} answers, at least {least} expected: {_describe(requests)}")


def check_refusals(report: CallerReport, least: int) -> Failed | None:
    """Judge the number of refused opens."""
    refused = sum(isinstance(flow.outcome, NotRun) for flow in report.ended)
    if refused >= least:
        return None
    return Failed(f"{refused} refusals, at least {least} expected: {_describe(report.ended)}")


def check_broken_requests(report: CallerReport, most: int) -> Failed | None:
    """Judge the number of requests that were neither answered nor refused."""
    requests = [flow for flow in report.ended if not flow.is_stream]
    broken = sum(_kind(flow) == "broken" for flow in requests)
    return None if broken <= most else Failed(f"{broken} broke: {_describe(requests)}")


def check_quiet(report: TargetReport, drained_ms: int | None) -> Failed | None:
    """Judge whether a draining target was given new work for too long."""
    if drained_ms is None:
        return Failed(f"{report.name} was never drained")
    late_ms = (report.last_open_ms or 0) - drained_ms
    if late_ms <= DRAIN_LIMIT_MS:
        return None
    return Failed(f"{report.name} got new work {late_ms} ms after its drain")


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


def _is_foreign(flow: FlowEnded) -> bool:
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
