"""Gauges of a gateway with their help texts."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

import attrs
from prometheus_client import CollectorRegistry, Gauge
from prometheus_client.core import GaugeMetricFamily

from quaymill.connection.bounded_reader import AnswerPart
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.process.jobs.engine_pool import EnginePool
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.table import ReplicaTable

PREFIX = "quaymill_"
HELP_TEXTS = {
    "configuration_version": "Version of the configuration in force.",
    "control_age_seconds": "Seconds since the configuration and replicas were last confirmed.",
    "requests_in_service": "Requests of callers in service.",
    "requests_held": "Requests that wait for a free engine slot.",
    "requests_to_other_region": "Requests sent to replicas of another region since the start.",
    "batch_items_to_other_region": "Batch items sent to another region since the start.",
    "request_body_bytes": "Bytes in the bodies of forwarded requests in service.",
    "answer_bytes_held": "Bytes of answers that are buffered until callers read them.",
    "connections_closed_unread": "New connections that were closed unread, as they could not be"
    " read soon.",
    "answers_ended": "Answers aborted since the start because their callers read too slowly.",
    "line_tenants": "Tenants with requests in this gateway's pool queues.",
    "line_refused": "Requests refused since the start because they could not be served in time.",
    "batch_items_running": "Batch items in service.",
    "batch_jobs_open": "Batch jobs coordinated by this gateway.",
    "requests_barred": "Request contents blocked after crashing replicas.",
    "requests_suspected": "Request contents that crashed replicas, but too few to be blocked.",
    "stream_records": "Streams whose software version is recorded here.",
    "storage_nodes": "Live storage nodes.",
    "gateways": "Live gateways.",
    "zones_evacuated": "Zones to whose replicas no new requests may be sent.",
    "zones_unreachable": "Zones that this process cannot reach.",
    "replica_connections_opened": "Connections to replicas opened since the start.",
    "store_calls": "Calls to the platform's store since the start.",
    "store_calls_saved": "Calls to the store skipped since the start while it was unavailable.",
    "store_circuit_open": "1 while calls to the store are suspended because it does not answer.",
    "cold_grants": "Requests granted to cold replicas by this gateway since the start.",
    "log_lines_dropped": "Log lines dropped since the start.",
}
REPLICA_STATES: dict[str, Callable[[Replica], bool]] = {
    "listed": lambda replica: replica.departed_at is None,
    "presumed": lambda replica: replica.departed_at is None and replica.presumed,
    "leaving": lambda replica: replica.departed_at is None and replica.departing,
    "evacuated": lambda replica: replica.departed_at is None and replica.evacuated,
    "ejected": lambda replica: replica.departed_at is None and replica.ejected,
    "cold": lambda replica: replica.departed_at is None and replica.cold,
}


def add_gauges(registry: CollectorRegistry, readings: Mapping[str, Callable[[], float]]) -> None:
    """Add a gauge for each reading, with its help text from ``HELP_TEXTS``."""
    for name, read in readings.items():
        Gauge(f"{PREFIX}{name}", HELP_TEXTS[name], registry=registry).set_function(read)


@attrs.frozen
class _QueueCollector:
    """Reads the lengths of this gateway's pool queues whenever metrics are read."""

    lengths: Callable[[], Mapping[EnginePool, int]]

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Return a gauge family with one sample for each pool."""
        help_text = "Requests of all gateways in this gateway's pool queues, by pool."
        family = GaugeMetricFamily(f"{PREFIX}line_requests", help_text, labels=("service", "pool"))
        for pool, length in self.lengths().items():
            family.add_metric((pool.service, pool.label), length)
        yield family


def add_queue_gauge(
    registry: CollectorRegistry, lengths: Callable[[], Mapping[EnginePool, int]]
) -> None:
    """Add the number of queued requests by pool."""
    registry.register(_QueueCollector(lengths))


def add_endless_gauge(registry: CollectorRegistry, connections: ReplicaConnections) -> None:
    """Add the number of answers of replicas that did not end, by the part that did not."""
    gauge = Gauge(
        f"{PREFIX}endless_answers",
        "Answers of replicas given up since the start because a part of them did not end.",
        ("part",),
        registry=registry,
    )
    for part in AnswerPart:
        gauge.labels(part.value).set_function(lambda p=part: connections.endless_by_part[p])


def add_replica_gauge(registry: CollectorRegistry, table: ReplicaTable) -> None:
    """Add the number of replicas by state."""
    gauge = Gauge(f"{PREFIX}replicas", "Replicas by state.", ("state",), registry=registry)
    for state, is_in_state in REPLICA_STATES.items():
        gauge.labels(state).set_function(lambda wanted=is_in_state: table.count(wanted))
