"""The choice of a replica: exact weights, local zone, load, affinity, draining, ejection."""

import unittest
from collections import Counter

import msgspec
from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.load_messages import LoadReport
from quaymill.connection.member import Machine, MachineRole
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.replicas.replica import ReplicaView
from quaymill.process.replicas.router import Router
from quaymill.process.settings import NodeSettings
from quaymill.request.outcome import Failed, NotRun, OutcomeUnknown
from quaymill.version.configuration import (
    Route,
    Service,
    ServiceKind,
    ServingConfiguration,
    ZoneGroup,
)

MODEL = "drafting"
CUT_ANSWER = OutcomeUnknown(502, "cut", "")
FROZEN = OutcomeUnknown(504, "nothing came", "")
REFUSED = NotRun(503, "connection refused", "")
DRAINING = NotRun(503, "draining", "", by_replica=True)
REQUEST_AT_FAULT = Failed(400, "bad", "")


class FakeLoadView:
    """A load view with the replicas of a test, all of one service."""

    def __init__(self, replicas: list[ReplicaView]) -> None:
        self._replicas = tuple(replicas)

    def replicas(self, service: str) -> tuple[ReplicaView, ...]:
        return self._replicas if service == MODEL else ()


def replica(name: str, zone: str = "a", load: int | None = 0, **report) -> ReplicaView:
    view = ReplicaView(Machine(name, MachineRole.ENGINE, zone, Endpoint("127.0.0.1", 1), MODEL))
    if load is not None:
        fields = {"age_s": 0.0, "running": load, "slots": 32} | report
        view.offer_report(LoadReport(replica=name, **fields))
    return view


class RoutedFleet:
    """A router over some replicas; by default each zone is a group of its own."""

    def __init__(
        self,
        replicas: list[ReplicaView],
        weights: dict[str, float] | None = None,
        zone: str = "a",
        groups: dict[str, tuple[str, ...]] | None = None,
        online_limit: int = 1000,
    ) -> None:
        zones = sorted({one.machine.zone for one in replicas})
        self.groups = groups or {name: (name,) for name in zones}
        self.holder = ConfigurationHolder()
        self.online_limit = online_limit
        self.set_weights(weights or dict.fromkeys(self.groups, 1.0))
        settings = NodeSettings("node", zone, "r", "127.0.0.1", 1, 1, "127.0.0.1:1")
        self.router = Router(FakeLoadView(replicas), self.holder, settings, seed=1)
        self.replicas = {one.name: one for one in replicas}

    def set_weights(self, weights: dict[str, float]) -> None:
        routes = {
            name: Route(weight=weight, online_limit=self.online_limit)
            for name, weight in weights.items()
        }
        self.holder.offer(
            ServingConfiguration(
                generation=self.holder.current().generation + 1,
                zone_groups={name: ZoneGroup(zones) for name, zones in self.groups.items()},
                services={MODEL: Service(ServiceKind.MODEL)},
                routes={MODEL: routes},
            )
        )

    def choose(self, prefix: str = "", exclude: frozenset[str] = frozenset()):
        return self.router.choose(MODEL, prefix, exclude)

    def count(self, requests: int, prefix: str = "") -> Counter:
        return Counter(self.choose(prefix).name for _ in range(requests))

    def fail(self, name: str, *failures) -> None:
        for failure in failures:
            self.router.record_failure(self.replicas[name], failure)


class WeightTest(unittest.TestCase):
    """Over 1,000 requests each group's share is within 2 percentage points of its weight."""

    @params(
        ({"a": 1.0, "b": 1.0}, "a"),
        ({"a": 0.5, "b": 99.5}, "a"),
        ({"a": 97.0, "b": 3.0}, "b"),
        ({"a": 0.0, "b": 1.0}, "a"),
        ({"a": 0.1, "b": 0.2, "c": 0.7}, "c"),
        ({"a": 33.0, "b": 33.0, "c": 34.0}, "x"),
    )
    def test_shares(self, weights, zone):
        fleet = RoutedFleet(
            [replica(f"{name}{n}", name) for name in weights for n in (1, 2)], weights, zone
        )
        chosen = fleet.count(1000)
        for name, weight in weights.items():
            share = sum(count for one, count in chosen.items() if one.startswith(name)) / 1000
            self.assertAlmostEqual(share, weight / sum(weights.values()), delta=0.02)
            if weight == 0.0:
                self.assertEqual(share, 0.0)

    def test_changed_weights_apply_at_once(self):
        fleet = RoutedFleet([replica("a1", "a"), replica("b1", "b")], {"a": 1.0, "b": 0.0})
        fleet.count(1000)
        fleet.set_weights({"a": 1.0, "b": 3.0})
        self.assertAlmostEqual(fleet.count(1000)["b1"] / 1000, 0.75, delta=0.02)

    def test_group_with_weight_0_is_not_used_even_without_others(self):
        fleet = RoutedFleet(
            [replica("a1", "a", draining=True), replica("b1", "b")], {"a": 1, "b": 0}
        )
        self.assertEqual(fleet.choose().status, 503)


class PlacementTest(unittest.TestCase):
    """The choice of a replica within a group, and of another group if one has none."""

    def test_local_zone_is_preferred(self):
        replicas = [replica("a1", "a"), replica("b1", "b"), replica("c1", "c")]
        fleet = RoutedFleet(replicas, groups={"all": ("a", "b", "c")}, zone="b")
        self.assertEqual(fleet.count(100), {"b1": 100})

    def test_other_zones_of_the_group_are_used_if_the_local_one_is_full(self):
        replicas = [replica("a1", "a", load=8), replica("b1", "b")]
        fleet = RoutedFleet(replicas, groups={"all": ("a", "b")}, online_limit=8)
        self.assertEqual(fleet.count(10), {"b1": 10})

    def test_other_group_is_used_if_one_is_full(self):
        fleet = RoutedFleet([replica("a1", "a", load=8), replica("b1", "b")], online_limit=8)
        self.assertEqual(fleet.count(10), {"b1": 10})

    def test_request_is_refused_if_all_replicas_are_full(self):
        fleet = RoutedFleet([replica("a1", load=8), replica("a2", load=9)], online_limit=8)
        self.assertEqual(fleet.choose().status, 429)

    def test_batch_work_does_not_count_as_load(self):
        busy_with_batch = replica("a1", load=32, batch_running=32)
        fleet = RoutedFleet([busy_with_batch, replica("a2", load=8)], online_limit=8)
        self.assertEqual(fleet.count(10), {"a1": 10})

    @params(
        (
            "machine list",
            lambda one: one.set_machine(msgspec.structs.replace(one.machine, draining=True)),
        ),
        ("load report", lambda one: one.offer_report(LoadReport(one.name, 0.0, draining=True))),
        ("response of the replica", lambda one: one.record_draining_answer()),
        ("unreachable", lambda one: one.offer_report(LoadReport(one.name, 0.0, reachable=False))),
    )
    def test_draining_or_unreachable_replica_is_not_chosen(self, _, change):
        draining_replica = replica("a1")
        fleet = RoutedFleet([draining_replica, replica("a2", load=20), replica("b1", "b")])
        change(draining_replica)
        self.assertEqual(set(fleet.count(100)), {"a2", "b1"})

    def test_share_of_a_group_without_usable_replica_goes_to_the_others(self):
        fleet = RoutedFleet([replica("a1", "a", draining=True), replica("b1", "b")])
        self.assertEqual(fleet.count(10), {"b1": 10})

    def test_excluded_replicas_are_not_chosen_again(self):
        fleet = RoutedFleet([replica("a1"), replica("a2")])
        self.assertEqual(fleet.choose(exclude=frozenset({"a1"})).name, "a2")
        self.assertEqual(fleet.choose(exclude=frozenset({"a1", "a2"})).status, 503)


class LoadTest(unittest.TestCase):
    """The less loaded of two is chosen, also with reports that are old, missing or wrong."""

    def test_less_loaded_of_two_is_chosen(self):
        fleet = RoutedFleet([replica("a1", load=10), replica("a2", load=1)])
        self.assertEqual(fleet.count(100), {"a2": 100})

    def test_local_requests_after_the_report_count(self):
        fleet = RoutedFleet([replica("a1", load=0), replica("a2", load=0)])
        for _ in range(100):
            fleet.choose().begin()
        self.assertEqual([one.local_in_flight for one in fleet.replicas.values()], [50, 50])

    def test_local_requests_override_a_report_of_an_idle_replica(self):
        wrongly_idle = replica("a1", load=0)
        fleet = RoutedFleet([wrongly_idle, replica("a2", load=0)])
        for _ in range(100):
            fleet.choose().begin()
            wrongly_idle.offer_report(LoadReport("a1", age_s=0.0, running=0, slots=32))
        self.assertLessEqual(wrongly_idle.local_in_flight, 51)

    @params(("no report", None, 0.0), ("too old", 0, 60.0))
    def test_unknown_load_does_not_count_as_idle(self, _, load, age_s):
        unknown = replica("a1", load=load, age_s=age_s)
        fleet = RoutedFleet([unknown, replica("a2", load=5), replica("a3", load=9)])
        self.assertLess(fleet.count(300)["a1"], 150)
        self.assertIsNone(unknown.load())

    def test_requests_are_spread_if_all_loads_are_unknown(self):
        fleet = RoutedFleet([replica(f"a{number}", load=None) for number in range(4)])
        for _ in range(100):
            fleet.choose().begin()
        self.assertLess(max(one.local_in_flight for one in fleet.replicas.values()), 30)


class AffinityTest(unittest.TestCase):
    """Prompts with the same prefix go to the same replica while it has little more load."""

    def test_same_prefix_goes_to_the_same_replica(self):
        fleet = RoutedFleet([replica(f"a{number}") for number in range(6)])
        for prefix in ("one", "two", "three"):
            self.assertEqual(len(fleet.count(50, prefix)), 1)
        chosen = {fleet.choose(str(number)).name for number in range(60)}
        self.assertEqual(len(chosen), 6)

    def test_load_limits_affinity(self):
        fleet = RoutedFleet([replica(f"a{number}") for number in range(4)])
        for _ in range(80):
            fleet.choose("same").begin()
        self.assertLess(max(one.local_in_flight for one in fleet.replicas.values()), 30)


class EjectionTest(unittest.TestCase):
    """Failing replicas are excluded for a time, never more than half of a service's."""

    @params(
        ("refused connection", (REFUSED,), True),
        ("no first byte", (FROZEN,), True),
        ("says that it is draining", (DRAINING,), True),
        ("one cut answer", (CUT_ANSWER,), False),
        ("two cut answers", (CUT_ANSWER, CUT_ANSWER), True),
        ("the request is at fault", (REQUEST_AT_FAULT,) * 5, False),
    )
    def test_failures_that_eject(self, _, failures, is_ejected):
        fleet = RoutedFleet([replica("a1"), replica("a2"), replica("a3")])
        fleet.fail("a1", *failures)
        self.assertEqual(fleet.count(100)["a1"] == 0, is_ejected)

    def test_success_between_failures_resets_them(self):
        fleet = RoutedFleet([replica("a1"), replica("a2")])
        fleet.fail("a1", CUT_ANSWER)
        fleet.router.record_success(fleet.replicas["a1"], 0.1)
        fleet.fail("a1", CUT_ANSWER)
        self.assertFalse(fleet.replicas["a1"].ejected)

    @params(1, 2, 3, 4, 5)
    def test_at_most_half_are_ejected(self, size):
        fleet = RoutedFleet([replica(f"a{number}") for number in range(size)])
        for name in fleet.replicas:
            fleet.fail(name, FROZEN, FROZEN, FROZEN)
        ejected = sum(one.ejected for one in fleet.replicas.values())
        self.assertEqual(ejected, size // 2)
        self.assertNotIsInstance(fleet.choose(), NotRun)

    def test_flapping_replica_is_ejected_longer_each_time(self):
        fleet = RoutedFleet([replica("a1"), replica("a2")])
        times = []
        for _ in range(4):
            fleet.replicas["a1"].ejected_until = 0.0
            fleet.fail("a1", REFUSED)
            times.append(round(fleet.replicas["a1"].ejection_left_s))
        self.assertEqual(times, [1, 2, 4, 8])

    @params(
        ("much slower than the others", 1.0, 0.1, True),
        ("slow like the others", 1.0, 0.9, False),
        ("slower, but still fast", 0.1, 0.01, False),
    )
    def test_slow_replica_is_ejected(self, _, replica_first_byte_s, others_first_byte_s, ejected):
        fleet = RoutedFleet([replica("a1"), replica("a2"), replica("a3")])
        for _ in range(6):
            for name, first_byte_s in (
                ("a2", others_first_byte_s),
                ("a3", others_first_byte_s),
                ("a1", replica_first_byte_s),
            ):
                fleet.router.record_success(fleet.replicas[name], first_byte_s)
        self.assertEqual(fleet.replicas["a1"].ejected, ejected)
