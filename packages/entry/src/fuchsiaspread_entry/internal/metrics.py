"""Metrics of the daemon in the Prometheus text format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import Counter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from .counts import CountKey, Counts, Metric

# Services and reasons result in a few dozen series; the limit keeps a large configuration from
# filling the memory of the daemon and of the monitoring system.
MAX_SERIES = 2000
OVERFLOW_ATTRIBUTES = {"overflow": "true"}

UNITS = {
    Metric.PACKETS_RECEIVED: "{packet}",
    Metric.PACKETS_SENT: "{packet}",
    Metric.PACKETS_DROPPED: "{packet}",
    Metric.PEER_MESSAGES_DROPPED: "{message}",
    Metric.PEER_IO: "By",
    Metric.FLOWS_OPENED: "{flow}",
    Metric.FLOWS_ENDED: "{flow}",
    Metric.FLOWS_RECOVERED: "{flow}",
    Metric.OPENS_REFUSED: "{open}",
    Metric.OPENS_RETRIED: "{open}",
    Metric.TARGETS_EJECTED: "{target}",
    Metric.RECORDS_HANDED_OVER: "{transfer}",
    Metric.CONFIGURATIONS: "{configuration}",
    Metric.PART_CONFLICTS: "{conflict}",
    Metric.MEMBER_CHANGES: "{change}",
    Metric.EVENTS_FAILED: "{event}",
    Metric.STALE_VIEWS: "{change}",
}
DESCRIPTIONS = {
    Metric.PACKETS_RECEIVED: "Datagrams received from fabric and targets.",
    Metric.PACKETS_SENT: "Datagrams sent to fabric and targets.",
    Metric.PACKETS_DROPPED: "Packets dropped, by reason.",
    Metric.PEER_MESSAGES_DROPPED: "Messages of other entry VMs dropped, by reason.",
    Metric.PEER_IO: "Bytes of datagrams exchanged with other entry VMs.",
    Metric.FLOWS_OPENED: "Flows that a target accepted.",
    Metric.FLOWS_ENDED: "Flows that ended, by the way they ended.",
    Metric.FLOWS_RECOVERED: "Flows whose target was found by asking the targets.",
    Metric.OPENS_REFUSED: "Opens answered with a reset as not run, by reason.",
    Metric.OPENS_RETRIED: "Opens given to another target.",
    Metric.TARGETS_EJECTED: "Ejections of targets that failed.",
    Metric.RECORDS_HANDED_OVER: "Transfers of flow records to another entry VM.",
    Metric.CONFIGURATIONS: "Configurations applied or refused.",
    Metric.PART_CONFLICTS: "Parts with other content at an index that is already held.",
    Metric.MEMBER_CHANGES: "Changes of other entry VMs' states.",
    Metric.EVENTS_FAILED: "Events dropped because of a fault of the daemon.",
    Metric.STALE_VIEWS: "Times that the view became stale or fresh.",
}


class Metrics:
    """Hold the OpenTelemetry instruments; owned by the admin task."""

    def __init__(self, name: str, zone: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(scope_info_enabled=False, registry=self._registry)
        resource = Resource.create(
            {
                "service.name": "fuchsiaspread-entry",
                "service.instance.id": name,
                "cloud.availability_zone": zone,
            }
        )
        self._provider = MeterProvider([reader], resource=resource, shutdown_on_exit=False)
        meter = self._provider.get_meter("fuchsiaspread_entry")
        self._counters: dict[Metric, Counter] = {
            metric: meter.create_counter(str(metric), UNITS[metric], DESCRIPTIONS[metric])
            for metric in Metric
        }
        self._series: set[CountKey] = set()
        self._open_flows = 0
        self._queued_opens = 0
        meter.create_observable_gauge(
            "fuchsiaspread.flows.open", [self._observe_flows], "{flow}", "Flow records held."
        )
        meter.create_observable_gauge(
            "fuchsiaspread.opens.queued",
            [self._observe_queue],
            "{open}",
            "Opens that wait.",
        )

    def add(self, counts: Counts) -> None:
        """Add the counts that a task has reported."""
        for key, count in counts.items():
            counter = self._counters[key.metric]
            if key in self._series:
                counter.add(count, dict(key.attributes))
            elif len(self._series) < MAX_SERIES:
                self._series.add(key)
                counter.add(count, dict(key.attributes))
            else:
                counter.add(count, OVERFLOW_ATTRIBUTES)

    def set_gauges(self, open_flows: int, queued_opens: int) -> None:
        """Set the values of the gauges."""
        self._open_flows, self._queued_opens = open_flows, queued_opens

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the instruments."""
        self._provider.shutdown()

    def _observe_flows(self, _: CallbackOptions) -> list[Observation]:
        return [Observation(self._open_flows)]

    def _observe_queue(self, _: CallbackOptions) -> list[Observation]:
        return [Observation(self._queued_opens)]
