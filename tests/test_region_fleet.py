"""A fleet in two regions with real sockets.

Guards against parts of a gateway that do not use the regions of its settings.
"""

from __future__ import annotations

import unittest

from fleet_rig import FleetRig, wait_until
from quaymill.process.jobs.engine_pool import pools_of

ZONE_REGIONS = {"zone-a": "one", "zone-b": "two"}
ITEMS = 6


class RegionFleetTest(unittest.TestCase):
    """One gateway and one engine in each region."""

    def setUp(self) -> None:
        self.rig = FleetRig(zones=tuple(ZONE_REGIONS), zone_regions=ZONE_REGIONS).start()
        self.addCleanup(self.rig.stop)

    def replica_of(self, request_id: str) -> str:
        """Send a streaming request to ``gateway-0``; return the zone of the replica that ran it."""
        answer = self.rig.ask("gateway-0", "/stream/x", request_id, tokens=True)
        self.assertEqual(200, answer.status)
        (zone,) = [
            replica.zone
            for replica in self.rig.replicas.values()
            for run in replica.runs
            if run.request_id == request_id
        ]
        return zone

    def test_requests_stay_in_their_region_until_it_has_no_replica(self) -> None:
        self.assertEqual({"zone-a"}, {self.replica_of(f"r-{index}") for index in range(5)})
        gateway = self.rig.gateways["gateway-0"]
        pools = pools_of("engine", gateway._table)
        self.assertEqual(["one", "two"], [pool.region for pool in pools])
        self.assertEqual(0, gateway._online_reporter.sent_to_other_region)
        near = next(one for one in self.rig.of_service("engine") if one.zone == "zone-a")
        self.rig.store.remove("servers", near.id)
        wait_until(
            lambda: all(one.id != near.id for one in gateway._table.entries()),
            "the replica is no longer listed",
        )
        self.assertEqual("zone-b", self.replica_of("moved"))
        self.assertEqual(1, gateway._online_reporter.sent_to_other_region)

    def test_a_job_is_finished_by_the_replicas_of_the_other_region(self) -> None:
        gateway = self.rig.gateways["gateway-0"]
        near = next(one for one in self.rig.of_service("engine") if one.zone == "zone-a")
        self.rig.store.remove("servers", near.id)
        wait_until(
            lambda: all(one.id != near.id for one in gateway._table.entries()),
            "the replica is no longer listed",
        )
        self.assertIs(gateway.regions, gateway.coordinator._dispatcher._parts.regions)
        self.assertEqual(202, self.rig.submit("gateway-0", "job", ITEMS).status)
        self.assertEqual(ITEMS, len(self.rig.wait_results("gateway-0", "job", ITEMS)))


if __name__ == "__main__":
    unittest.main()
