"""Text output of the reports."""

from collections.abc import Iterable
from typing import assert_never

from ..decide.budget import Alert, BurnReport, Contributor, Promise, ServiceBudget
from ..decide.changes import Comparison, FileWarning
from ..decide.checking import SiteValues
from ..decide.explanation import FlowExplanation, TargetExplanation
from ..decide.fleet import FleetStatus
from ..decide.responses import MissingResponse
from .text import duration, exact_percent, percent, sections, table


def comparison_text(comparison: Comparison) -> str:
    """Format the differences between two configurations."""
    if not comparison.changes:
        return "no change"
    rows = ((c.site, c.key, c.before, c.after) for c in comparison.changes)
    return sections(
        ("Changes", table(("SITE", "KEY", "BEFORE", "AFTER"), rows)),
        ("Warnings", warning_lines(comparison.warnings)),
    )


def warning_lines(warnings: Iterable[FileWarning]) -> str:
    """Format warnings, one line each."""
    return "\n".join(
        f"{w.site}: {w.key}: {w.problem}; {w.next_step}" if w.key else f"{w.site}: {w.problem}"
        for w in warnings
    )


def values_text(values: SiteValues) -> str:
    """Format the values of a site with their origins."""
    rows = ((value.key, _value(value.value), value.origin) for value in values.values)
    return table(("KEY", "VALUE", "FROM"), rows)


def status_text(status: FleetStatus) -> str:
    """Format the state of a fleet."""
    entries = (
        (
            row.name,
            row.zone,
            row.state,
            row.revision,
            duration(row.in_force_since_ms_ago),
            row.platform,
            row.flow_count,
            row.queued_count,
        )
        for row in status.entries
    )
    targets = (
        (t.name, t.service, t.zone, t.state, t.manager, t.busy_slots, t.connections, t.reason)
        for t in status.targets
    )
    findings = "\n".join(f"{f.subject}: {f.problem}; {f.next_step}" for f in status.findings)
    entry_headers = ("ENTRY VM", "ZONE", "STATE", "REVISION", "IN FORCE FOR", "PLATFORM")
    target_headers = ("TARGET", "SERVICE", "ZONE", "STATE", "MANAGER", "BUSY SLOTS", "CONNECTIONS")
    return sections(
        ("Entry VMs", table((*entry_headers, "FLOWS", "QUEUED"), entries)),
        ("Targets", table((*target_headers, "REASON"), targets)),
        ("Findings", findings or _no_finding(status)),
        ("No usable response", missing_lines(status.missing)),
    )


def flow_text(explanation: FlowExplanation) -> str:
    """Format the explanation of a flow."""
    rows = (
        ("flow", explanation.flow),
        ("service", explanation.service),
        ("home shard", explanation.home_shard),
        ("manager", explanation.manager),
        ("backup", explanation.backup),
        ("target", explanation.target),
        ("phase", explanation.phase),
        ("record held by", ", ".join(explanation.holders)),
        ("reason", explanation.reason),
        ("next step", explanation.next_step),
    )
    return _explanation(rows, explanation.disagreements, explanation.missing)


def target_text(explanation: TargetExplanation) -> str:
    """Format the explanation of a target."""
    rows = (
        ("target", explanation.target),
        ("service", explanation.service),
        ("zone", explanation.zone),
        ("state", explanation.state),
        ("manager", explanation.manager),
        ("reason", explanation.reason),
        ("next step", explanation.next_step),
    )
    return _explanation(rows, explanation.disagreements, explanation.missing)


def burn_text(report: BurnReport) -> str:
    """Format the consumption of the error budgets."""
    used = (
        (
            b.service,
            b.promise.value,
            exact_percent(b.target_share),
            duration(window.window_s * 1_000),
            f"{window.bad} of {window.total}",
            f"{window.burn_rate:.3g}",
            percent(window.budget_gone),
        )
        for b in report.budgets
        for window in b.windows
    )
    headers = ("SERVICE", "PROMISE", "OBJECTIVE", "WINDOW", "BAD FLOWS", "BURN RATE", "BUDGET GONE")
    histories = "\n".join(
        f"{m.entry}: windows of {duration(m.window_s * 1_000)} and longer: {m.reason}"
        for m in report.missing_history
    )
    return sections(
        ("Error budgets", table(headers, used)),
        ("Alerts", "\n".join(map(_alert_line, _budgets_with_alert(report))) or _no_alert(report)),
        ("Largest contributors", "\n".join(filter(None, map(_contributor_line, report.budgets)))),
        ("Entry VMs with incomplete history", histories),
        ("No usable response", missing_lines(report.missing)),
    )


def missing_lines(missing: Iterable[MissingResponse]) -> str:
    """Format one line for each entry VM without a usable response."""
    return "\n".join(f"{m.entry}: {m.reason}; check the VM and its admin address" for m in missing)


def _no_finding(status: FleetStatus) -> str:
    return "nothing needs attention" if status.entries else "unknown: no entry VM responded"


def _no_alert(report: BurnReport) -> str:
    return "no fast or slow burn" if report.budgets else "unknown: no counters received"


def _budgets_with_alert(report: BurnReport) -> list[ServiceBudget]:
    return [budget for budget in report.budgets if budget.alert is not Alert.NONE]


def _alert_line(budget: ServiceBudget) -> str:
    period = duration(budget.period_s * 1_000)
    match budget.alert:
        case Alert.FAST:
            words = "fast burn: act now; see the largest contributors below, and run status"
        case _:
            words = "slow burn: act today; see the largest contributors below, and run status"
    return f"{budget.service}, {budget.promise.value} ({period}): {words}"


def _contributor_line(budget: ServiceBudget) -> str:
    if budget.contributor_window_s is None:
        return ""
    window = duration(budget.contributor_window_s * 1_000)
    zone, target = _contributor("zone", budget.zone), _contributor("target", budget.target)
    named = ", ".join(filter(None, (zone, target))) or "refused before a target was chosen"
    return f"{budget.service}, {budget.promise.value}, last {window}: {named}; {_next_step(budget)}"


def _next_step(budget: ServiceBudget) -> str:
    match budget.promise:
        case Promise.UNBROKEN:
            return "look for event=flow_broken in the logs of the entry VMs"
        case Promise.IN_TIME:
            return "look for event=open_refused in the logs of the entry VMs"
        case _:
            assert_never(budget.promise)


def _contributor(kind: str, contributor: Contributor | None) -> str:
    if contributor is None:
        return ""
    return f"{kind} {contributor.name} with {contributor.bad} ({percent(contributor.share)})"


def _explanation(
    rows: Iterable[tuple[str, str]],
    disagreements: tuple[str, ...],
    missing: tuple[MissingResponse, ...],
) -> str:
    return sections(
        ("", table(("ITEM", "VALUE"), rows)),
        ("Entry VMs disagree", "\n".join(disagreements)),
        ("No usable response", missing_lines(missing)),
    )


def _value(value: str | int | float | bool) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
