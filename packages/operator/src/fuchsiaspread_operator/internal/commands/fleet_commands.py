"""Commands that query the entry VMs of a fleet: status, explain and burn."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import assert_never

from cleo.helpers import argument, option

from ..decide.budget import burn_report
from ..decide.explanation import (
    FlowExplanation,
    FlowSubject,
    Subject,
    TargetExplanation,
    TargetSubject,
    explain_flow,
    explain_target,
    parse_subject,
)
from ..decide.fleet import fleet_status
from ..decide.responses import (
    BurnResponse,
    FlowResponse,
    MissingResponse,
    StatusResponse,
    TargetResponse,
    parse_responses,
)
from ..exit_codes import ExitCode, fleet_exit_code
from ..gather.entries import Source, find_entries, query_entries
from ..inputs import QueryResult
from ..outcomes import InvalidInput, PlatformUnreachable, UsageProblem
from ..printing.plot import burn_page
from ..printing.reports import burn_text, flow_text, status_text, target_text
from .base import Problem, ReportCommand, fleet_options, help_text


@dataclass(frozen=True, slots=True)
class QueryResults:
    """Query results of all entry VMs of a fleet."""

    results: tuple[QueryResult, ...]


async def query_fleet(
    source: Source, path: str, timeout_s: float
) -> QueryResults | InvalidInput | PlatformUnreachable:
    """Find the entry VMs and query all of them concurrently."""
    entries = await find_entries(source, timeout_s)
    if isinstance(entries, InvalidInput | PlatformUnreachable):
        return entries
    return QueryResults(await query_entries(entries, path, timeout_s))


class FleetCommand(ReportCommand):
    """Command that sends the same query to every entry VM."""

    def gather(self, path: str) -> QueryResults | Problem:
        """Return the query results of all entry VMs, or the reason why none could be queried."""
        source, timeout_s = self.source(), self.timeout_s()
        if isinstance(source, UsageProblem):
            return source
        if isinstance(timeout_s, UsageProblem):
            return timeout_s
        return asyncio.run(query_fleet(source, path, timeout_s))


class StatusCommand(FleetCommand):
    """Show the state of a fleet."""

    name = "status"
    description = "Show the state of entry VMs and targets, and problems."
    options = fleet_options()
    help = help_text(
        "Queries every entry VM and combines the responses: revisions, targets, refused files,\n"
        "stale views, signs of a network partition.",
        "status --members members.json",
        "status --platform 127.1.0.11:8500 --site occidente",
        "status --entries 127.1.1.1:6083,127.1.1.2:6083",
    )

    def run_command(self) -> ExitCode:
        """Query the entry VMs and print the report."""
        gathered = self.gather("/status")
        if not isinstance(gathered, QueryResults):
            return self.fail(gathered)
        responses, missing = parse_responses(gathered.results, StatusResponse)
        status = fleet_status(list(responses.values()), missing)
        self.emit(status, status_text)
        return fleet_exit_code(len(responses), len(missing), bool(status.findings))


class ExplainCommand(FleetCommand):
    """Explain a flow or a target."""

    name = "explain"
    description = "Explain where a flow goes, or the state of a target."
    arguments = [argument("subject", "A target's name, or a flow: CALLER:PORT-SERVICE:PORT.")]
    options = fleet_options()
    help = help_text(
        "Queries every entry VM about a flow or a target, and reports disagreements.",
        "explain desk-1 --members members.json",
        "explain 10.30.0.5:40000-10.20.0.1:7001 --members members.json",
    )

    def run_command(self) -> ExitCode:
        """Query the entry VMs and print the report."""
        subject = parse_subject(self.argument("subject"))
        if isinstance(subject, UsageProblem):
            return self.fail(subject)
        gathered = self.gather(subject.path)
        if not isinstance(gathered, QueryResults):
            return self.fail(gathered)
        explanation, response_count = self._explained(subject, gathered.results)
        match explanation:
            case FlowExplanation():
                self.emit(explanation, flow_text)
            case TargetExplanation():
                self.emit(explanation, target_text)
            case _:
                assert_never(explanation)
        return fleet_exit_code(response_count, len(explanation.missing), not explanation.is_known)

    def _explained(
        self, subject: Subject, results: tuple[QueryResult, ...]
    ) -> tuple[FlowExplanation | TargetExplanation, int]:
        missing: tuple[MissingResponse, ...]
        match subject:
            case FlowSubject():
                flows, missing = parse_responses(results, FlowResponse)
                return explain_flow(subject, flows, missing), len(flows)
            case TargetSubject():
                targets, missing = parse_responses(results, TargetResponse)
                return explain_target(subject, targets, missing), len(targets)
            case _:
                assert_never(subject)


class BurnCommand(FleetCommand):
    """Show the consumption of the error budgets."""

    name = "burn"
    description = "Show the burn rates of the error budgets."
    options = [
        *fleet_options(),
        option("html", None, "Also write a plot to this HTML file.", flag=False),
    ]
    help = help_text(
        "Sums the counters of all entry VMs: the share of each error budget consumed in the last\n"
        "5 min, 1 h, 6 h and the whole period, fast and slow burns, and the zone and target that\n"
        "contributed most. The history of an entry VM is lost when the VM is replaced.",
        "burn --members members.json",
        "burn --members members.json --html burn.html",
    )

    def run_command(self) -> ExitCode:
        """Query the entry VMs, sum their counters and print the report."""
        gathered = self.gather("/burn")
        if not isinstance(gathered, QueryResults):
            return self.fail(gathered)
        responses, missing = parse_responses(gathered.results, BurnResponse)
        report = burn_report(list(responses.values()), missing)
        self.emit(report, burn_text)
        page = self.option("html")
        if page is not None:
            problem = write_page(Path(page), burn_page(report))
            if problem is not None:
                return self.fail(problem)
        return fleet_exit_code(len(responses), len(missing), report.has_alert)


def write_page(path: Path, page: str) -> UsageProblem | None:
    """Write a page to a file; return the error, if any."""
    try:
        path.write_text(page, encoding="utf-8")
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return UsageProblem(f"--html {path}: cannot be written: {reason}", "give another path")
    return None
