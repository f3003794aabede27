"""Crashes of replicas are detected by a new connection, and reported to every gateway.

Guards against requests that crash one replica after another, and against requests that are blocked
after closed connections that were no crashes.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import unittest
from collections.abc import Iterator

from fleet_rig import FleetRig, wait_until
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.replica_connection import ReplicaConnections
from quaymill.process.poison.guard import CrashGuard
from quaymill.request.poison import MAX_CRASHES, PoisonRecords, RequestIdentity
from quaymill_bench.ports import free_port
from quaymill_standins.fleet_replica import ReplicaBehaviour
from quaymill_standins.fleet_store import FleetStoreFaults

OLD_CRASH_MS = 1_000_000
A = RequestIdentity("a")


@contextlib.contextmanager
def listener(*, closes: bool) -> Iterator[Endpoint]:
    """Accept connections, and close each at once if ``closes``."""
    server = socket.create_server(("127.0.0.1", 0))
    accepted = []

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = server.accept()
                if closes:
                    connection.close()
                else:
                    accepted.append(connection)

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield Endpoint("127.0.0.1", server.getsockname()[1])
    finally:
        server.shutdown(socket.SHUT_RDWR)
        server.close()
        for connection in accepted:
            connection.close()


class GuardTest(unittest.TestCase):
    """A closed connection is a crash only if the replica accepts no new one."""

    def setUp(self) -> None:
        self.records = PoisonRecords()
        self.reported = []
        connections = ReplicaConnections(LinkFilter())
        self.addCleanup(connections.close)
        self.guard = CrashGuard(self.records, connections, self.reported.append)

    def test_a_replica_that_refuses_connections_has_crashed(self) -> None:
        self.guard.handle_early_close(A, "replica", Endpoint("127.0.0.1", free_port()), begun=False)
        self.assertEqual(1, self.records.crash_count("a"))
        self.assertEqual(["a"], [record.key for record in self.reported])

    def test_a_replica_that_accepts_connections_has_not_crashed(self) -> None:
        with listener(closes=False) as endpoint:
            self.guard.handle_early_close(A, "replica", endpoint, begun=False)
        self.assertEqual(0, self.records.crash_count("a"))
        self.assertEqual([], self.reported)

    def test_a_replica_that_closes_new_connections_has_crashed(self) -> None:
        with listener(closes=True) as endpoint:
            self.guard.handle_early_close(A, "replica", endpoint, begun=False)
        self.assertEqual(1, self.records.crash_count("a"))

    def test_a_content_is_barred_after_enough_crashes(self) -> None:
        for number in range(MAX_CRASHES):
            self.assertEqual(0.0, self.guard.barred_for_s(A))
            self.guard.handle_early_close(
                A, f"replica-{number}", Endpoint("127.0.0.1", free_port()), begun=False
            )
        self.assertGreater(self.guard.barred_for_s(A), 0.0)


class SharingTest(unittest.TestCase):
    """Crashes that one gateway detects are known to the others."""

    def setUp(self) -> None:
        self.rig = FleetRig(gateways=3, storage=0, engines=1).start()
        self.addCleanup(self.rig.stop)

    def crash(self, gateway: str, content: str, crashes: int = MAX_CRASHES) -> None:
        for number in range(crashes):
            endpoint = Endpoint("127.0.0.1", free_port())
            self.rig.gateways[gateway]._guard.handle_early_close(
                RequestIdentity(content), f"r-{number}", endpoint, begun=False
            )

    def bars(self, gateway: str, content: str) -> bool:
        return self.rig.gateways[gateway]._guard.barred_for_s(RequestIdentity(content)) > 0

    def partition(self, name: str, active: bool) -> None:
        """Partition a gateway from the others in both directions, or end the partition."""
        isolated = self.rig.gateways[name].network
        for other, gateway in self.rig.gateways.items():
            if other != name:
                blocked = {isolated.membership.local().peer} if active else set()
                gateway.network.client._link_filter.set_blocked(frozenset(blocked))
        others = {g.network.membership.local().peer for n, g in self.rig.gateways.items()}
        isolated.client._link_filter.set_blocked(frozenset(others if active else ()))

    def test_crash_is_known_to_all_gateways_at_once(self) -> None:
        self.crash("gateway-0", "a")
        for name in self.rig.gateways:
            wait_until(lambda name=name: self.bars(name, "a"), f"{name} bars it", 1.0)

    def test_crashes_detected_by_different_gateways_add_up(self) -> None:
        for number, name in enumerate(self.rig.gateways):
            endpoint = Endpoint("127.0.0.1", free_port())
            self.rig.gateways[name]._guard.handle_early_close(
                A, f"r-{number}", endpoint, begun=False
            )
        for name in self.rig.gateways:
            wait_until(lambda name=name: self.bars(name, "a"), f"{name} bars it", 1.0)
        wait_until(lambda: self.rig.store.read("quaymill-barred-requests", "a"), "the store has it")

    def test_partitioned_gateway_learns_of_crashes_afterwards(self) -> None:
        self.partition("gateway-2", active=True)
        self.crash("gateway-0", "a")
        wait_until(lambda: self.bars("gateway-1", "a"), "gateway-1 bars it")
        self.assertFalse(self.bars("gateway-2", "a"))
        self.partition("gateway-2", active=False)
        wait_until(lambda: self.bars("gateway-2", "a"), "gateway-2 bars it", 3.0)

    def test_barred_request_is_stored_after_a_store_outage(self) -> None:
        self.rig.store.faults = FleetStoreFaults(down=True)
        self.crash("gateway-0", "a")
        wait_until(lambda: self.bars("gateway-1", "a"), "gateway-1 bars it")
        self.rig.store.faults = FleetStoreFaults()
        wait_until(lambda: self.rig.store.read("quaymill-barred-requests", "a"), "the store has it")

    def test_expired_objects_are_removed_and_foreign_ones_ignored(self) -> None:
        spec = {"incarnations": ["r"] * MAX_CRASHES, "crashed_at_ms": OLD_CRASH_MS}
        self.rig.store.put("quaymill-barred-requests", "old", spec)
        self.rig.store.put("quaymill-barred-requests", "foreign", {"incarnations": 7})
        for name in list(self.rig.gateways):
            self.rig.gateways[name].kill()
        for name in list(self.rig.gateways):
            self.rig.start_gateway(name, self.rig.settings[name].zone)
        wait_until(
            lambda: self.rig.store.read("quaymill-barred-requests", "old") is None,
            "the old object is removed",
        )
        for name in self.rig.gateways:
            wait_until(lambda n=name: self.rig.gateways[n]._crash_sharing._caught_up, "caught up")
            self.assertFalse(self.bars(name, "old") or self.bars(name, "foreign"))


class AbortedAnswersTest(unittest.TestCase):
    """Answers that a running replica aborts do not block the request."""

    def test_request_with_aborted_answers_is_not_blocked(self) -> None:
        rig = FleetRig(gateways=1, storage=0, engines=1).start()
        self.addCleanup(rig.stop)
        for replica in rig.of_service("application"):
            replica.behaviour = ReplicaBehaviour(break_off=True)
        for number in range(2 * MAX_CRASHES):
            answer = rig.ask("gateway-0", "/write/x", f"broken-{number}", b"body")
            self.assertEqual(502, answer.status)
        for replica in rig.of_service("application"):
            replica.behaviour = ReplicaBehaviour()
        answer = rig.ask("gateway-0", "/write/x", "sound", b"body")
        self.assertEqual(200, answer.status)
