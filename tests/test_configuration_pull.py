"""Pulling a configuration: parts, peers that fail, large steps between regions, older builds."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from quaymill import boot_clock
from quaymill.connection.control_messages import (
    ConfigurationPart,
    ControlState,
    PullConfiguration,
    PullControl,
)
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import PeerNoReply, PeerRefusal
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.process.control.active_configuration import ActiveConfiguration
from quaymill.process.control.configuration_compiler import ConfigurationCompiler
from quaymill.process.control.configuration_pull import (
    MAX_PART_BYTES,
    MIN_PART_BYTES,
    RELAY_WAIT_S,
    SMALL_BYTES,
    TRANSFER_IDLE_S,
    TRANSFERS_AT_ONCE,
    ConfigurationPull,
)
from quaymill.process.regions import RegionMap
from quaymill_bench.fleet_world import ROUTES, configuration, many_routes

REGIONS = {"near": "one", "far": "two"}
LARGE = ROUTES + many_routes(2500)


class _Gateway:
    """The configuration of one gateway, and its pulls."""

    def __init__(self, name: str, zone: str, fleet: dict[str, _Gateway]) -> None:
        self.name, self.zone, self._fleet = name, zone, fleet
        self.state = MemberState.ALIVE
        self.answers: list[Any] = []
        self.asked: list[tuple[str, Any]] = []
        self.answer_any = self.answer
        self.handler = None
        control = GATEWAY_PROTOCOL.control
        self.active = ActiveConfiguration(
            ConfigurationCompiler(control.read_configuration, control.routes_key)
        )
        self.pull = ConfigurationPull(
            self.active, self, self, self, RegionMap(zone, zone_regions=REGIONS)
        )
        fleet[name] = self

    def offer(self, version: int, routes: tuple[dict[str, Any], ...] = ROUTES) -> None:
        self.active.offer_document(configuration(version, routes), "store", 0.0)

    def pull_all(self, limit: int = 60) -> None:
        """Pull until the newest version of the fleet is in force, ``limit`` times at most."""
        newest = max(one.active.routes.version for one in self._fleet.values())
        while self.active.routes.version < newest and limit:
            self.pull.pull_once()
            limit -= 1

    # As the membership.

    def local(self) -> Member:
        endpoint = Endpoint(self.name, 1)
        generation = self.active.routes.version
        return Member(self.name, self.zone, "", endpoint, endpoint, self.state, 0, generation)

    def members(self) -> tuple[Member, ...]:
        return tuple(one.local() for one in self._fleet.values())

    live = members

    # As client and server.

    def register(self, message_type: type, handler: Any) -> None:
        self.handler = handler

    def answer(self, message: Any) -> Any:
        return self.handler(message)

    def call(self, endpoint: Endpoint, message: Any, reply_type: type, timeout_s: float) -> Any:
        self.asked.append((endpoint.host, message))
        return self._fleet[endpoint.host].answer_any(message)


class PullTest(unittest.TestCase):
    """One row for each way in which a transfer may go."""

    def setUp(self) -> None:
        self.fleet: dict[str, _Gateway] = {}
        self.now = 100.0
        clock = mock.patch.object(boot_clock, "now", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)

    def add(self, name: str, zone: str = "near", version: int = 1) -> _Gateway:
        gateway = _Gateway(name, zone, self.fleet)
        gateway.offer(version)
        return gateway

    def test_steps_are_applied_in_order(self) -> None:
        ahead, behind = self.add("ahead"), self.add("behind")
        reached = []
        behind.active.subscribe(lambda routes: reached.append(routes.version))
        ahead.offer(2, LARGE[:6])
        ahead.offer(3, LARGE)
        behind.pull_all()
        self.assertEqual([2, 3], reached)
        self.assertEqual(ahead.active.routes, behind.active.routes)

    def test_small_step_takes_one_request(self) -> None:
        ahead, behind = self.add("ahead"), self.add("behind")
        ahead.offer(2, LARGE[:6])
        behind.pull_all()
        self.assertEqual(1, len(behind.asked))

    def test_parts_that_arrived_are_kept_when_a_peer_fails(self) -> None:
        first, second, behind = self.add("first"), self.add("second"), self.add("behind")
        first.offer(2, LARGE)
        behind.pull.pull_once()
        behind.pull.pull_once()
        received = len(behind.pull._transfer.data)
        self.assertGreater(received, 0)
        second.active.offer_step(first.active.steps.next_after(1), "peer", 0.0)
        first.answer_any = lambda message: PeerNoReply(Endpoint("first", 1), "timed out")
        behind.pull_all()
        self.assertEqual(2, behind.active.routes.version)
        offsets = [one.offset for host, one in behind.asked if host == "second"]
        self.assertEqual(received, offsets[0])

    def test_parts_get_smaller_while_answers_time_out_and_larger_again(self) -> None:
        ahead, behind = self.add("ahead"), self.add("behind")
        ahead.offer(2, LARGE)
        behind.pull.pull_once()
        ahead.answer_any = lambda message: PeerNoReply(Endpoint("ahead", 1), "timed out")
        for _ in range(10):
            behind.pull.pull_once()
            self.now += 10.0
        self.assertEqual(MIN_PART_BYTES, behind.asked[-1][1].max_bytes)
        ahead.answer_any = ahead.answer
        behind.pull_all()
        self.assertEqual(2, behind.active.routes.version)
        sizes = [one.max_bytes for _, one in behind.asked]
        self.assertEqual(sorted(sizes[-3:]), sizes[-3:])

    def test_unresponsive_peer_is_avoided_while_another_is_ahead(self) -> None:
        stalled, ahead = self.add("stalled"), self.add("ahead", "far")
        behind = self.add("behind")
        stalled.offer(2, LARGE[:6])
        ahead.offer(2, LARGE[:6])
        stalled.answer_any = lambda message: PeerNoReply(Endpoint("stalled", 1), "timed out")
        behind.pull_all(2)
        self.assertEqual(2, behind.active.routes.version)

    def test_nearest_peer_is_asked(self) -> None:
        for name, zone in (("a", "far"), ("b", "near"), ("c", "far")):
            self.add(name, zone).offer(2, LARGE[:6])
        behind = self.add("behind")
        behind.pull_all()
        self.assertEqual(["b"], [host for host, _ in behind.asked])

    def test_peer_that_restarted_behind_is_avoided(self) -> None:
        restarted, ahead, behind = self.add("restarted"), self.add("ahead"), self.add("behind")
        restarted.offer(2, LARGE[:6])
        ahead.offer(2, LARGE[:6])
        restarted.answer_any = lambda message: ConfigurationPart()
        for _ in range(3):
            behind.pull.pull_once()
        self.assertEqual(2, behind.active.routes.version)

    def test_few_gateways_of_a_region_transfer_a_large_step_from_another(self) -> None:
        ahead = self.add("ahead", "far")
        ahead.offer(2, LARGE)
        behind = [self.add(f"behind-{number}") for number in range(8)]
        for gateway in behind:
            gateway.pull_all(30)
        current = [one for one in behind if one.active.routes.version == 2]
        sources = [{host for host, _ in one.asked} for one in current]
        self.assertTrue(current)
        self.assertLessEqual(sum(1 for hosts in sources if hosts == {"ahead"}), 2)

    def test_others_follow_when_the_first_do_not_get_it(self) -> None:
        ahead = self.add("ahead", "far")
        ahead.offer(2, LARGE)
        behind = [self.add(f"behind-{number}") for number in range(8)]
        waiting = []
        for gateway in behind:
            gateway.pull.pull_once()
            asked = len(gateway.asked)
            gateway.pull.pull_once()
            if len(gateway.asked) == asked:
                waiting.append(gateway)
        self.assertEqual(6, len(waiting))
        self.now += 3 * RELAY_WAIT_S
        for gateway in waiting:
            gateway.pull_all()
            self.assertEqual(2, gateway.active.routes.version)

    def test_large_steps_go_to_a_few_gateways_at_a_time(self) -> None:
        ahead = self.add("ahead")
        ahead.offer(2, LARGE)
        step = ahead.active.steps.next_after(1)

        def request(sender: str, offset: int) -> Any:
            return ahead.answer(PullConfiguration(sender, 1, step.digest, offset, MAX_PART_BYTES))

        names = [f"gateway-{number}" for number in range(TRANSFERS_AT_ONCE)]
        for name in names:
            self.assertIsInstance(request(name, 0), ConfigurationPart)
        self.assertIsInstance(request("late", 0), PeerRefusal)
        last_offset = len(step.data) - 1
        self.assertIsInstance(request(names[0], last_offset), ConfigurationPart)
        self.assertIsInstance(request("late", 0), ConfigurationPart)
        self.now += 2 * TRANSFER_IDLE_S
        self.assertIsInstance(request("later", 0), ConfigurationPart)

    def test_first_answer_tells_only_the_size_of_a_large_step(self) -> None:
        ahead = self.add("ahead")
        ahead.offer(2, LARGE)
        part = ahead.answer(PullConfiguration("behind", 1, max_bytes=SMALL_BYTES))
        self.assertEqual(b"", part.data)
        self.assertGreater(part.total_bytes, SMALL_BYTES)

    def test_damaged_transfer_is_dropped(self) -> None:
        ahead, behind = self.add("ahead"), self.add("behind")
        ahead.offer(2, LARGE[:6])

        def damaged(message: Any) -> Any:
            part = ahead.answer(message)
            return ConfigurationPart(
                part.base_version, part.version, part.digest, part.total_bytes, 0, part.data[::-1]
            )

        ahead.answer_any = damaged
        behind.pull.pull_once()
        self.assertEqual(1, behind.active.routes.version)
        ahead.answer_any = ahead.answer
        self.now += 10.0
        behind.pull_all()
        self.assertEqual(2, behind.active.routes.version)

    def test_gateway_of_an_older_build_sends_the_whole_document(self) -> None:
        older, behind = self.add("older"), self.add("behind")
        older.offer(2, LARGE[:6])

        def answer(message: Any) -> Any:
            if isinstance(message, PullControl):
                return ControlState(older.active.document)
            return PeerRefusal("no handler")

        older.answer_any = answer
        behind.pull.pull_once()
        self.assertEqual(2, behind.active.routes.version)


if __name__ == "__main__":
    unittest.main()
