"""Which zones can be reached: the decision in a table, and plays in virtual time."""

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
QUIET = -math.inf
STEP_S = 0.005
ANSWER_S = 0.005
CALL_TIMEOUT_S = 0.05
OBJECTIVE_S = 0.3
"""The callers' shortest objective: a zone that is cut off is known before it has passed."""
OWN, CUT, OTHER = "zone-a", "zone-b", "zone-c"


def ago(*seconds: float) -> tuple[float, ...]:
    return tuple(NOW - one for one in seconds)


def asked(*seconds: float) -> dict[str, float]:
    return {f"peer-{index}": NOW - one for index, one in enumerate(seconds)}


class DecisionTest(unittest.TestCase):
    """What is known of a zone, from what was heard and is owed."""

    @params(
        ("quiet, without traffic", Evidence(QUIET, 5), Reachability.REACHABLE),
        ("quiet for long after a word", Evidence(NOW - 60.0, 5), Reachability.REACHABLE),
        ("a call has just begun", Evidence(QUIET, 5, ago(0.01)), Reachability.REACHABLE),
        ("a peer owes an answer", Evidence(QUIET, 5, ago(0.05)), Reachability.UNCERTAIN),
        (
            "three peers owe, none was asked",
            Evidence(QUIET, 5, ago(1, 1, 1)),
            Reachability.UNCERTAIN,
        ),
        (
            "it owes, the zone was heard",
            Evidence(NOW - 0.02, 5, ago(0.05)),
            Reachability.REACHABLE,
        ),
        (
            "it owes, nothing since a word",
            Evidence(NOW - 0.3, 5, ago(0.5)),
            Reachability.UNCERTAIN,
        ),
        ("so does a replica", Evidence(NOW - 0.3, 5, (), ago(0.5)), Reachability.UNCERTAIN),
        (
            "a replica reads a prompt",
            Evidence(QUIET, 5, (), ago(0.08)),
            Reachability.REACHABLE,
        ),
        ("a replica is silent", Evidence(QUIET, 5, (), ago(0.2)), Reachability.UNCERTAIN),
        (
            "replicas are silent, peers not",
            Evidence(NOW, 5, (), ago(9, 9, 9)),
            Reachability.REACHABLE,
        ),
        (
            "asked just now",
            Evidence(QUIET, 5, ago(0.1), (), asked(0, 0, 0)),
            Reachability.UNCERTAIN,
        ),
        (
            "two of many are silent",
            Evidence(QUIET, 5, (), (), asked(0.2, 0.2)),
            Reachability.UNCERTAIN,
        ),
        (
            "three of many are silent",
            Evidence(QUIET, 5, (), (), asked(0.2, 0.2, 0.2)),
            Reachability.UNREACHABLE,
        ),
        (
            "one has answered",
            Evidence(NOW - 0.1, 5, (), (), asked(0.2, 0.2, 0.2)),
            Reachability.REACHABLE,
        ),
        (
            "both of two",
            Evidence(QUIET, 2, (), (), asked(0.2, 0.2)),
            Reachability.UNREACHABLE,
        ),
        ("the only one", Evidence(QUIET, 1, ago(9.0), (), asked(9.0)), Reachability.UNCERTAIN),
    )
    def test_verdict(self, _name: str, evidence: Evidence, expected: Reachability) -> None:
        self.assertIs(expected, assess(evidence, NOW))

    def test_where_answers_come_late_silence_counts_later(self) -> None:
        evidence = Evidence(QUIET, 5, (), (), asked(0.2, 0.2, 0.2))
        self.assertIs(Reachability.UNCERTAIN, assess(evidence, NOW, silent_after_s=0.4))


def member(zone: str, index: int) -> Member:
    endpoint = Endpoint(zone, index)
    return Member(f"{zone}/{index}", zone, "region", endpoint, endpoint)


@attrs.define
class FakeReplica:
    """What the zones are told by of a replica."""

    zone: str
    heard_at: float = QUIET
    owes_since: float | None = None
    entry: object = attrs.field(factory=mock.Mock)


class Play:
    """One process and its peers in virtual time; it alone knows what is cut or down.

    Attributes
    ----------
    cut_zones, down
        Zones and members from which nothing comes.
    held_up
        Whether this process does not run: what comes waits unread.
    """

    def __init__(self, members_a_zone: int = 5) -> None:
        self.now = NOW
        self.cut_zones: set[str] = set()
        self.down: set[str] = set()
        self.held_up = False
        self.timeout_factor = 1.0
        self.questions = 0
        self._known = [
            member(zone, index) for zone in (OWN, CUT, OTHER) for index in range(members_a_zone)
        ]
        self._due: list[tuple[float, Callable[[], None]]] = []
        self._take_word: Callable[[str], None] = lambda name: None
        self._checked_at = self.now
        self.replicas: list[FakeReplica] = []
        self.reach = ZoneReachability(OWN, self)
        self.reach._random = random.Random(1)
        self.reach.watch_replicas(lambda: self.replicas)

    def start(self) -> None:
        """Begin to tell; the checks are made by the play."""
        with mock.patch("threading.Thread.start"):
            self.reach.start()

    # What the zones ask of the membership.

    def members(self) -> tuple[Member, ...]:
        return tuple(self._known)

    def live(self) -> tuple[Member, ...]:
        return self.members()

    def dead_for_s(self, name: str) -> float:
        return 0.0

    def subscribe(self, listener: Callable[[], None]) -> None:
        pass

    def on_datagram(self, listener: Callable[[str], None]) -> None:
        self._take_word = listener

    def probe(self, members: Iterable[Member]) -> None:
        for one in members:
            self.questions += 1
            if self.answers(one):
                self.after(ANSWER_S, lambda name=one.name: self._take_word(name))

    # The world.

    def answers(self, one: Member) -> bool:
        return one.zone not in self.cut_zones and one.name not in self.down

    def of_zone(self, zone: str) -> list[Member]:
        return [one for one in self._known if one.zone == zone]

    def after(self, delay_s: float, happens: Callable[[], None]) -> None:
        self._due.append((self.now + delay_s, happens))

    def call(self, one: Member) -> None:
        """Call a peer; it answers at once, or the call ends without an answer."""
        token = self.reach.began(one.peer)
        if self.answers(one):
            self.after(ANSWER_S, lambda: self.reach.ended(token, PeerRefusal("")))
        else:
            failure = PeerNoReply(one.peer, "")
            self.after(CALL_TIMEOUT_S, lambda: self.reach.ended(token, failure))

    def run(self, for_s: float, each_step: Callable[[], None] = lambda: None) -> None:
        """Let time pass; the process checks as often as it does."""
        until = self.now + for_s
        while self.now < until - STEP_S / 2:
            self.now += STEP_S
            each_step()
            if self.held_up:
                continue
            due = [one for one in self._due if one[0] <= self.now]
            self._due = [one for one in self._due if one[0] > self.now]
            for _, happens in due:
                happens()
            if self.now - self._checked_at >= CHECK_INTERVAL_S - STEP_S / 2:
                self._checked_at = self.now
                self.reach.check()

    def until_lost(self, zone: str, each_step: Callable[[], None] = lambda: None) -> float:
        """Let time pass until a zone cannot be reached; return how long that took."""
        began = self.now
        while not self.reach.is_unreachable(zone) and self.now < began + 5.0:
            self.run(STEP_S, each_step)
        return self.now - began


class PlayTest(unittest.TestCase):
    """What a process tells under load and under failure."""

    def play(self, members_a_zone: int = 5) -> Play:
        play = Play(members_a_zone)
        patch = mock.patch.object(boot_clock, "now", lambda: play.now)
        patch.start()
        self.addCleanup(patch.stop)
        play.start()
        play.run(0.2)
        return play

    def lost(self, play: Play) -> set[str]:
        return {zone for zone in (OWN, CUT, OTHER) if play.reach.is_unreachable(zone)}

    def test_zone_that_is_cut_off_is_known_within_the_objective(self) -> None:
        play = self.play()
        play.cut_zones = {CUT}
        play.call(play.of_zone(CUT)[0])
        self.assertLess(play.until_lost(CUT), OBJECTIVE_S)
        self.assertEqual({CUT}, self.lost(play))

    def test_silent_replica_leads_to_it_too(self) -> None:
        play = self.play()
        play.cut_zones = {CUT}
        play.replicas = [FakeReplica(CUT, owes_since=play.now)]
        self.assertLess(play.until_lost(CUT), OBJECTIVE_S)

    def test_word_just_before_the_cut_hides_it_for_a_moment_only(self) -> None:
        play = self.play()
        play.replicas = [FakeReplica(CUT, owes_since=play.now)]
        play.run(STEP_S)
        play._take_word(f"{CUT}/1")
        play.cut_zones = {CUT}
        self.assertLess(play.until_lost(CUT), REPROBE_AFTER_S + OBJECTIVE_S)

    def test_one_silent_machine_never_makes_a_zone_unreachable(self) -> None:
        play = self.play()
        play.down = {play.of_zone(CUT)[0].name, play.of_zone(CUT)[1].name}
        play.replicas = [FakeReplica(CUT, owes_since=play.now)]

        def call() -> None:
            play.call(play.of_zone(CUT)[0])
            play.call(play.of_zone(CUT)[1])
            self.assertEqual(set(), self.lost(play))

        play.run(3.0, call)

    def test_only_machine_of_a_zone_never_makes_it_unreachable(self) -> None:
        play = self.play(members_a_zone=1)
        play.cut_zones = {CUT}
        play.call(play.of_zone(CUT)[0])
        play.run(3.0)
        self.assertEqual(set(), self.lost(play))

    def test_zone_without_traffic_is_asked_nothing(self) -> None:
        play = self.play()
        play.cut_zones = {CUT}
        play.run(10.0)
        self.assertEqual(set(), self.lost(play))
        self.assertEqual(0, play.questions)

    def test_calm_traffic_costs_no_questions(self) -> None:
        play = self.play()
        play.run(1.0, lambda: play.call(play.of_zone(CUT)[0]))
        self.assertEqual(0, play.questions)

    def test_replicas_that_are_slow_cost_few_questions(self) -> None:
        play = self.play()
        play.replicas = [FakeReplica(CUT, owes_since=play.now) for _ in range(8)]
        play.run(2.0)
        self.assertEqual(set(), self.lost(play))
        times = 1 + 2.0 / REPROBE_AFTER_S
        self.assertLessEqual(play.questions, 2 * PEERS_PROBED_AT_ONCE * times)

    def test_own_link_cut(self) -> None:
        play = self.play()
        play.cut_zones = {OWN, CUT, OTHER}
        for zone in (OWN, CUT, OTHER):
            play.call(play.of_zone(zone)[0])
        play.run(OBJECTIVE_S)
        self.assertEqual({CUT, OTHER}, self.lost(play))

    def test_zone_in_which_nothing_waits_is_known_as_soon_as_the_other(self) -> None:
        play = self.play()
        play.cut_zones = {CUT, OTHER}
        play.call(play.of_zone(CUT)[0])
        play.until_lost(CUT)
        self.assertEqual({CUT, OTHER}, self.lost(play))

    def test_process_that_was_suspended_judges_by_nothing_that_waited(self) -> None:
        play = self.play()
        for one in play.of_zone(CUT):
            play.call(one)
        play.replicas = [FakeReplica(CUT, owes_since=play.now)]
        play.held_up = True
        play.run(5.0)
        play.held_up = False
        play.reach.check()
        self.assertEqual(set(), self.lost(play))
        self.assertEqual(0, play.questions)
        play.run(1.0)
        self.assertEqual(set(), self.lost(play))

    def test_zone_is_found_cut_off_after_a_suspension_too(self) -> None:
        play = self.play()
        play.held_up = True
        play.run(5.0)
        play.held_up = False
        play.cut_zones = {CUT}
        play.run(CHECK_INTERVAL_S)
        play.call(play.of_zone(CUT)[0])
        self.assertLess(play.until_lost(CUT), OBJECTIVE_S)

    def test_healed_cut_is_seen_at_the_first_word(self) -> None:
        play = self.play()
        play.cut_zones = {CUT}
        play.call(play.of_zone(CUT)[0])
        play.until_lost(CUT)
        play.run(4.0)
        self.assertEqual({CUT}, self.lost(play))
        before = play.questions
        play.run(1.0)
        self.assertLessEqual(play.questions - before, 1.0 / UNREACHABLE_PROBE_INTERVAL_S + 1)
        play.cut_zones = set()
        play.run(UNREACHABLE_PROBE_INTERVAL_S + CHECK_INTERVAL_S + ANSWER_S)
        self.assertEqual(set(), self.lost(play))

    def test_word_of_any_kind_ends_it(self) -> None:
        words: dict[str, Callable[[Play], None]] = {
            "datagram": lambda play: play._take_word(f"{CUT}/3"),
            "answer": lambda play: play.reach.ended(
                play.reach.began(Endpoint(CUT, 2)), PeerRefusal("")
            ),
            "replica": lambda play: play.replicas.append(FakeReplica(CUT, play.now)),
        }
        for name, say in words.items():
            with self.subTest(name):
                play = self.play()
                play.cut_zones = {CUT}
                play.call(play.of_zone(CUT)[0])
                play.until_lost(CUT)
                play.run(1.0)
                say(play)
                play.reach.check()
                self.assertEqual(set(), self.lost(play))

    def test_refused_connection_is_no_silence(self) -> None:
        play = self.play()
        endpoint = play.of_zone(CUT)[0].peer
        token = play.reach.began(endpoint)
        play.run(STEP_S)
        play.reach.ended(token, PeerUnreachable(endpoint, "refused"))
        play.run(1.0)
        self.assertEqual(0, play.questions)

    def test_calls_there_fail_at_once_and_others_are_chosen(self) -> None:
        play = self.play()
        play.cut_zones = {CUT}
        play.call(play.of_zone(CUT)[0])
        play.until_lost(CUT)
        self.assertTrue(play.reach.refuses(play.of_zone(CUT)[1].peer))
        self.assertFalse(play.reach.refuses(play.of_zone(OTHER)[1].peer))
        chosen = play.reach.reachable(play.members())
        self.assertEqual({OWN, OTHER}, {one.zone for one in chosen})
        only_there = play.of_zone(CUT)
        self.assertEqual(tuple(only_there), play.reach.reachable(only_there))

    def test_a_zone_whose_members_are_forgotten_counts_no_more(self) -> None:
        play = self.play()
        play.cut_zones = {CUT}
        play.call(play.of_zone(CUT)[0])
        play.until_lost(CUT)
        play._known = [one for one in play._known if one.zone != CUT]
        play.reach._on_members_changed()
        play.run(0.2)
        self.assertEqual(0, play.reach.unreachable_zones)
        self.assertFalse(play.reach.is_unreachable(CUT))

    def test_a_zone_whose_nodes_are_dead_is_reached_by_its_replicas(self) -> None:
        """An upgrade may stop all nodes of a small zone; its replicas go on."""
        play = self.play()
        there = {one.name for one in play.of_zone(CUT)}
        play.down = there
        play._known = [
            msgspec.structs.replace(one, state=MemberState.DEAD) if one.name in there else one
            for one in play._known
        ]
        play.reach._on_members_changed()
        play.call(play.of_zone(OTHER)[0])
        play.run(1.0)
        self.assertFalse(play.reach.is_unreachable(CUT))
        play.replicas = [FakeReplica(CUT, owes_since=play.now) for _ in range(3)]
        play.run(0.5)
        self.assertTrue(play.reach.is_unreachable(CUT))
        play.replicas = [FakeReplica(CUT)]
        play.reach._is_reached = lambda endpoint: True
        play.run(0.5)
        wait_until(lambda: not play.reach.is_unreachable(CUT), "a replica takes a connection")

    def test_own_zone_is_cut_off_where_more_is_lost_than_may_be(self) -> None:
        rows = (({CUT}, {OWN: True, CUT: True}), ({CUT, OTHER}, {OWN: True, CUT: False}))
        for cut_zones, expected in rows:
            with self.subTest(cut=sorted(cut_zones)):
                play = self.play()
                network = PeerNetwork(
                    play, mock.Mock(), mock.Mock(), play.reach, mock.Mock(), zones_lost_at_once=1
                )
                play.cut_zones = cut_zones
                play.call(play.of_zone(CUT)[0])
                play.until_lost(CUT)
                play.run(0.2)
                told = {zone: network.may_have_ended(f"{zone}/1#p") for zone in expected}
                self.assertEqual(expected, told)

    def test_granter_is_one_that_is_reached_and_grants_a_part(self) -> None:
        play = self.play()
        fleet = GatewayFleet(play, f"{OWN}/0", lambda one: True, play.reach.is_unreachable)
        self.assertEqual(15, len(fleet.ranked("tenant")))
        play.cut_zones = {CUT}
        play.call(play.of_zone(CUT)[0])
        play.until_lost(CUT)
        play.run(0.5)
        self.assertEqual({OWN, OTHER}, {one.zone for one in fleet.ranked("tenant")})
        view = fleet.view()
        self.assertEqual((10, 15), (view.live, view.known))
