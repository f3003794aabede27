"""Zone evacuation, cold replicas and regions in one fleet: what one feature leaves to the other."""

from __future__ import annotations

from fleet_rig import FleetRig, wait_until
from quaymill.process.serving_settings import Bounds
from test_cold_fleet import ROUTES, ColdFleetCase, cold_configuration

EVACUATIONS = "evacuations"
BOUNDS = Bounds(
    leave_s=0.3,
    grace_s=6.0,
    evacuation_ms=5000.0,
    cold_rate_factor=1.5,
    cold_rate_slack=5.0,
)


class EvacuationEndTest(ColdFleetCase):
    """The evacuation of a zone ends while all gateways send requests."""

    SETTINGS_BOUNDS = BOUNDS

    def test_replicas_get_no_burst_at_the_end(self) -> None:
        """Guards against gateways that all choose the idle replicas of a released zone."""
        self.wait_until_an_allocator_may_grant()
        engine = next(one for one in self.engines if one.zone == "zone-b")
        self.rig.store.put(EVACUATIONS, "zone-b", {})
        self.wait_for_gateways(lambda one: one.evacuations.zones == {"zone-b"}, "evacuated")
        self.start_callers()
        wait_until(lambda: len(self.statuses) > 50, "the other zone serves")
        runs = len(engine.runs)
        self.rig.store.remove(EVACUATIONS, "zone-b")
        self.wait_for_gateways(
            lambda one: not one.evacuations.zones and self.is_cold(one, engine),
            "the zone is released, and its replicas count as cold",
        )
        wait_until(lambda: len(engine.runs) > runs + 5, "the zone serves again")
        self.assert_within_bound(engine, engine.runs[runs].started_s)


class RegionEvacuationTest(ColdFleetCase):
    """All zones of a region are evacuated."""

    def setUp(self) -> None:
        self.rig = FleetRig(
            2,
            0,
            2,
            ("zone-a", "zone-b"),
            bounds=BOUNDS,
            zone_regions={"zone-a": "west", "zone-b": "east"},
        ).start()
        self.addCleanup(self.rig.stop)
        self.rig.store.put("config", "main", cold_configuration(2, ROUTES))
        self.wait_for_gateways(lambda one: one.control.routes.version == 2, "routes are known")

    def test_the_other_region_serves(self) -> None:
        """Guards against requests that are refused although the other region has replicas."""
        engines = self.rig.of_service("engine")
        self.rig.store.put(EVACUATIONS, "zone-a", {})
        self.wait_for_gateways(lambda one: one.evacuations.zones == {"zone-a"}, "evacuated")
        self.wait_for_gateways(
            lambda one: not any(replica.cold for replica in one._table.replicas()), "warm"
        )
        before = {engine.id: len(engine.runs) for engine in engines}
        for gateway in self.rig.gateways:
            for number in range(5):
                self.assertEqual(200, self.ask(gateway, f"{gateway}-{number}").status)
        after = {engine.zone: len(engine.runs) - before[engine.id] for engine in engines}
        self.assertEqual({"zone-a": 0, "zone-b": 10}, after)
