"""Gauges that a gateway shows: what each means, and how it is read."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

import attrs
from prometheus_client import CollectorRegistry, Gauge
from prometheus_client.core import GaugeMetricFamily

from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.table import ReplicaTable

PREFIX = "quaymill_"
MEANINGS = {
    "configuration_version": "Version of the configuration in force.",
    "control_age_seconds": "How long ago configuration and replicas were known to be the newest.",
    "requests_in_service": "Requests of callers in service.",
    "requests_held": "Requests that wait for a free slot of an engine.",
    "request_body_bytes": "Size of the bodies of forwarded requests in service.",
    "answer_bytes_held": "Parts of answers that callers have not taken yet.",
    "answers_ended": "Answers ended since the start, since their callers read too slowly.",
    "line_tenants": "Tenants that have requests in the lines kept here.",
    "line_refused": "Requests refused since they could not be served in time, since the start.",
    "batch_items_running": "Batch items in service.",
    "batch_jobs_open": "Batch jobs coordinated here.",
    "requests_barred": "Requests that are refused, since replicas crashed under them.",
    "requests_suspected": "Requests under which fewer replicas crashed.",
    "storage_nodes": "Live storage nodes.",
    "gateways": "Live gateways.",
    "zones_unreachable": "Zones that this process cannot reach.",
    "replica_connections_opened": "Connections opened to replicas since the start.",
    "store_calls": "Calls of the platform's store since the start.",
    "store_calls_saved": "Calls of the store not made since the start, while it was away.",
    "store_circuit_open": "1 while calls of the store are held back, since it does not answer.",
    "log_lines_dropped": "Log lines left out since the start.",
}
REPLICA_STATES: dict[str, Callable[[Replica], bool]] = {
    "listed": lambda replica: replica.departed_at is None,
    "leaving": lambda replica: replica.departed_at is None and replica.leaving,
    "ejected": lambda replica: replica.departed_at is None and replica.ejected,
}


def add_gauges(registry: CollectorRegistry, readings: Mapping[str, Callable[[], float]]) -> None:
    """Add a gauge for each reading; each has its meaning in ``MEANINGS``."""
    for name, read in readings.items():
        Gauge(f"{PREFIX}{name}", MEANINGS[name], registry=registry).set_function(read)


@attrs.frozen
class _LineCollector:
    """Reads the lines kept here whenever metrics are read."""

    lengths: Callable[[], Mapping[EnginePool, int]]

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Return one gauge for all pools."""
        meaning = "Requests of all gateways that wait in the lines kept here, by pool."
        family = GaugeMetricFamily(f"{PREFIX}line_requests", meaning, labels=("service", "pool"))
        for pool, length in self.lengths().items():
            family.add_metric((pool.service, str(pool.index)), length)
        yield family


def add_line_gauge(
    registry: CollectorRegistry, lengths: Callable[[], Mapping[EnginePool, int]]
) -> None:
    """Add the number of requests that wait in line, by pool."""
    registry.register(_LineCollector(lengths))


def add_replica_gauge(registry: CollectorRegistry, table: ReplicaTable) -> None:
    """Add the number of replicas by state."""
    gauge = Gauge(f"{PREFIX}replicas", "Replicas by state.", ("state",), registry=registry)
    for state, is_in_state in REPLICA_STATES.items():
        gauge.labels(state).set_function(lambda wanted=is_in_state: table.count(wanted))
