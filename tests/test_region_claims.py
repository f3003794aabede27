"""Slot claims of a coordinator where there are two regions.

Guards against batch items that cross regions although their own has slots, that take slots from the
other region's items without being urgent, or that wait for an allocator behind a cut link.
"""

from __future__ import annotations

import unittest
from unittest import mock

from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import Job, JobDocument, JobItem
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.connection.slot_messages import ClaimSlots, ItemsAt, SlotsGranted
from quaymill.process.jobs.coordinated_job import CoordinatedJob
from quaymill.process.jobs.item_dispatcher import (
    NOT_URGENT_DUE_S,
    DispatcherParts,
    ItemDispatcher,
)
from quaymill.process.jobs.slot_claims import AVOID_ALLOCATOR_S
from quaymill.process.regions import ONE_REGION, RegionMap
from quaymill.process.replica_set.table import ReplicaTable
from quaymill.version.request_routes import RequestRoute, RouteKind, WeightedService

SERVICE = "engine"
ITEMS = 4
DUE_S = 18.0
ROUTE = RequestRoute(
    "jobs", "h", "/", RouteKind.BATCH, (WeightedService(SERVICE, 1.0),), 9.0, 0.4, due_s=DUE_S
)


class RegionClaimsTest(unittest.TestCase):
    """A coordinator in region ``a`` with four waiting items."""

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.claims: list[ClaimSlots] = []
        self.free_by_region = {"": 0, "a": 0, "b": 0}
        self.unresponsive: set[str] = set()

    def answer(self, claim: ClaimSlots) -> SlotsGranted | None:
        self.claims.append(claim)
        region = claim.region or ""
        if region in self.unresponsive:
            return None
        wanted = sum(one.items for one in claim.wanted)
        granted = min(wanted, self.free_by_region[region])
        self.free_by_region[region] -= granted
        return SlotsGranted((ItemsAt(f"e{region or 'a'}", granted),) if granted else ())

    def claim(self, regions: RegionMap, zones: str = "ab") -> None:
        table = ReplicaTable(regions=regions)
        entries = [
            ReplicaEntry(f"e{zone}", SERVICE, Endpoint("127.0.0.1", 1), zone, 8) for zone in zones
        ]
        table.replace_all(entries, 1)
        document = JobDocument(
            tuple(JobItem(f"i{index}", "/x", {}, b"", 10) for index in range(ITEMS))
        )
        job = CoordinatedJob(Job("j", "h", "/", document), ROUTE, "me")
        parts = DispatcherParts(
            name="me",
            zone="a",
            routes=mock.Mock(),
            choose_service=mock.Mock(),
            table=table,
            connections=mock.Mock(),
            claim_slots=self.answer,
            protocol=mock.Mock(),
            regions=regions,
        )
        self.dispatcher = ItemDispatcher(parts, lambda: [job])
        self.jobs = [job]
        self.claim_again()

    def claim_again(self) -> None:
        self.claims.clear()
        with mock.patch.object(self.dispatcher, "_run_item"):
            self.dispatcher._claim(SERVICE, self.jobs)

    def two_regions(self) -> RegionMap:
        return RegionMap("a", "a", {"a": "a", "b": "b"})

    def test_the_own_region_comes_first(self) -> None:
        self.free_by_region["a"] = ITEMS
        self.claim(self.two_regions())
        self.assertEqual(["a"], [claim.region for claim in self.claims])

    def test_items_without_a_slot_claim_free_slots_of_the_other_region(self) -> None:
        self.free_by_region |= {"a": 1, "b": 2}
        self.claim(self.two_regions())
        self.assertEqual(["a", "b"], [claim.region for claim in self.claims])
        self.assertEqual([3], [one.items for one in self.claims[1].wanted])
        self.assertEqual(2, self.dispatcher.items_to_other_region)

    @params((0.0, NOT_URGENT_DUE_S), (0.5 * DUE_S, NOT_URGENT_DUE_S), (0.8 * DUE_S, 0.2 * DUE_S))
    def test_only_urgent_items_compete_with_those_of_the_other_region(
        self, after_s, expected
    ) -> None:
        self.claim(self.two_regions())
        self.now += after_s
        self.claim_again()
        own, other = (claim.wanted[0].due_in_s for claim in self.claims)
        self.assertAlmostEqual(DUE_S - after_s, own)
        self.assertAlmostEqual(expected, other)

    def test_items_compete_as_usual_if_their_region_has_no_replicas(self) -> None:
        self.claim(self.two_regions(), zones="b")
        self.assertEqual(["b"], [claim.region for claim in self.claims])
        self.assertAlmostEqual(DUE_S, self.claims[0].wanted[0].due_in_s)

    def test_a_silent_allocator_of_the_other_region_is_not_asked_each_time(self) -> None:
        """Each claim that is not answered delays those in the own region."""
        self.unresponsive.add("b")
        self.claim(self.two_regions())
        self.claim_again()
        self.assertEqual(["a"], [claim.region for claim in self.claims])
        self.now += AVOID_ALLOCATOR_S
        self.claim_again()
        self.assertEqual(["a", "b"], [claim.region for claim in self.claims])

    def test_running_items_are_claimed_also_after_an_unanswered_claim(self) -> None:
        """Their slots are granted to others after 1 s without a claim."""
        self.free_by_region["b"] = 2
        self.claim(self.two_regions())
        self.unresponsive.add("b")
        self.claim_again()
        self.claim_again()
        claim = self.claims[-1]
        self.assertEqual("b", claim.region)
        self.assertEqual([("eb", 2)], [(one.replica_id, one.items) for one in claim.running])
        self.assertEqual((), claim.wanted)

    def test_claims_of_a_single_region_are_as_before(self) -> None:
        claims: list[list[ClaimSlots]] = []
        for regions in (ONE_REGION, RegionMap("a", "a", {"a": "a", "b": "a"})):
            self.claim(regions)
            claims.append(list(self.claims))
        self.assertEqual(*claims)
        (claim,) = claims[0]
        self.assertEqual((0, 1), (claim.pool, claim.pools))
        self.assertFalse(claim.region)


if __name__ == "__main__":
    unittest.main()
