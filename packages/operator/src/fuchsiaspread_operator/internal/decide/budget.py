"""Error budgets of the services, summed over the counters of all entry VMs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from .responses import BurnResponse, CountsModel, MissingResponse, ObjectiveModel, WindowModel

FIVE_MINUTES_S, HOUR_S, SIX_HOURS_S = 300, 3_600, 21_600
# A fast burn consumes 2% of the budget in one hour, a slow burn 5% in six hours. For a period of
# 30 days these are the usual burn rates of 14.4 and 6.
FAST_BUDGET_SHARE = 0.02
SLOW_BUDGET_SHARE = 0.05


class Promise(StrEnum):
    """Service level indicator of an objective."""

    UNBROKEN = "unbroken"
    IN_TIME = "in time"


class Alert(StrEnum):
    """Burn alert of an error budget."""

    NONE = "none"
    SLOW = "slow"
    FAST = "fast"


@dataclass(frozen=True, slots=True)
class BudgetWindow:
    """Budget consumption in one window; a burn rate of 1 exhausts it at the end of the period."""

    window_s: int
    total: int
    bad: int
    burn_rate: float
    budget_gone: float


@dataclass(frozen=True, slots=True)
class Contributor:
    """Zone or target with the most bad flows, and its share of the window's bad flows."""

    name: str
    bad: int
    share: float


@dataclass(frozen=True, slots=True)
class ServiceBudget:
    """Error budget of one service for one indicator."""

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
    """Entry VM whose counters do not cover windows of `window_s` or longer."""

    entry: str
    reason: str
    window_s: int


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Error budgets of all services."""

    budgets: tuple[ServiceBudget, ...]
    missing_history: tuple[MissingHistory, ...]
    missing: tuple[MissingResponse, ...]

    @property
    def has_alert(self) -> bool:
        """Return whether any budget has a fast or slow burn."""
        return any(budget.alert is not Alert.NONE for budget in self.budgets)


def burn_report(responses: list[BurnResponse], missing: tuple[MissingResponse, ...]) -> BurnReport:
    """Return the consumption of every error budget."""
    objectives: dict[str, ObjectiveModel] = {}
    for response in responses:
        for service in response.services:
            objectives.setdefault(service.service, service.objective)
    budgets: list[ServiceBudget] = []
    history_s = max((response.started_ms_ago for response in responses), default=0) / 1_000
    for service, objective in objectives.items():
        windows = _sum_windows(responses, service, objective)
        for promise in Promise:
            budgets.append(_budget(service, promise, objective, windows, history_s))
    periods = [objective.period_s for objective in objectives.values()]
    spans = sorted({FIVE_MINUTES_S, HOUR_S, SIX_HOURS_S, *periods})
    return BurnReport(tuple(budgets), tuple(_missing_history(responses, missing, spans)), missing)


def _sum_windows(
    responses: list[BurnResponse], service: str, objective: ObjectiveModel
) -> list[WindowModel]:
    sums: dict[int, WindowModel] = {}
    expected = (FIVE_MINUTES_S, HOUR_S, SIX_HOURS_S, objective.period_s)
    for response in responses:
        for counted in response.services:
            for window in counted.windows if counted.service == service else ():
                # Entry VMs with an older objective may still report a window of another period.
                if window.window_s in expected:
                    known = sums.get(window.window_s)
                    sums[window.window_s] = (
                        window if known is None else _merge_windows(known, window)
                    )
    return [sums[window_s] for window_s in sorted(sums)]


def _merge_windows(first: WindowModel, second: WindowModel) -> WindowModel:
    by_target, by_zone = dict(first.by_target), dict(first.by_zone)
    for merged, added in ((by_target, second.by_target), (by_zone, second.by_zone)):
        for name, counts in added.items():
            merged[name] = _add_counts(merged.get(name, CountsModel()), counts)
    total = _add_counts(first, second)
    return WindowModel(
        window_s=first.window_s, by_target=by_target, by_zone=by_zone, **total.model_dump()
    )


def _add_counts(first: CountsModel, second: CountsModel) -> CountsModel:
    return CountsModel(
        **{key: getattr(first, key) + getattr(second, key) for key in CountsModel.model_fields}
    )


def _total(promise: Promise, counts: CountsModel) -> int:
    match promise:
        case Promise.UNBROKEN:
            # Streams opened before the window can end within it, so more flows can have ended
            # than were opened.
            return max(counts.opened, counts.answered + counts.broken)
        case Promise.IN_TIME:
            return counts.answered + counts.refused


def _bad(promise: Promise, counts: CountsModel) -> int:
    match promise:
        case Promise.UNBROKEN:
            return counts.broken
        case Promise.IN_TIME:
            return max(0, counts.answered - counts.in_time) + counts.refused


def _budget(
    service: str,
    promise: Promise,
    objective: ObjectiveModel,
    windows: list[WindowModel],
    history_s: float,
) -> ServiceBudget:
    is_unbroken = promise is Promise.UNBROKEN
    share = objective.unbroken_share if is_unbroken else objective.in_time_share
    used = tuple(_window(promise, share, objective, window, history_s) for window in windows)
    with_bad = [window for window in windows if _bad(promise, window)]
    # The shortest window with bad flows shows the current problem best.
    chosen = with_bad[0] if with_bad else None
    return ServiceBudget(
        service=service,
        promise=promise,
        target_share=share,
        period_s=objective.period_s,
        windows=used,
        alert=_alert(used, objective.period_s),
        contributor_window_s=chosen.window_s if chosen else None,
        zone=_top_contributor(promise, chosen.by_zone) if chosen else None,
        target=_top_contributor(promise, chosen.by_target) if chosen else None,
    )


def _window(
    promise: Promise,
    share: float,
    objective: ObjectiveModel,
    counts: WindowModel,
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
    # Requiring the shorter window as well clears the alert soon after the fault is fixed.
    if min(rates.get(FIVE_MINUTES_S, 0), rates.get(HOUR_S, 0)) >= fast_rate:
        return Alert.FAST
    if min(rates.get(HOUR_S, 0), rates.get(SIX_HOURS_S, 0)) >= slow_rate:
        return Alert.SLOW
    return Alert.NONE


def _top_contributor(promise: Promise, counts: dict[str, CountsModel]) -> Contributor | None:
    bad = {name: _bad(promise, item) for name, item in counts.items()}
    total = sum(bad.values())
    if not total:
        return None
    name = max(sorted(bad), key=lambda key: bad[key])
    return Contributor(name, bad[name], bad[name] / total)


def _missing_history(
    responses: list[BurnResponse], missing: tuple[MissingResponse, ...], spans_s: Iterable[int]
) -> Iterator[MissingHistory]:
    spans = tuple(spans_s)
    for entry in missing:
        yield MissingHistory(entry.entry, entry.reason, spans[0])
    for response in sorted(responses, key=lambda item: item.name):
        uncovered = [span for span in spans if response.started_ms_ago < span * 1_000]
        if uncovered:
            reason = f"started {response.started_ms_ago // 1_000} s ago"
            yield MissingHistory(response.name, reason, uncovered[0])
