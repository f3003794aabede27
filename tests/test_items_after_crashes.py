"""An accepted item is run again however many replicas crashed while they ran it.

Guards against a sound item that is never placed again after several replicas crashed under it.
"""

from __future__ import annotations

import itertools
import json
import tempfile
import time
import unittest
from pathlib import Path

import urllib3
from nose2.tools import params

from quaymill_bench.fleet_processes import FleetProcess, LocalFleet, wait_until
from quaymill_bench.fleet_world import ZONES, item_id, whole_text
from quaymill_bench.replica_process import ReplicaProcess

CRASHES = 3
"""Crashes after which a request of a caller is refused."""
EVENT_S = 0.5
"""Longer than it takes to see that an item runs, so that its replica is killed before an event."""
DONE_WITHIN_S = 10.0
CRASHES_KNOWN_S = 2.0
"""Time after which all gateways and the store know of the crashes."""
ADOPTED_WITHIN_S = 10.0
"""Additional time if the job needs another coordinator."""


class CrashedItemTest(unittest.TestCase):
    """Replicas are killed by their process ids, one after another, while they run an item."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="quaymill-items-")
        self.addCleanup(folder.cleanup)
        self.fleet = LocalFleet(Path(folder.name) / "fleet", gateways=2, engines=0)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.first, self.second = self.fleet.gateways
        self._numbers = itertools.count()

    def start_replica(self) -> ReplicaProcess:
        replica = ReplicaProcess.start(
            f"replica-{next(self._numbers)}", "engine", ZONES[0], EVENT_S
        )
        self.addCleanup(replica.kill)
        self.fleet.store.put("servers", replica.id, replica.entry)
        return replica

    def crash_under_item(self) -> None:
        """Start a replica, and kill it once it runs the item."""
        replica = self.start_replica()
        wait_until(replica.running, f"{replica.id} runs the item")
        replica.kill()
        self.fleet.store.remove("servers", replica.id)

    def results(self, gateway: FleetProcess, job_id: str) -> list[dict[str, str]]:
        try:
            answer = self.fleet.call(gateway, "GET", f"/v1/lots/{job_id}?since_rev=0")
        except urllib3.exceptions.HTTPError:
            return []
        return json.loads(answer.data)["results"] if answer.status == 200 else []

    def restart(self, *processes: FleetProcess) -> None:
        for process in processes:
            process.kill()
        for process in processes:
            process.start()
        self.fleet.wait_ready()

    @params("same coordinator", "another coordinator", "all processes restarted")
    def test_item_is_done_soon_after_replicas_crashed_under_it(self, where: str) -> None:
        self.assertEqual(202, self.fleet.submit(self.first, "job", 1).status)
        for _ in range(CRASHES):
            self.crash_under_item()
        time.sleep(CRASHES_KNOWN_S)
        within_s = DONE_WITHIN_S
        if where == "another coordinator":
            self.first.kill()
            within_s += ADOPTED_WITHIN_S
        elif where == "all processes restarted":
            self.restart(*self.fleet.processes.values())
            within_s += ADOPTED_WITHIN_S
        self.start_replica()
        found = wait_until(
            lambda: self.results(self.second, "job"), "the item is done", timeout_s=within_s
        )
        name = item_id("job", 0)
        self.assertEqual([(name, whole_text(name))], [(one["id"], one["message"]) for one in found])
