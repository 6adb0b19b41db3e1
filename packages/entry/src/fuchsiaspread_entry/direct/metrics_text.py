"""Counters in the Prometheus text format."""

from collections import Counter
from collections.abc import Iterator

from fuchsiaspread_core.identifiers import ServiceName
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from .direct_counts import BUCKET_BOUNDS_MS, DirectCounts, Histogram

MS_PER_SECOND = 1000
# Help texts of the counters, by metric; `DirectCounts` names its fields alike.
COUNTERS_BY_REASON = {
    "opens_refused": "Opens answered with a reset.",
    "flows_reset": "Open flows reset to their callers.",
    "packets_dropped": "Packets dropped.",
    "requests_unanswered": "Requests without an answer.",
    "events_failed": "Events lost by an unexpected error, by type.",
}
TOTALS = {
    "requests_repeated": "Packets that callers repeated.",
    "packets_unrouted": "Packets forwarded by their cookie without a known route.",
    "targets_suspected": "Targets that did not answer an open in time.",
    "targets_unreachable": "Targets found out of reach.",
    "zones_lost": "Zones found out of reach.",
    "pauses": "Times that the process stood still.",
}


def metrics_text(counts: DirectCounts, now_ms: int) -> bytes:
    """Return all metrics."""
    registry = CollectorRegistry()
    registry.register(_Counts(counts, now_ms))
    return generate_latest(registry)


class _Counts(Collector):
    def __init__(self, counts: DirectCounts, now_ms: int) -> None:
        self._counts = counts
        self._now_ms = now_ms

    def collect(self) -> Iterator[Metric]:
        """Return each metric with its samples."""
        counts = self._counts
        yield self._opens()
        for name, text in COUNTERS_BY_REASON.items():
            yield _by_reason(name, text, getattr(counts, name))
        for name, text in TOTALS.items():
            yield _total(name, text, getattr(counts, name))
        yield _gauge("flows_recorded", "Flow records held.", counts.flow_count)
        yield _gauge("ready", "1 while this VM takes packets.", int(counts.is_ready))
        if counts.store_answered_ms is not None:
            age_s = (self._now_ms - counts.store_answered_ms) / MS_PER_SECOND
            yield _gauge("store_age_seconds", "Time since the store's last answer.", age_s)
        yield _by_service(
            "open_answer", "Time from an open to its caller's next packet.", counts.answer_times
        )
        yield _by_service(
            "request", "Time from a request to the first acknowledged answer.", counts.request_times
        )
        lags = HistogramMetricFamily(
            "fuchsiaspread_timer_lag_seconds", "How late the event loop ran a timer."
        )
        lags.add_metric([], *_buckets(counts.timer_lags))
        yield lags

    def _opens(self) -> Metric:
        family = CounterMetricFamily(
            "fuchsiaspread_opens_placed", "Opens sent to a target.", labels=["service", "retry"]
        )
        for (service, is_retry), count in self._counts.opens_placed.items():
            family.add_metric([service, str(is_retry).lower()], count)
        return family


def _by_service(name: str, text: str, times: dict[ServiceName, Histogram]) -> Metric:
    family = HistogramMetricFamily(f"fuchsiaspread_{name}_seconds", text, labels=["service"])
    for service, histogram in times.items():
        family.add_metric([service], *_buckets(histogram))
    return family


def _by_reason(name: str, text: str, counts: Counter[str]) -> Metric:
    family = CounterMetricFamily(f"fuchsiaspread_{name}", text, labels=["reason"])
    for reason, count in counts.items():
        family.add_metric([str(reason)], count)
    return family


def _total(name: str, text: str, count: int) -> Metric:
    return CounterMetricFamily(f"fuchsiaspread_{name}", text, value=count)


def _gauge(name: str, text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"fuchsiaspread_{name}", text, value=value)


def _buckets(histogram: Histogram) -> tuple[list[tuple[str, float]], float]:
    bounds = [str(bound / MS_PER_SECOND) for bound in BUCKET_BOUNDS_MS] + ["+Inf"]
    below, buckets = 0, []
    for bound, count in zip(bounds, histogram.counts, strict=True):
        below += count
        buckets.append((bound, float(below)))
    return buckets, histogram.sum_ms / MS_PER_SECOND
