"""The soak's checks of placement can fail: each finds a planted violation, and nothing else."""

from __future__ import annotations

import math
import time
import unittest

from nose2.tools import params

from quaymill_bench.soak_placement import (
    LINK_DELAY_S,
    STORE,
    Disturbances,
    Evacuation,
    Senders,
    check_cold,
    check_evacuations,
    evacuations_of,
    path_to,
    stopping,
)
from quaymill_standins.fleet_replica import Arrival, FleetReplica
from quaymill_standins.fleet_store import FleetStore

BOUND_S = 5.0
BEGUN, ENDED = 100.0, 120.0
DUE = BEGUN + BOUND_S
ONE, TWO, UNKNOWN = "127.0.0.2", "127.0.0.3", "127.0.0.1"
GATEWAYS = {ONE: "one", TWO: "two"}
MOST = 9


def replica_with(*arrivals: Arrival, zone: str = "zone-a") -> FleetReplica:
    replica = FleetReplica("replica", "engine", zone)
    replica.arrivals += arrivals
    return replica


class EvacuationTest(unittest.TestCase):
    """Requests at the replicas of an evacuated zone."""

    def check(
        self, at: float, *spans: tuple[str, float, float], sender: str = ONE, zone: str = "zone-a"
    ) -> bool:
        """Return whether a request at a time is a violation, with these disturbances."""
        disturbances = Disturbances()
        for name, begun, ended in spans:
            disturbances.add(name, begun, ended)
        replica = replica_with(Arrival("read-r", at, sender, cold=False), zone=zone)
        evacuations = [Evacuation("zone-a", BEGUN, ENDED)]
        senders = Senders(GATEWAYS, disturbances)
        found = check_evacuations([replica], evacuations, senders, BOUND_S)
        self.assertTrue(all("read-r" in text for text in found))
        return bool(found)

    @params(
        ("within the bound", DUE - 0.1, False),
        ("late", DUE + 0.1, True),
        ("late as ever", ENDED - 0.1, True),
        ("withdrawn", ENDED + 0.1, False),
        ("before", BEGUN - 0.1, False),
    )
    def test_time(self, _, at, broken) -> None:
        """Guards against a bound that is not applied, or applied to other times."""
        self.assertEqual(broken, self.check(at))

    def test_other_zones(self) -> None:
        """Guards against requests to other zones that count."""
        self.assertFalse(self.check(DUE + 0.1, zone="zone-b"))

    @params(
        ("sender suspended just before", "one", 107.0, 108.0, False),
        ("sender suspended long before", "one", 106.0, 106.5, True),
        ("still suspended", "one", 107.0, math.inf, False),
        ("sender told to stop", stopping("one"), 108.0, math.inf, True),
        ("another suspended", "two", 107.0, 108.0, True),
        ("only its path to the store cut", path_to("one", STORE), 99.0, 112.0, True),
        ("store down once it was known", STORE, 104.0, 112.0, True),
        ("store down as it was acknowledged", STORE, 99.0, 109.0, False),
        ("store down before", STORE, 90.0, 99.0, True),
        ("store back long before", STORE, 99.0, 106.5, True),
    )
    def test_one_fault(self, _, name, begun, ended, broken) -> None:
        """Guards against senders that are excused without cause, or blamed without one."""
        self.assertEqual(broken, self.check(110.0, (name, begun, ended)))

    @params(
        ("the other frozen", ("two", 99.0, 112.0), False),
        ("the other stops", (stopping("two"), 109.0, 112.0), False),
        ("no link to the other", (path_to("one", "two"), 99.0, 112.0), False),
        ("no link from the other", (path_to("two", "one"), 109.0, 112.0), False),
        ("the other cut off from the store", (path_to("two", STORE), 109.0, 112.0), False),
        ("the other as good as new", ("two", 99.0, 106.9), True),
    )
    def test_cut_off(self, _, span, broken) -> None:
        """Guards against blaming a sender to whom neither the store nor a peer speaks."""
        cut = (path_to("one", STORE), 99.0, 112.0)
        self.assertEqual(broken, self.check(110.0, cut, span))

    def test_unknown_sender(self) -> None:
        """Guards against blaming, and excusing, where the sender may be any gateway."""
        self.assertTrue(self.check(110.0, sender=UNKNOWN))
        self.assertFalse(self.check(110.0, ("two", 108.0, 109.0), sender=UNKNOWN))

    def test_path_that_delays(self) -> None:
        """Guards against blaming a sender for the time that the soak's own proxy adds."""
        delayed = (path_to("all", "replica"), 99.0, 112.0)
        self.assertFalse(self.check(DUE + LINK_DELAY_S / 2, delayed))
        self.assertTrue(self.check(DUE + LINK_DELAY_S * 2, delayed))

    def test_requested_again_at_once(self) -> None:
        """Guards against a second evacuation that is not seen, or counts from the first."""
        store = FleetStore()
        store.put("evacuations", "zone-a", {})
        store.put("evacuations", "zone-b", {})
        store.remove("evacuations", "zone-a")
        store.put("evacuations", "zone-a", {})
        store.put("evacuations", "zone-a", {"again": True})
        times = [change.at_s for change in store.changes_of("evacuations")]
        expected = [
            Evacuation("zone-a", times[0], times[2]),
            Evacuation("zone-b", times[1], math.inf),
            Evacuation("zone-a", times[3], math.inf),
        ]
        found = evacuations_of(store.changes_of("evacuations"))
        self.assertEqual(expected, sorted(found, key=lambda one: one.begun))


class ColdTest(unittest.TestCase):
    """Requests at a cold replica."""

    @params(
        ("as many as allowed", [0.05 * n for n in range(MOST)], False),
        ("one too many", [0.05 * n for n in range(MOST + 1)], True),
        ("across a full second", [0.55 + 0.09 * n for n in range(MOST + 1)], True),
        ("a second apart", [0.0, *(1.0 + 0.01 * n for n in range(MOST))], False),
        ("none", [], False),
    )
    def test_rate(self, _, times, broken) -> None:
        """Guards against a rate that is not counted in every second."""
        # Senders share the bound.
        arrivals = [
            Arrival("r", at, (ONE, TWO, UNKNOWN)[index % 3], cold=True)
            for index, at in enumerate(times)
        ]
        found = check_cold([replica_with(*arrivals)], MOST)
        self.assertEqual(broken, bool(found))
        if broken:
            self.assertIn(f"{MOST + 1} requests in a second", found[0])

    def test_only_cold_replicas(self) -> None:
        """Guards against requests that count although the replica was warm, or another's."""
        warm = [Arrival("r", 0.01 * n, ONE, cold=n < MOST) for n in range(3 * MOST)]
        self.assertEqual([], check_cold([replica_with(*warm)] * 2, MOST))


class DisturbancesTest(unittest.TestCase):
    """What is noted of faults as they come and go."""

    def test_spans(self) -> None:
        """Guards against a disturbance that is forgotten as another one of the same name ends."""
        disturbances = Disturbances()
        first = disturbances.begin("one", "two")
        second = disturbances.begin("one")
        second()
        later = time.monotonic() + 1.0
        self.assertTrue(disturbances.any_within(later, later, ["one"]))
        first()
        self.assertFalse(disturbances.any_within(later, later, ["one", "two"]))
        self.assertTrue(disturbances.any_within(0.0, later, ["two"]))
