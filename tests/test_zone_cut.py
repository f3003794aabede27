"""A zone is partitioned: its gateway serves requests in time with the replicas of its zone."""

from __future__ import annotations

import time
import unittest
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any
from unittest import mock

import attrs
from eliot import add_destinations, remove_destination
from urllib3.exceptions import HTTPError

from fleet_rig import FleetRig, wait_until
from quaymill.connection.endpoint import Endpoint
from quaymill.process.gateway_node import GatewayNode
from quaymill.process.storage_node import StorageNode
from quaymill.request import forwarding
from quaymill_bench.fleet_world import ZONES
from quaymill_bench.loopback_proxy import LinkState, LoopbackProxy
from quaymill_standins.fleet_replica import FleetReplica, ReplicaBehaviour

CUT_ZONE = ZONES[0]
GATEWAY = "gateway-0"
OBJECTIVE_S = 0.3
"""The callers' shortest objective."""
DETECTED_AFTER_S = 2 * OBJECTIVE_S
"""Time from the partition after which the other zones must be known as unreachable.

Allows one retry of a request that was late when the partition began."""
WHOLE_ANSWER_TIMEOUT_S = 2.0
"""Timeout for the first byte: eight times half of the route's objective (0.5 s)."""
RETRIED_WITHIN_S = WHOLE_ANSWER_TIMEOUT_S / 2
SERVICE_S = 0.2
INCOMPLETE = 0
SEND_INTERVAL_S = 0.1
SEND_DURATION_S = 3.0
WARM_UP_S = 1.0
QUICK = ReplicaBehaviour(events=2, event_s=SERVICE_S / 2)


@attrs.frozen
class RequestResult:
    """One request as its caller saw it; times in seconds, status ``INCOMPLETE`` if incomplete."""

    request_id: str
    sent_at: float
    took_s: float
    status: int


class CutCase(unittest.TestCase):
    """Three zones, each with one gateway, two storage nodes and an engine.

    The partition silently drops all packets between one zone and the others.
    """

    ZONES_LOST_AT_ONCE = 1

    def setUp(self) -> None:
        self.rig = FleetRig(3, 6, 3, zones_lost_at_once=self.ZONES_LOST_AT_ONCE)
        self.addCleanup(self.rig.stop)
        self.rig.start()
        self.lines: list[dict[str, Any]] = []
        receive_line = self.lines.append
        add_destinations(receive_line)
        self.addCleanup(remove_destination, receive_line)
        self.proxies = [
            self.put_behind_proxy(one)
            for one in list(self.rig.replicas.values())
            if one.zone != CUT_ZONE
        ]
        self.executor = ThreadPoolExecutor(64)
        self.addCleanup(self.executor.shutdown)

    def lines_of(self, request_id: str) -> list[dict[str, Any]]:
        """Return the log lines of a request."""
        return [line for line in self.lines if line.get("request_id") == request_id]

    def kinds_of(self, request_id: str) -> list[str]:
        """Return the kinds of the log lines of a request, in order."""
        return [line["message_type"] for line in self.lines_of(request_id)]

    def put_behind_proxy(self, replica: FleetReplica) -> LoopbackProxy:
        """Let gateways connect to a replica through a proxy that can drop all packets."""
        proxy = LoopbackProxy(("127.0.0.1", replica.port))
        self.addCleanup(proxy.stop)
        address = f"127.0.0.1:{proxy.port}"
        self.rig.store.put("servers", replica.id, replica.entry(seq=2) | {"address": address})
        wait_until(
            lambda: all(
                gateway._table.get(replica.id).entry.address.port == proxy.port
                for gateway in self.rig.gateways.values()
            ),
            f"{replica.id} is known behind its proxy",
        )
        return proxy

    @property
    def zone_reachability(self) -> Any:
        """The zone reachability as known to the gateway of the partitioned zone."""
        return self.rig.gateways[GATEWAY].network.zone_reachability

    def make_quick(self) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = QUICK

    def cut(self) -> None:
        """Partition the zone."""
        for proxy in self.proxies:
            proxy.set_state(LinkState.SILENT)
        nodes: dict[str, GatewayNode | StorageNode] = {**self.rig.gateways, **self.rig.storage}
        peers = {
            name: Endpoint(settings.address, self.rig.peer_port)
            for name, settings in self.rig.settings.items()
        }
        for name, node in nodes.items():
            inside = self.rig.settings[name].zone == CUT_ZONE
            blocked = {
                peer
                for other, peer in peers.items()
                if (self.rig.settings[other].zone == CUT_ZONE) != inside
            }
            node.network.client._link_filter.set_blocked(frozenset(blocked))

    def heal(self) -> None:
        """End the partition."""
        for proxy in self.proxies:
            proxy.set_state(LinkState.OPEN)
        for node in (*self.rig.gateways.values(), *self.rig.storage.values()):
            node.network.client._link_filter.set_blocked(frozenset())

    def send(self, request_id: str, path: str = "/resumable/x") -> Future[RequestResult]:
        """Send a request to the gateway of the partitioned zone."""

        def ask() -> RequestResult:
            began = time.monotonic()
            try:
                status = self.rig.ask(GATEWAY, path, request_id, tokens="/read" not in path).status
            except HTTPError:
                status = INCOMPLETE
            return RequestResult(request_id, began, time.monotonic() - began, status)

        return self.executor.submit(ask)

    def send_for(self, for_s: float, name: str) -> list[Future[RequestResult]]:
        """Send requests at a constant rate."""
        until = time.monotonic() + for_s
        sent: list[Future[RequestResult]] = []
        while time.monotonic() < until:
            sent.append(self.send(f"{name}-{len(sent)}"))
            time.sleep(SEND_INTERVAL_S)
        return sent


class ZoneCutTest(CutCase):
    """The gateway of the partitioned zone."""

    def test_requests_are_served_in_time_by_the_local_zone(self) -> None:
        self.make_quick()
        sent = self.send_for(WARM_UP_S, "before")
        self.cut()
        cut_at = time.monotonic()
        sent += self.send_for(SEND_DURATION_S, "after")
        served = [one.result() for one in sent]
        failed = [one for one in served if one.status != 200]
        self.assertEqual([], failed, [self.lines_of(one.request_id) for one in failed])
        after = [one for one in served if one.sent_at >= cut_at + DETECTED_AFTER_S]
        self.assertGreater(len(after), 10)
        late = [one for one in after if one.took_s > SERVICE_S + OBJECTIVE_S]
        self.assertEqual([], late)

    def test_zone_stays_unreachable_once_its_nodes_count_as_dead(self) -> None:
        """Guards against requests that wait for replicas beyond the partition.

        Its replicas are behind proxies that accept connections during the partition.
        """
        self.make_quick()
        self.cut()
        for index in range(8):  # More than the local engine has slots.
            self.send(f"first-{index}")
        wait_until(
            lambda: all(self.zone_reachability.is_unreachable(zone) for zone in ZONES[1:]),
            "both are unreachable",
        )
        membership = self.rig.gateways[GATEWAY].network.membership
        wait_until(
            lambda: {one.zone for one in membership.live()} == {CUT_ZONE},
            "all nodes beyond the partition count as dead",
        )
        sent = self.send_for(SEND_DURATION_S, "after")
        self.assertEqual({200}, {one.result().status for one in sent})
        attempts = [
            line
            for line in self.lines
            if line.get("message_type") == "request:attempt"
            and line["request_id"].startswith("after")
        ]
        zones = [self.rig.replicas[line["replica"]].zone for line in attempts]
        self.assertEqual([CUT_ZONE] * len(sent), zones, attempts)

    def test_request_waiting_for_its_first_byte_is_retried_at_once(self) -> None:
        # Keeps the replica's silence from ending the attempt before its zone counts as unreachable.
        patch = mock.patch.object(forwarding, "SILENCE_TIMEOUT_S", WHOLE_ANSWER_TIMEOUT_S)
        patch.start()
        self.addCleanup(patch.stop)
        local, other = self.applications()
        local.behaviour = other.behaviour = ReplicaBehaviour(answer_s=4.0)
        # After two requests, the local replica is so loaded that another zone is preferred.
        for name in ("first", "second"):
            self.send(name, "/read/x")
            wait_until(lambda name=name: local.runs_of(name), f"the {name} runs in the local zone")
        third = self.send("third", "/read/x")
        wait_until(lambda: other.runs_of("third"), "the third runs in another zone")
        local.behaviour = ReplicaBehaviour()
        self.cut()
        self.assertEqual(200, third.result().status)
        wait_until(lambda: "request:ended" in self.kinds_of("third"), "its end is logged")
        attempts = [
            (line["replica"], line["reason"])
            for line in self.lines_of("third")
            if line["message_type"] == "request:attempt"
        ]
        unreachable_attempt = (other.id, "the replica's zone is unreachable")
        self.assertEqual([unreachable_attempt, (local.id, "")], attempts)
        self.assertLess(third.result().took_s, RETRIED_WITHIN_S)

    def applications(self) -> tuple[FleetReplica, FleetReplica]:
        """Return the application of the partitioned zone, and that of another zone."""
        local, other = sorted(
            self.rig.of_service("application"), key=lambda one: one.zone != CUT_ZONE
        )
        return local, other

    def test_other_zones_are_reachable_again_after_the_partition(self) -> None:
        self.make_quick()
        self.cut()
        for index in range(8):  # More than the local engine has slots.
            self.send(f"r-{index}")
        wait_until(
            lambda: all(self.zone_reachability.is_unreachable(zone) for zone in ZONES[1:]),
            "both are unreachable",
        )
        self.heal()
        began = time.monotonic()
        wait_until(
            lambda: not any(self.zone_reachability.is_unreachable(zone) for zone in ZONES),
            "all are reachable",
        )
        self.assertLess(time.monotonic() - began, DETECTED_AFTER_S)
        replicas = self.rig.gateways[GATEWAY]._table.of_service("engine")
        self.assertFalse(any(replica.unreachable for replica in replicas))
