"""Rows of the status document about the replicas as known to this node."""

from __future__ import annotations

from collections.abc import Iterable

from quaymill.process.replicas.load_view import LoadView
from quaymill.process.replicas.replica import ReplicaView
from quaymill.version.configuration import ServingConfiguration
from quaymill.version.status import ReplicaStatus, StatusRows


def replica_rows(load_view: LoadView, configuration: ServingConfiguration) -> StatusRows:
    """Return a row for each configured service and zone group."""
    rows = []
    for service, groups in configuration.routes.items():
        views = load_view.replicas(service)
        for group in groups:
            zones = configuration.zone_groups[group].zones
            rows.append(_row(service, group, [v for v in views if v.machine.zone in zones]))
    return StatusRows(replicas=tuple(rows))


def _row(service: str, zone_group: str, views: Iterable[ReplicaView]) -> ReplicaStatus:
    draining = [view for view in views if view.draining]
    not_draining = [view for view in views if not view.draining]
    reports = [report for view in views if (report := view.report()) and report.reachable]
    return ReplicaStatus(
        service=service,
        zone_group=zone_group,
        live=sum(1 for view in not_draining if view.reachable and not view.ejected),
        draining=len(draining),
        ejected=sum(1 for view in not_draining if view.ejected),
        running=sum(report.running for report in reports),
        waiting=sum(report.waiting for report in reports),
        slots=sum(report.slots for report in reports),
    )
