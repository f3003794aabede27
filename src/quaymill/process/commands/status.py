"""``quaymill status``: what the system says, beside the cells of the configuration."""

from __future__ import annotations

import time

import msgspec

from quaymill.connection.platform_client import STATUS_NAME, STATUSES, PlatformClient
from quaymill.connection.platform_objects import NotFound, PlatformObject
from quaymill.process.commands.platform_option import EXIT_OK, connect_platform, fail
from quaymill.process.configuration.editor import ConfigurationEditor, StoredTable
from quaymill.version.cells import format_value, rows_of
from quaymill.version.configuration import ServingConfiguration
from quaymill.version.status import ReplicaStatus, ServingStatus
from quaymill.version.table import render_table

ROUTE_CELLS = ("weight", "online_limit", "batch_limit")
REPLICA_COLUMNS = ("live", "draining", "ejected", "running", "waiting", "slots")


def status(*, platform: str = "") -> int:
    """Show the status that the nodes report, beside the cells.

    Parameters
    ----------
    platform
        HOST:PORT of the platform's object API.
    """
    client = connect_platform(platform)
    written = read_status(client)
    if isinstance(written, str):
        fail(written)
    stored = ConfigurationEditor(client).read()
    print(render_status(written, stored.configuration if isinstance(stored, StoredTable) else None))
    if not isinstance(stored, StoredTable):
        print(f"\nthe stored configuration cannot be shown: {stored}")
    return EXIT_OK


def read_status(client: PlatformClient) -> ServingStatus | str:
    """Return the written status, or why there is none."""
    result = client.get(STATUSES, STATUS_NAME)
    if isinstance(result, NotFound):
        return "no node has written a status yet; start a node, or wait a few seconds"
    if not isinstance(result, PlatformObject):
        return f"the status cannot be read: {result.reason}; ask a node for GET /status instead"
    try:
        return msgspec.json.decode(bytes(result.spec), type=ServingStatus)
    except msgspec.MsgspecError as error:
        return f"the status cannot be understood: {error}; bring this command up to date"


def render_status(written: ServingStatus, configuration: ServingConfiguration | None) -> str:
    """Return the status for a terminal."""
    live = sum(zone.live for zone in written.zones)
    current = sum(zone.current for zone in written.zones)
    parts = [
        f"generation {written.generation} in force on {current} of {live} nodes "
        f"(written by {written.writer} {max(time.time() - written.written_unix_s, 0):.0f} s ago)"
    ]
    routes = list(_route_rows(written, configuration))
    if routes:
        header = ("service", "zone_group", *ROUTE_CELLS, *REPLICA_COLUMNS)
        parts.append("routes\n" + render_table(header, routes))
    zones = [
        (zone.zone, *map(str, (zone.live, zone.draining, zone.dead, zone.current)))
        for zone in written.zones
    ]
    parts.append("zones\n" + render_table(("zone", "live", "draining", "dead", "current"), zones))
    nodes = [
        (node.name, node.zone, str(node.state), str(node.generation)) for node in written.nodes
    ]
    if nodes:
        parts.append("nodes\n" + render_table(("node", "zone", "state", "generation"), nodes))
    if written.notes:
        parts.append(
            "notes\n" + "\n".join(f"{note.subject}: {note.text}" for note in written.notes)
        )
    if written.problems:
        lines = (
            f"{problem.subject}: {problem.reason}; {problem.remedy} (reported by {problem.source})"
            for problem in written.problems
        )
        parts.append("problems\n" + "\n".join(lines))
    return "\n\n".join(parts)


def _route_rows(
    written: ServingStatus, configuration: ServingConfiguration | None
) -> list[tuple[str, ...]]:
    """Return the cells of each route with the replicas' state; either may be missing."""
    cells = {}
    if configuration is not None:
        for names, route in rows_of(configuration, "routes"):
            cells[names] = tuple(format_value(getattr(route, column)) for column in ROUTE_CELLS)
    replicas = {(row.service, row.zone_group): _replica_cells(row) for row in written.replicas}
    no_cells = ("-",) * len(ROUTE_CELLS)
    no_replicas = ("-",) * len(REPLICA_COLUMNS)
    return [
        (*names, *cells.get(names, no_cells), *replicas.get(names, no_replicas))
        for names in sorted({*cells, *replicas})
    ]


def _replica_cells(row: ReplicaStatus) -> tuple[str, ...]:
    return tuple(str(getattr(row, column)) for column in REPLICA_COLUMNS)
