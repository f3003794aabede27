"""What each role costs by unit of work, and at the size that the users plan for.

``quaymill-bench experiment roles`` measures all parts, one after the other, in about five
minutes. ``python -m quaymill_bench.role_slopes_experiment PART --slopes FILE`` measures one part
into a file, and ``... size --slopes FILE`` works the tables out anew from it.
"""

from __future__ import annotations

import sys
from pathlib import Path

import defopt
import msgspec

from quaymill_bench.role_cluster import RoleCluster
from quaymill_bench.role_configuration import measure_configuration
from quaymill_bench.role_gateway import GatewaySlopes, measure_gateway
from quaymill_bench.role_limits import measure_limits
from quaymill_bench.role_load_reports import measure_load_reports
from quaymill_bench.role_log import LogMeasurement, LogSlopes
from quaymill_bench.role_scheduler import SchedulerSlopes, measure_scheduler
from quaymill_bench.role_size import SizeRow
from quaymill_bench.role_size_rows import size_rows
from quaymill_bench.role_slopes import RoleSlopes
from quaymill_bench.role_tables import render_size, render_slopes


class RoleResult(msgspec.Struct, frozen=True):
    """The slopes, and what follows from them at the users' size."""

    slopes: RoleSlopes
    rows: tuple[SizeRow, ...]


def run(out: Path | None = None, seed: int = 1) -> RoleResult:
    """Measure all parts; write the tables (Markdown) to ``out``, or to standard error."""
    slopes = RoleSlopes()
    for part in RoleSlopes.__struct_fields__:
        measure_part(slopes, part, seed)
        print(f"roles: {part} done", file=sys.stderr, flush=True)
    rows = size_rows(slopes)
    tables = f"{render_size(rows)}\n{render_slopes(slopes)}"
    if out is None:
        print(tables, file=sys.stderr)
    else:
        out.write_text(tables)
    return RoleResult(slopes, rows)


def measure_part(slopes: RoleSlopes, part: str, seed: int) -> None:
    """Measure one part and put it into ``slopes``."""
    match part:
        case "configuration":
            slopes.configuration = measure_configuration()
        case "limits":
            slopes.limits = measure_limits()
        case "load_reports":
            slopes.load_reports = measure_load_reports()
        case _:
            with RoleCluster() as cluster:
                setattr(slopes, part, _measure_in(cluster, part, seed))


def _measure_in(
    cluster: RoleCluster, part: str, seed: int
) -> LogSlopes | GatewaySlopes | SchedulerSlopes:
    match part:
        case "log":
            return LogMeasurement(cluster).run()
        case "gateway":
            return measure_gateway(cluster, seed)
        case "scheduler":
            return measure_scheduler(cluster)
    raise ValueError(f"no part {part!r}; use one of {', '.join(RoleSlopes.__struct_fields__)}")


def main(part: str, *, slopes: Path, seed: int = 1) -> None:
    """Measure one part into a file, or work the tables out from it.

    Parameters
    ----------
    part
        One of configuration, limits, load_reports, log, gateway, scheduler, size.
    slopes
        JSON file that keeps the slopes of all parts.
    seed
        Seed of the load.
    """
    measured = RoleSlopes()
    if slopes.exists():
        measured = msgspec.json.decode(slopes.read_bytes(), type=RoleSlopes)
    if part == "size":
        print(f"{render_size(size_rows(measured))}\n{render_slopes(measured)}")
        return
    measure_part(measured, part, seed)
    slopes.write_bytes(msgspec.json.encode(measured) + b"\n")


if __name__ == "__main__":
    defopt.run(main)
