"""What operators see of batch work: status notes and metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import msgspec
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from quaymill.version.status import StatusNote, StatusRows


class ReplicaBatch(msgspec.Struct, frozen=True):
    """Batch work at one replica.

    Attributes
    ----------
    running, allowed
        Items in service, and how many may be.
    reason
        What bounds them now, for a person.
    ended
        Items by how their run ended: finished, gave-way, not-started, broken.
    """

    replica: str
    service: str
    running: int
    allowed: int
    reason: str
    ended: dict[str, int]


def status_rows(replicas: Iterable[ReplicaBatch]) -> StatusRows:
    """Return one note for each replica that this node schedules."""
    return StatusRows(
        notes=tuple(
            StatusNote(
                f"batch/{one.service}/{one.replica}",
                f"{one.running} running, {one.allowed} allowed: {one.reason}",
            )
            for one in replicas
        )
    )


class BatchCollector(Collector):
    """Metrics of the batch schedulers, read when they are asked for.

    Parameters
    ----------
    replicas
        Returns what each scheduler does now.
    leases_held
        Returns how many leases this node holds.
    """

    def __init__(
        self,
        replicas: Callable[[], Iterable[ReplicaBatch]],
        leases_held: Callable[[], int],
    ) -> None:
        self._replicas = replicas
        self._leases_held = leases_held

    def collect(self) -> Iterator[GaugeMetricFamily | CounterMetricFamily]:
        """Yield the metrics of this moment."""
        labels = ("replica", "service")
        running = GaugeMetricFamily(
            "quaymill_batch_running", "Batch items in service", labels=labels
        )
        allowed = GaugeMetricFamily(
            "quaymill_batch_allowed", "Batch items that may be in service", labels=labels
        )
        ended = CounterMetricFamily(
            "quaymill_batch_runs", "Ended runs of batch items", labels=(*labels, "outcome")
        )
        for one in self._replicas():
            running.add_metric((one.replica, one.service), one.running)
            allowed.add_metric((one.replica, one.service), one.allowed)
            for outcome, count in one.ended.items():
                ended.add_metric((one.replica, one.service, outcome), count)
        held = GaugeMetricFamily("quaymill_batch_leases", "Leases held by this node")
        held.add_metric((), self._leases_held())
        yield from (running, allowed, ended, held)
