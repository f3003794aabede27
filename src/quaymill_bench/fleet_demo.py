"""A small fleet on the users' platform, end to end: requests, a stream, a batch job, a kill.

Run it with ``make demo-platform``.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

from quaymill_bench.fleet_processes import FleetProcess, LocalFleet, wait_until

JOB = "demo-job"
ITEMS = 8


def main() -> int:
    """Run the demo; return 0 if everything worked."""
    with tempfile.TemporaryDirectory(prefix="quaymill-demo-") as folder:
        fleet = LocalFleet(Path(folder))
        try:
            fleet.start()
            _show(fleet)
        finally:
            fleet.stop()
    return 0


def _show(fleet: LocalFleet) -> None:
    print(f"{len(fleet.gateways)} gateways, {len(fleet.storage_nodes)} storage nodes, ready")
    first, second, *_ = fleet.gateways
    _ask(fleet, first, "read", {})
    _ask(fleet, second, "stream", {"Token-Count": "50,10"})
    print(f"job {JOB} at {first.name}: {fleet.submit(first, JOB, ITEMS).status}")
    first.kill()
    print(f"{first.name} was killed; its job goes on elsewhere")
    results = wait_until(lambda: _results(fleet, second), "all results")
    print(f"{len(results)} of {ITEMS} results at {second.name}: {results[0]['message']!r} ...")


def _ask(fleet: LocalFleet, gateway: FleetProcess, kind: str, headers: dict[str, str]) -> None:
    answer = fleet.call(
        gateway, "POST", f"/{kind}/x", b"", {"Request-Id": f"demo-{kind}"} | headers
    )
    print(f"{kind} at {gateway.name}: {answer.status} {answer.data!r}")


def _results(fleet: LocalFleet, gateway: FleetProcess) -> list[dict] | None:
    answer = fleet.call(gateway, "GET", f"/v1/lots/{JOB}?since_rev=0")
    if answer.status != 200:
        return None
    results = json.loads(answer.data)["results"]
    return results if len(results) == ITEMS else None


if __name__ == "__main__":
    sys.exit(main())
