"""Zone reachability: the assessment by a table of cases, and simulations in virtual time."""

from __future__ import annotations

import math
import random
import unittest
from collections.abc import Callable, Iterable
from unittest import mock

import attrs
import msgspec
from nose2.tools import params

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import PeerNoReply, PeerRefusal, PeerUnreachable
from quaymill.process.limits.fleet import GatewayFleet
from quaymill.process.membership.zone_reachability import (
    CHECK_INTERVAL_S,
    PEERS_PROBED_AT_ONCE,
    REPROBE_AFTER_S,
    UNREACHABLE_PROBE_INTERVAL_S,
    Evidence,
    Reachability,
    ZoneReachability,
    assess,
)
from quaymill.process.peer_network import PeerNetwork
from standin_support import wait_until

NOW = 1000.0
NEVER = -math.inf
STEP_S = 0.005
ANSWER_DELAY_S = 0.005
CALL_TIMEOUT_S = 0.05
OBJECTIVE_S = 0.3
"""The shortest latency objective, within which a cut zone has to be detected."""
LOCAL, CUT, OTHER = "zone-a", "zone-b", "zone-c"


def ago(*seconds: float) -> tuple[float, ...]:
    return tuple(NOW - one for one in seconds)


def probed(*seconds: float) -> dict[str, float]:
    return {f"peer-{index}": NOW - one for index, one in enumerate(seconds)}


class AssessTest(unittest.TestCase):
    """A zone is assessed by the messages received from it and the answers outstanding."""

    @params(
        ("no message and no traffic", Evidence(NEVER, 5), Reachability.REACHABLE),
        ("last message long ago", Evidence(NOW - 60.0, 5), Reachability.REACHABLE),
        ("a call has just begun", Evidence(NEVER, 5, ago(0.01)), Reachability.REACHABLE),
        ("an answer is overdue", Evidence(NEVER, 5, ago(0.05)), Reachability.UNCERTAIN),
        (
            "three answers are overdue, no probe",
            Evidence(NEVER, 5, ago(1, 1, 1)),
            Reachability.UNCERTAIN,
        ),
        (
            "overdue, but a recent message",
            Evidence(NOW - 0.02, 5, ago(0.05)),
            Reachability.REACHABLE,
        ),
        (
            "overdue, last message not recent",
            Evidence(NOW - 0.3, 5, ago(0.5)),
            Reachability.UNCERTAIN,
        ),
        (
            "replica answer overdue, last message not recent",
            Evidence(NOW - 0.3, 5, (), ago(0.5)),
            Reachability.UNCERTAIN,
        ),
        (
            "a replica processes a prompt",
            Evidence(NEVER, 5, (), ago(0.08)),
            Reachability.REACHABLE,
        ),
        ("a replica is silent", Evidence(NEVER, 5, (), ago(0.2)), Reachability.UNCERTAIN),
        (
            "replicas are silent, peers are not",
            Evidence(NOW, 5, (), ago(9, 9, 9)),
            Reachability.REACHABLE,
        ),
        (
            "probed just now",
            Evidence(NEVER, 5, ago(0.1), (), probed(0, 0, 0)),
            Reachability.UNCERTAIN,
        ),
        (
            "two of many are silent",
            Evidence(NEVER, 5, (), (), probed(0.2, 0.2)),
            Reachability.UNCERTAIN,
        ),
        (
            "three of many are silent",
            Evidence(NEVER, 5, (), (), probed(0.2, 0.2, 0.2)),
            Reachability.UNREACHABLE,
        ),
        (
            "one of the probed peers has answered",
            Evidence(NOW - 0.1, 5, (), (), probed(0.2, 0.2, 0.2)),
            Reachability.REACHABLE,
        ),
        (
            "both peers of a zone are silent",
            Evidence(NEVER, 2, (), (), probed(0.2, 0.2)),
            Reachability.UNREACHABLE,
        ),
        (
            "the only peer of a zone is silent",
            Evidence(NEVER, 1, ago(9.0), (), probed(9.0)),
            Reachability.UNCERTAIN,
        ),
    )
    def test_assessment(self, _name: str, evidence: Evidence, expected: Reachability) -> None:
        self.assertIs(expected, assess(evidence, NOW))

    def test_longer_timeout_delays_silence(self) -> None:
        evidence = Evidence(NEVER, 5, (), (), probed(0.2, 0.2, 0.2))
        self.assertIs(Reachability.UNCERTAIN, assess(evidence, NOW, silent_after_s=0.4))


def member(zone: str, index: int) -> Member:
    endpoint = Endpoint(zone, index)
    return Member(f"{zone}/{index}", zone, "region", endpoint, endpoint)


@attrs.define
class FakeReplica:
    """The attributes of a replica that zone reachability uses."""

    zone: str
    last_received_at: float = NEVER
    unanswered_since: float | None = None
    entry: object = attrs.field(factory=mock.Mock)


class ZoneSimulation:
    """Simulates one process, as its own membership, and its peers in virtual time.

    Attributes
    ----------
    cut_zones, down
        Zones and members that send nothing.
    paused
        Whether this process is paused, so that incoming messages remain unread.
    """

    def __init__(self, members_per_zone: int = 5) -> None:
        self.now = NOW
        self.cut_zones: set[str] = set()
        self.down: set[str] = set()
        self.paused = False
        self.timeout_factor = 1.0
        self.probes_sent = 0
        self._known = [
            member(zone, index) for zone in (LOCAL, CUT, OTHER) for index in range(members_per_zone)
        ]
        self._scheduled: list[tuple[float, Callable[[], None]]] = []
        self._datagram_listener: Callable[[str], None] = lambda name: None
        self._checked_at = self.now
        self.replicas: list[FakeReplica] = []
        self.zone_reachability = ZoneReachability(LOCAL, self)
        self.zone_reachability._random = random.Random(1)
        self.zone_reachability.watch_replicas(lambda: self.replicas)

    def start(self) -> None:
        """Start zone reachability without its thread; ``run`` makes the checks."""
        with mock.patch("threading.Thread.start"):
            self.zone_reachability.start()

    # The interface of the membership.

    def members(self) -> tuple[Member, ...]:
        return tuple(self._known)

    def live(self) -> tuple[Member, ...]:
        return self.members()

    def dead_for_s(self, name: str) -> float:
        return 0.0

    def subscribe(self, listener: Callable[[], None]) -> None:
        pass

    def on_datagram(self, listener: Callable[[str], None]) -> None:
        self._datagram_listener = listener

    def probe(self, members: Iterable[Member]) -> None:
        for one in members:
            self.probes_sent += 1
            if self.is_up(one):
                self.schedule(ANSWER_DELAY_S, lambda name=one.name: self._datagram_listener(name))

    # The simulated fleet.

    def is_up(self, one: Member) -> bool:
        return one.zone not in self.cut_zones and one.name not in self.down

    def members_in(self, zone: str) -> list[Member]:
        return [one for one in self._known if one.zone == zone]

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._scheduled.append((self.now + delay_s, action))

    def call(self, one: Member) -> None:
        """Call a peer, which answers after ``ANSWER_DELAY_S`` unless it is cut off or down."""
        token = self.zone_reachability.began(one.peer)
        if self.is_up(one):
            self.schedule(
                ANSWER_DELAY_S, lambda: self.zone_reachability.ended(token, PeerRefusal(""))
            )
        else:
            failure = PeerNoReply(one.peer, "")
            self.schedule(CALL_TIMEOUT_S, lambda: self.zone_reachability.ended(token, failure))

    def run(self, duration_s: float, on_step: Callable[[], None] = lambda: None) -> None:
        """Advance the time, with checks at ``CHECK_INTERVAL_S`` unless paused."""
        until = self.now + duration_s
        while self.now < until - STEP_S / 2:
            self.now += STEP_S
            on_step()
            if self.paused:
                continue
            due = [one for one in self._scheduled if one[0] <= self.now]
            self._scheduled = [one for one in self._scheduled if one[0] > self.now]
            for _, action in due:
                action()
            if self.now - self._checked_at >= CHECK_INTERVAL_S - STEP_S / 2:
                self._checked_at = self.now
                self.zone_reachability.check()

    def run_until_unreachable(self, zone: str, on_step: Callable[[], None] = lambda: None) -> float:
        """Advance the time until a zone is unreachable, for at most 5 s; return the duration."""
        began = self.now
        while not self.zone_reachability.is_unreachable(zone) and self.now < began + 5.0:
            self.run(STEP_S, on_step)
        return self.now - began


class SimulationTest(unittest.TestCase):
    """Reachability of zones under load and under failures."""

    def simulation(self, members_per_zone: int = 5) -> ZoneSimulation:
        simulation = ZoneSimulation(members_per_zone)
        patch = mock.patch.object(boot_clock, "now", lambda: simulation.now)
        patch.start()
        self.addCleanup(patch.stop)
        simulation.start()
        simulation.run(0.2)
        return simulation

    def unreachable_in(self, simulation: ZoneSimulation) -> set[str]:
        return {
            zone
            for zone in (LOCAL, CUT, OTHER)
            if simulation.zone_reachability.is_unreachable(zone)
        }

    def test_cut_zone_is_detected_within_the_latency_objective(self) -> None:
        simulation = self.simulation()
        simulation.cut_zones = {CUT}
        simulation.call(simulation.members_in(CUT)[0])
        self.assertLess(simulation.run_until_unreachable(CUT), OBJECTIVE_S)
        self.assertEqual({CUT}, self.unreachable_in(simulation))

    def test_silent_replica_leads_to_detection(self) -> None:
        simulation = self.simulation()
        simulation.cut_zones = {CUT}
        simulation.replicas = [FakeReplica(CUT, unanswered_since=simulation.now)]
        self.assertLess(simulation.run_until_unreachable(CUT), OBJECTIVE_S)

    def test_message_just_before_the_cut_delays_detection_only_briefly(self) -> None:
        simulation = self.simulation()
        simulation.replicas = [FakeReplica(CUT, unanswered_since=simulation.now)]
        simulation.run(STEP_S)
        simulation._datagram_listener(f"{CUT}/1")
        simulation.cut_zones = {CUT}
        self.assertLess(simulation.run_until_unreachable(CUT), REPROBE_AFTER_S + OBJECTIVE_S)

    def test_two_silent_machines_never_make_a_larger_zone_unreachable(self) -> None:
        simulation = self.simulation()
        simulation.down = {simulation.members_in(CUT)[0].name, simulation.members_in(CUT)[1].name}
        simulation.replicas = [FakeReplica(CUT, unanswered_since=simulation.now)]

        def call() -> None:
            simulation.call(simulation.members_in(CUT)[0])
            simulation.call(simulation.members_in(CUT)[1])
            self.assertEqual(set(), self.unreachable_in(simulation))

        simulation.run(3.0, call)

    def test_only_machine_of_a_zone_never_makes_it_unreachable(self) -> None:
        simulation = self.simulation(members_per_zone=1)
        simulation.cut_zones = {CUT}
        simulation.call(simulation.members_in(CUT)[0])
        simulation.run(3.0)
        self.assertEqual(set(), self.unreachable_in(simulation))

    def test_zone_without_traffic_is_not_probed(self) -> None:
        simulation = self.simulation()
        simulation.cut_zones = {CUT}
        simulation.run(10.0)
        self.assertEqual(set(), self.unreachable_in(simulation))
        self.assertEqual(0, simulation.probes_sent)

    def test_normal_traffic_causes_no_probes(self) -> None:
        simulation = self.simulation()
        simulation.run(1.0, lambda: simulation.call(simulation.members_in(CUT)[0]))
        self.assertEqual(0, simulation.probes_sent)

    def test_slow_replicas_cause_few_probes(self) -> None:
        simulation = self.simulation()
        simulation.replicas = [FakeReplica(CUT, unanswered_since=simulation.now) for _ in range(8)]
        simulation.run(2.0)
        self.assertEqual(set(), self.unreachable_in(simulation))
        probe_rounds = 1 + 2.0 / REPROBE_AFTER_S
        self.assertLessEqual(simulation.probes_sent, 2 * PEERS_PROBED_AT_ONCE * probe_rounds)

    def test_cut_local_link_makes_all_other_zones_unreachable(self) -> None:
        simulation = self.simulation()
        simulation.cut_zones = {LOCAL, CUT, OTHER}
        for zone in (LOCAL, CUT, OTHER):
            simulation.call(simulation.members_in(zone)[0])
        simulation.run(OBJECTIVE_S)
        self.assertEqual({CUT, OTHER}, self.unreachable_in(simulation))

    def test_zone_without_outstanding_calls_is_detected_with_the_other(self) -> None:
        simulation = self.simulation()
        simulation.cut_zones = {CUT, OTHER}
        simulation.call(simulation.members_in(CUT)[0])
        simulation.run_until_unreachable(CUT)
        self.assertEqual({CUT, OTHER}, self.unreachable_in(simulation))

    def test_suspension_of_this_process_makes_no_zone_unreachable(self) -> None:
        simulation = self.simulation()
        for one in simulation.members_in(CUT):
            simulation.call(one)
        simulation.replicas = [FakeReplica(CUT, unanswered_since=simulation.now)]
        simulation.paused = True
        simulation.run(5.0)
        simulation.paused = False
        simulation.zone_reachability.check()
        self.assertEqual(set(), self.unreachable_in(simulation))
        self.assertEqual(0, simulation.probes_sent)
        simulation.run(1.0)
        self.assertEqual(set(), self.unreachable_in(simulation))

    def test_cut_zone_is_detected_after_a_suspension(self) -> None:
        simulation = self.simulation()
        simulation.paused = True
        simulation.run(5.0)
        simulation.paused = False
        simulation.cut_zones = {CUT}
        simulation.run(CHECK_INTERVAL_S)
        simulation.call(simulation.members_in(CUT)[0])
        self.assertLess(simulation.run_until_unreachable(CUT), OBJECTIVE_S)

    def test_healed_zone_is_reachable_after_the_next_probe(self) -> None:
        simulation = self.simulation()
        simulation.cut_zones = {CUT}
        simulation.call(simulation.members_in(CUT)[0])
        simulation.run_until_unreachable(CUT)
        simulation.run(4.0)
        self.assertEqual({CUT}, self.unreachable_in(simulation))
        probes_before = simulation.probes_sent
        simulation.run(1.0)
        self.assertLessEqual(
            simulation.probes_sent - probes_before, 1.0 / UNREACHABLE_PROBE_INTERVAL_S + 1
        )
        simulation.cut_zones = set()
        simulation.run(UNREACHABLE_PROBE_INTERVAL_S + CHECK_INTERVAL_S + ANSWER_DELAY_S)
        self.assertEqual(set(), self.unreachable_in(simulation))

    def test_any_message_makes_the_zone_reachable(self) -> None:
        messages: dict[str, Callable[[ZoneSimulation], None]] = {
            "datagram": lambda simulation: simulation._datagram_listener(f"{CUT}/3"),
            "answer": lambda simulation: simulation.zone_reachability.ended(
                simulation.zone_reachability.began(Endpoint(CUT, 2)), PeerRefusal("")
            ),
            "replica": lambda simulation: simulation.replicas.append(
                FakeReplica(CUT, simulation.now)
            ),
        }
        for name, send in messages.items():
            with self.subTest(name):
                simulation = self.simulation()
                simulation.cut_zones = {CUT}
                simulation.call(simulation.members_in(CUT)[0])
                simulation.run_until_unreachable(CUT)
                simulation.run(1.0)
                send(simulation)
                simulation.zone_reachability.check()
                self.assertEqual(set(), self.unreachable_in(simulation))

    def test_refused_connection_causes_no_probe(self) -> None:
        simulation = self.simulation()
        endpoint = simulation.members_in(CUT)[0].peer
        token = simulation.zone_reachability.began(endpoint)
        simulation.run(STEP_S)
        simulation.zone_reachability.ended(token, PeerUnreachable(endpoint, "refused"))
        simulation.run(1.0)
        self.assertEqual(0, simulation.probes_sent)

    def test_calls_to_an_unreachable_zone_are_refused_and_others_preferred(self) -> None:
        simulation = self.simulation()
        simulation.cut_zones = {CUT}
        simulation.call(simulation.members_in(CUT)[0])
        simulation.run_until_unreachable(CUT)
        self.assertTrue(simulation.zone_reachability.refuses(simulation.members_in(CUT)[1].peer))
        self.assertFalse(simulation.zone_reachability.refuses(simulation.members_in(OTHER)[1].peer))
        chosen = simulation.zone_reachability.prefer_reachable(simulation.members())
        self.assertEqual({LOCAL, OTHER}, {one.zone for one in chosen})
        in_cut_zone = simulation.members_in(CUT)
        self.assertEqual(
            tuple(in_cut_zone), simulation.zone_reachability.prefer_reachable(in_cut_zone)
        )

    def test_zone_without_members_is_not_unreachable(self) -> None:
        simulation = self.simulation()
        simulation.cut_zones = {CUT}
        simulation.call(simulation.members_in(CUT)[0])
        simulation.run_until_unreachable(CUT)
        simulation._known = [one for one in simulation._known if one.zone != CUT]
        simulation.zone_reachability._on_members_changed()
        simulation.run(0.2)
        self.assertEqual(0, simulation.zone_reachability.unreachable_zones)
        self.assertFalse(simulation.zone_reachability.is_unreachable(CUT))

    def test_zone_of_dead_nodes_is_assessed_by_its_replicas(self) -> None:
        """An upgrade may stop all nodes of a small zone while its replicas continue to run."""
        simulation = self.simulation()
        names_in_cut_zone = {one.name for one in simulation.members_in(CUT)}
        simulation.down = names_in_cut_zone
        simulation._known = [
            msgspec.structs.replace(one, state=MemberState.DEAD)
            if one.name in names_in_cut_zone
            else one
            for one in simulation._known
        ]
        simulation.zone_reachability._on_members_changed()
        simulation.call(simulation.members_in(OTHER)[0])
        simulation.run(1.0)
        self.assertFalse(simulation.zone_reachability.is_unreachable(CUT))
        simulation.replicas = [FakeReplica(CUT, unanswered_since=simulation.now) for _ in range(3)]
        simulation.run(0.5)
        self.assertTrue(simulation.zone_reachability.is_unreachable(CUT))
        simulation.replicas = [FakeReplica(CUT)]
        simulation.zone_reachability._responds = lambda endpoint: True
        simulation.run(0.5)
        wait_until(
            lambda: not simulation.zone_reachability.is_unreachable(CUT),
            "a replica takes a connection",
        )

    def test_local_zone_counts_as_cut_off_if_too_many_zones_are_unreachable(self) -> None:
        rows = (({CUT}, {LOCAL: True, CUT: True}), ({CUT, OTHER}, {LOCAL: True, CUT: False}))
        for cut_zones, expected in rows:
            with self.subTest(cut=sorted(cut_zones)):
                simulation = self.simulation()
                network = PeerNetwork(
                    simulation,
                    mock.Mock(),
                    mock.Mock(),
                    simulation.zone_reachability,
                    mock.Mock(),
                    zones_lost_at_once=1,
                )
                simulation.cut_zones = cut_zones
                simulation.call(simulation.members_in(CUT)[0])
                simulation.run_until_unreachable(CUT)
                simulation.run(0.2)
                may_have_ended_by_zone = {
                    zone: network.may_have_ended(f"{zone}/1#p") for zone in expected
                }
                self.assertEqual(expected, may_have_ended_by_zone)

    def test_unreachable_gateways_are_not_ranked_and_not_counted_as_live(self) -> None:
        simulation = self.simulation()
        fleet = GatewayFleet(
            simulation, f"{LOCAL}/0", lambda one: True, simulation.zone_reachability.is_unreachable
        )
        self.assertEqual(15, len(fleet.ranked("tenant")))
        simulation.cut_zones = {CUT}
        simulation.call(simulation.members_in(CUT)[0])
        simulation.run_until_unreachable(CUT)
        simulation.run(0.5)
        self.assertEqual({LOCAL, OTHER}, {one.zone for one in fleet.ranked("tenant")})
        view = fleet.view()
        self.assertEqual((10, 15), (view.live, view.known))
