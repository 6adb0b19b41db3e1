"""Error budgets of the services, put together from the counters of the entry VMs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from .answers import BurnAnswer, CountsAnswer, Missing, ObjectiveAnswer, WindowAnswer

FIVE_MINUTES_S, HOUR_S, SIX_HOURS_S = 300, 3_600, 21_600
# A fast burn uses 2% of the budget within an hour, a slow one 5% within six hours. For a period
# of 30 days these are the usual burn rates of 14.4 and 6.
FAST_BUDGET_SHARE = 0.02
SLOW_BUDGET_SHARE = 0.05


class Promise(StrEnum):
    """Name what an objective promises."""

    UNBROKEN = "unbroken"
    IN_TIME = "in time"


class Alert(StrEnum):
    """Name how fast a budget is used up."""

    NONE = "none"
    SLOW = "slow"
    FAST = "fast"


@dataclass(frozen=True, slots=True)
class BudgetWindow:
    """Hold the use of a budget in one window; a burn rate of 1 uses it up at the period's end."""

    window_s: int
    total: int
    bad: int
    burn_rate: float
    budget_gone: float


@dataclass(frozen=True, slots=True)
class Contributor:
    """Name what contributed most, with its share of the bad flows of the window."""

    name: str
    bad: int
    share: float


@dataclass(frozen=True, slots=True)
class ServiceBudget:
    """Hold the budget of one promise of one service."""

    service: str
    promise: Promise
    target_share: float
    period_s: int
    windows: tuple[BudgetWindow, ...]
    alert: Alert
    contributor_window_s: int | None
    zone: Contributor | None
    target: Contributor | None


@dataclass(frozen=True, slots=True)
class MissingHistory:
    """Name an entry VM whose counters do not cover the windows from `window_s` on."""

    entry: str
    reason: str
    window_s: int


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Hold the budgets of all services."""

    budgets: tuple[ServiceBudget, ...]
    missing_history: tuple[MissingHistory, ...]
    missing: tuple[Missing, ...]

    @property
    def has_alert(self) -> bool:
        """Return whether any budget burns fast or slowly."""
        return any(budget.alert is not Alert.NONE for budget in self.budgets)


def burn_report(answers: list[BurnAnswer], missing: tuple[Missing, ...]) -> BurnReport:
    """Return the use of every error budget."""
    objectives: dict[str, ObjectiveAnswer] = {}
    for answer in answers:
        for service in answer.services:
            objectives.setdefault(service.service, service.objective)
    budgets: list[ServiceBudget] = []
    history_s = max((answer.started_ms_ago for answer in answers), default=0) / 1_000
    for service, objective in objectives.items():
        windows = _summed(answers, service, objective)
        for promise in Promise:
            budgets.append(_budget(service, promise, objective, windows, history_s))
    periods = [objective.period_s for objective in objectives.values()]
    spans = sorted({FIVE_MINUTES_S, HOUR_S, SIX_HOURS_S, *periods})
    return BurnReport(tuple(budgets), tuple(_missing_history(answers, missing, spans)), missing)


def _summed(
    answers: list[BurnAnswer], service: str, objective: ObjectiveAnswer
) -> list[WindowAnswer]:
    sums: dict[int, WindowAnswer] = {}
    expected = (FIVE_MINUTES_S, HOUR_S, SIX_HOURS_S, objective.period_s)
    for answer in answers:
        for counted in answer.services:
            for window in counted.windows if counted.service == service else ():
                # Entry VMs with an older objective may still count another period.
                if window.window_s in expected:
                    known = sums.get(window.window_s)
                    sums[window.window_s] = window if known is None else _sum(known, window)
    return [sums[window_s] for window_s in sorted(sums)]


def _sum(first: WindowAnswer, second: WindowAnswer) -> WindowAnswer:
    by_target, by_zone = dict(first.by_target), dict(first.by_zone)
    for mine, other in ((by_target, second.by_target), (by_zone, second.by_zone)):
        for name, counts in other.items():
            mine[name] = _add(mine.get(name, CountsAnswer()), counts)
    total = _add(first, second)
    return WindowAnswer(
        window_s=first.window_s, by_target=by_target, by_zone=by_zone, **total.model_dump()
    )


def _add(first: CountsAnswer, second: CountsAnswer) -> CountsAnswer:
    return CountsAnswer(
        **{key: getattr(first, key) + getattr(second, key) for key in CountsAnswer.model_fields}
    )


def _total(promise: Promise, counts: CountsAnswer) -> int:
    match promise:
        case Promise.UNBROKEN:
            # Streams that were opened before the window may end in it, so ends count as well.
            return max(counts.opened, counts.answered + counts.broken)
        case Promise.IN_TIME:
            return counts.answered + counts.refused


def _bad(promise: Promise, counts: CountsAnswer) -> int:
    match promise:
        case Promise.UNBROKEN:
            return counts.broken
        case Promise.IN_TIME:
            return max(0, counts.answered - counts.in_time) + counts.refused


def _budget(
    service: str,
    promise: Promise,
    objective: ObjectiveAnswer,
    windows: list[WindowAnswer],
    history_s: float,
) -> ServiceBudget:
    is_unbroken = promise is Promise.UNBROKEN
    share = objective.unbroken_share if is_unbroken else objective.in_time_share
    used = tuple(_window(promise, share, objective, window, history_s) for window in windows)
    with_bad = [window for window in windows if _bad(promise, window)]
    # The shortest window with bad flows tells what is wrong now.
    chosen = with_bad[0] if with_bad else None
    return ServiceBudget(
        service=service,
        promise=promise,
        target_share=share,
        period_s=objective.period_s,
        windows=used,
        alert=_alert(used, objective.period_s),
        contributor_window_s=chosen.window_s if chosen else None,
        zone=_worst(promise, chosen.by_zone) if chosen else None,
        target=_worst(promise, chosen.by_target) if chosen else None,
    )


def _window(
    promise: Promise,
    share: float,
    objective: ObjectiveAnswer,
    counts: WindowAnswer,
    history_s: float,
) -> BudgetWindow:
    total, bad = _total(promise, counts), _bad(promise, counts)
    burn_rate = bad / total / (1 - share) if total else 0.0
    span_s = min(counts.window_s, history_s)
    gone = burn_rate * span_s / objective.period_s
    return BudgetWindow(counts.window_s, total, bad, burn_rate, gone)


def _alert(windows: tuple[BudgetWindow, ...], period_s: int) -> Alert:
    rates = {window.window_s: window.burn_rate for window in windows}
    fast_rate = FAST_BUDGET_SHARE * period_s / HOUR_S
    slow_rate = SLOW_BUDGET_SHARE * period_s / SIX_HOURS_S
    # The shorter window ends the alert soon after the fault is gone.
    if min(rates.get(FIVE_MINUTES_S, 0), rates.get(HOUR_S, 0)) >= fast_rate:
        return Alert.FAST
    if min(rates.get(HOUR_S, 0), rates.get(SIX_HOURS_S, 0)) >= slow_rate:
        return Alert.SLOW
    return Alert.NONE


def _worst(promise: Promise, counts: dict[str, CountsAnswer]) -> Contributor | None:
    bad = {name: _bad(promise, item) for name, item in counts.items()}
    total = sum(bad.values())
    if not total:
        return None
    name = max(sorted(bad), key=lambda key: bad[key])
    return Contributor(name, bad[name], bad[name] / total)


def _missing_history(
    answers: list[BurnAnswer], missing: tuple[Missing, ...], spans_s: Iterable[int]
) -> Iterator[MissingHistory]:
    spans = tuple(spans_s)
    for entry in missing:
        yield MissingHistory(entry.entry, entry.reason, spans[0])
    for answer in sorted(answers, key=lambda item: item.name):
        uncovered = [span for span in spans if answer.started_ms_ago < span * 1_000]
        if uncovered:
            reason = f"started {answer.started_ms_ago // 1_000} s ago"
            yield MissingHistory(answer.name, reason, uncovered[0])
