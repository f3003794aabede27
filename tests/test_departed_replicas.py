"""A replica that has left gets no requests again from gateways that knew it.

Guards against a gateway with an outdated list of replicas that overrides the newer lists of others.
"""

from __future__ import annotations

import signal
import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

import attrs
from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import JobItem
from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.process.jobs.coordinated_job import CoordinatedItem
from quaymill.process.jobs.item_run import run_item
from quaymill.process.replica_set.router import Router
from quaymill.process.serving_settings import MS_PER_S, Bounds
from quaymill.request.deadline import Deadline
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.forwarding import Forwarder
from quaymill.request.outcome import NotRun
from quaymill.request.presence import CallerPresence
from quaymill_bench.fleet_processes import FleetProcess, LocalFleet
from quaymill_bench.fleet_world import request_headers
from quaymill_bench.loopback_proxy import LinkState
from quaymill_standins.fleet_replica import FleetReplica
from test_evacuated_replicas import ROUTE, Case

OUTDATED_S = 2.8
"""Longer than the time without reads after which the store counts as unavailable."""
LEAVES_AFTER_S = 0.5
WATCHED_S = 4.0
HEARTBEAT_S = 0.2
REQUEST_INTERVAL_S = 0.02
DRAIN_S = Bounds().drain_ms / MS_PER_S


class OutdatedGatewayTest(unittest.TestCase):
    """One gateway of three misses that a replica leaves; each gateway is a process."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="quaymill-departed-")
        self.addCleanup(folder.cleanup)
        self.fleet = LocalFleet(Path(folder.name) / "fleet", storage=1, engines=1, linked=True)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.outdated, *self.others = self.fleet.gateways
        self.stopping = threading.Event()
        self.statuses: list[int] = []

    def start_thread(self, target, *args) -> None:
        thread = threading.Thread(target=target, args=args, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.stopping.set)

    def write_heartbeats(self, replica: FleetReplica) -> None:
        """Raise the store's revision, as the replicas' heartbeats do."""
        sequence = 1
        while not self.stopping.wait(HEARTBEAT_S):
            sequence += 1
            spec = self.fleet.store.read("servers", replica.id)["spec"]
            self.fleet.store.put("servers", replica.id, spec | {"seq": sequence})

    def send_requests(self, gateway: FleetProcess) -> None:
        number = 0
        while not self.stopping.wait(REQUEST_INTERVAL_S):
            number += 1
            name = f"write-{gateway.name}-{number}"
            headers = request_headers("write", name, 4000)
            answer = self.fleet.call(gateway, "POST", "/write/x", b"body", headers)
            self.statuses.append(answer.status)

    def logged(self, gateway: FleetProcess, event: str) -> list[str]:
        """Return the log lines of a gateway about an event."""
        lines = gateway.log_file.read_text().splitlines()
        return [line for line in lines if f'"message_type":"{event}"' in line]

    def cut_off(self, state: LinkState) -> None:
        """Set the state of the outdated gateway's connections to other gateways."""
        for target, proxy in self.outdated.links_by_target.items():
            if target in {one.name for one in self.others}:
                proxy.set_state(state)

    def make_outdated(self, how: str) -> None:
        # It cannot receive the list of another gateway, so it reads the store first afterwards.
        self.cut_off(LinkState.RESET)
        if how == "frozen":
            self.outdated.send(signal.SIGSTOP)
        else:
            self.outdated.store_proxy.set_state(LinkState.RESET)

    def make_current(self) -> None:
        self.outdated.send(signal.SIGCONT)
        self.outdated.store_proxy.set_state(LinkState.OPEN)

    @params("frozen", "refused by the store")
    def test_departed_replica_gets_no_requests_from_other_gateways(self, how: str) -> None:
        # The leaving one is in the zone of another gateway, which prefers it.
        staying, leaving = (
            one for one in self.fleet.replicas.values() if one.service == "application"
        )
        self.start_thread(self.write_heartbeats, staying)
        self.make_outdated(how)
        time.sleep(LEAVES_AFTER_S)
        self.fleet.add_replica("application", staying.zone)
        self.fleet.store.remove("servers", leaving.id)
        departed_at = time.monotonic()
        for gateway in self.others:
            self.start_thread(self.send_requests, gateway)
        time.sleep(OUTDATED_S)
        self.make_current()
        time.sleep(WATCHED_S)
        late = [one for one in leaving.arrivals if one.at_s > departed_at + DRAIN_S]
        self.assertEqual([], late)
        for gateway in self.others:
            self.assertEqual([], self.logged(gateway, "replica:listed_again"))
        self.assertEqual({200}, set(self.statuses))


class _SlowConnections:
    """Opens connections, during which replicas may begin to drain; every request fails.

    Attributes
    ----------
    sent
        Replicas to which a request was sent, in order.
    """

    def __init__(self) -> None:
        self.on_connect = lambda: None
        self.sent: list[str] = []

    def send(self, endpoint: Endpoint, request: object, *, may_send, **options: object) -> NotRun:
        self.on_connect()
        if may_send():
            self.sent.append(endpoint.host)
        return NotRun(503, "no connection", "")


class DrainingAfterChoiceTest(Case):
    """A replica begins to drain after it was chosen, and before the request is sent."""

    def setUp(self) -> None:
        super().setUp()
        self.connections = _SlowConnections()
        self.queue = mock.Mock()
        self.queue.wait_for_slot.return_value = None
        self.replica = self.table.get("a1")

    def drain(self, *_: object) -> None:
        self.replica.entry = attrs.evolve(self.replica.entry, draining=True)

    def forward(self, place=lambda first, constraints: None) -> None:
        router = Router(self.table, "a", "seed", place)
        protocol = GATEWAY_PROTOCOL.replicas
        forwarder = Forwarder(router, self.connections, protocol, mock.Mock(), self.queue)
        request = ForwardedRequest("r", "POST", "/x", (), b"", Deadline.after(5.0))
        forwarder.forward(request, ROUTE, mock.Mock(started=False), CallerPresence())

    def check_only_b_got_the_request(self) -> None:
        self.assertEqual(["b1"], self.connections.sent)
        self.assertEqual(0.0, self.replica.penalty)

    def test_request_that_was_placed_before(self) -> None:
        self.forward(self.drain)
        self.check_only_b_got_the_request()

    def test_request_that_was_granted_a_slot_before(self) -> None:
        def grant(*_: object) -> object:
            self.drain()
            return self.replica

        self.queue.wait_for_slot.side_effect = grant
        self.forward()
        self.check_only_b_got_the_request()

    def test_request_whose_connection_is_being_opened(self) -> None:
        self.connections.on_connect = self.drain
        self.forward()
        self.check_only_b_got_the_request()

    @params("before the connection", "during it")
    def test_item(self, when: str) -> None:
        if when == "during it":
            self.connections.on_connect = self.drain
        else:
            self.drain()
        item = CoordinatedItem(0, JobItem("00000000000000aa", "/r/1", {}, b"", 10))
        protocol = GATEWAY_PROTOCOL.items
        outcome = run_item(item, "host", self.replica, self.connections, protocol)
        self.assertEqual([], self.connections.sent)
        self.assertFalse(outcome.blames_replica)
        self.assertEqual(0.0, self.replica.penalty)
