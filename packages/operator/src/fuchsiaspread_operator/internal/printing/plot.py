"""HTML page with a plot of the error budgets."""

import plotly.graph_objects as go

from ..decide.budget import BurnReport
from .text import duration


def burn_page(report: BurnReport) -> str:
    """Return a self-contained page with one bar for each budget and window."""
    figure = go.Figure()
    spans = sorted({window.window_s for budget in report.budgets for window in budget.windows})
    for span in spans:
        shares = {
            f"{budget.service}, {budget.promise.value}": window.budget_gone * 100
            for budget in report.budgets
            for window in budget.windows
            if window.window_s == span
        }
        name = f"last {duration(span * 1_000)}"
        figure.add_bar(name=name, x=list(shares), y=list(shares.values()))
    figure.add_hline(y=100, line_dash="dash", annotation_text="budget exhausted")
    figure.update_layout(
        title="Error budget consumed, in percent of the period's budget",
        yaxis_title="percent",
        yaxis_type="linear",
        barmode="group",
    )
    return figure.to_html(full_html=True, include_plotlyjs=True)
