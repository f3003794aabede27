"""A confirmed configuration is in force everywhere in time, whatever else changes or stands still.

The fleet has the size and the links of two regions with 60 gateways, most of which is taken by a
burst of requests.
"""

from __future__ import annotations

import time
import unittest
from typing import Any

import msgspec

from fleet_support import eventually
from quaymill import boot_clock
from quaymill.connection.object_store import ObjectKind
from quaymill.process.control.configuration_feed import WATCHING_GATEWAYS
from quaymill_bench.fleet_world import ROUTES, configuration, many_routes, route
from slow_network import Fleet

ZONES_BY_REGION = {"east": ("east-a", "east-b", "east-c"), "west": ("west-a", "west-b", "west-c")}
GATEWAYS_PER_ZONE = 10
GATEWAY_BYTES_PER_S = 0.9e6
REGION_BYTES_PER_S = 1.1e6
CHOKED_BYTES_PER_S = 10e3
READ_INTERVAL_S = 1.8
IN_FORCE_S = 4.0
"""Time after the confirmation of a change at which it must be in force."""
DRAIN_S = 4.0
LARGE_CHANGE_ROUTES = 1220
NEXT_CHANGE_S = 1.1
"""Time between the confirmations of a small change and of the large one that follows it."""
START_S = 20.0
CALM_S = 0.5
CATCH_UP_S = 20.0

SMALL = (*ROUTES, route("added", "/added/", "idempotent"))
LARGE = SMALL + many_routes(LARGE_CHANGE_ROUTES)


def _replica_spec(state: str) -> dict[str, Any]:
    return {
        "service": "engine",
        "address": "127.0.0.1:9",
        "zone": "west-a",
        "slots": 4,
        "state": state,
    }


class SpreadTest(unittest.TestCase):
    """Changes reach gateways over links that are nearly full."""

    def setUp(self) -> None:
        self.fleet = Fleet(
            ZONES_BY_REGION,
            GATEWAYS_PER_ZONE,
            GATEWAY_BYTES_PER_S,
            REGION_BYTES_PER_S,
            READ_INTERVAL_S,
        )
        self.addCleanup(self.fleet.stop)

    def _start(self, routes: tuple[dict[str, Any], ...] = ROUTES) -> None:
        self.fleet.store.put(ObjectKind.REPLICAS, "replica", _replica_spec("ready"))
        self._configure(1, routes)
        self.fleet.start()
        eventually(lambda: not self.fleet.behind(1), START_S)

    def _configure(self, version: int, routes: tuple[dict[str, Any], ...]) -> float:
        document = configuration(version, routes)
        return self.fleet.store.put(ObjectKind.CONFIGURATION, "main", document)

    def _await_calm(self) -> None:
        """Wait until the transfers of the start have ended."""
        store = self.fleet.network.nodes["store"].up
        sent = -1
        deadline = boot_clock.now() + START_S
        while sent != store.sent_bytes and boot_clock.now() < deadline:
            sent = store.sent_bytes
            time.sleep(CALM_S)

    def _await_read(self) -> None:
        """Wait until a gateway has just read the store."""
        reads = self.fleet.store.reads
        eventually(lambda: self.fleet.store.reads > reads, START_S)

    def _change_twice(self) -> float:
        """Confirm a small change and then a large one; return when the small one was confirmed."""
        self._await_read()
        confirmed_at = self._configure(2, SMALL)
        time.sleep(NEXT_CHANGE_S)
        self._configure(3, LARGE)
        return confirmed_at

    def _await_bound(self, confirmed_at: float) -> None:
        time.sleep(max(0.0, confirmed_at + IN_FORCE_S - boot_clock.now()))

    def _choke(self, name: str) -> None:
        node = self.fleet.network.nodes[name]
        node.up.bytes_per_s = node.down.bytes_per_s = CHOKED_BYTES_PER_S

    def test_small_change_is_in_force_in_time_beside_a_large_one(self) -> None:
        """Guards against a route answered 404 in the region beyond a narrow link."""
        self._start()
        confirmed_at = self._change_twice()
        self._await_bound(confirmed_at)
        self.assertEqual([], self.fleet.behind(2))

    def test_large_change_is_in_force_in_time(self) -> None:
        self._start()
        self._await_bound(self._configure(2, LARGE))
        self.assertEqual([], self.fleet.behind(2))

    def test_change_that_a_newer_one_follows_is_read(self) -> None:
        """Guards against a version that no gateway reads as the next one replaces it."""
        self._start()
        self._change_twice()
        eventually(lambda: not self.fleet.behind(3), CATCH_UP_S)
        versions = {one[0] for changes in self.fleet.in_force.values() for one in changes}
        self.assertEqual({1, 2, 3}, versions)

    def test_small_change_costs_less_than_one_document(self) -> None:
        self._start(LARGE)
        self._await_calm()
        changed = (LARGE[0] | {"timeout_ms": 9000}, *LARGE[1:])
        document = msgspec.json.encode(configuration(2, changed))
        store = self.fleet.network.nodes["store"].up
        store_before, before = store.sent_bytes, self.fleet.network.sent_bytes()
        self._configure(2, changed)
        eventually(lambda: not self.fleet.behind(2), CATCH_UP_S)
        store_cost = store.sent_bytes - store_before
        cost_between_gateways = self.fleet.network.sent_bytes() - before - store_cost
        self.assertLess(cost_between_gateways, len(document))
        # The store sends whole documents only, one to each gateway that watches it.
        self.assertLess(store_cost, (WATCHING_GATEWAYS + 1) * len(document))

    def test_reads_without_a_change_cost_less_than_one_document(self) -> None:
        self._start(LARGE)
        self._await_calm()
        store = self.fleet.network.nodes["store"].up
        before = store.sent_bytes
        time.sleep(3 * READ_INTERVAL_S)
        document = msgspec.json.encode(configuration(1, LARGE))
        self.assertLess(store.sent_bytes - before, len(document))

    def test_gateway_on_a_choked_link_has_the_small_change_in_time(self) -> None:
        self._start()
        self._choke("west-b-3")
        confirmed_at = self._change_twice()
        self._await_bound(confirmed_at)
        self.assertNotIn("west-b-3", self.fleet.behind(2))

    def test_gateway_on_a_choked_link_gets_the_large_change(self) -> None:
        """Guards against transfers that begin anew after each timeout and never end."""
        self._start()
        self._choke("west-b-3")
        self._configure(2, LARGE)
        eventually(lambda: not self.fleet.behind(2), CATCH_UP_S)

    def test_gateway_on_a_choked_link_learns_of_a_draining_replica_meanwhile(self) -> None:
        self._start()
        self._choke("west-b-3")
        self._configure(2, LARGE)
        time.sleep(NEXT_CHANGE_S)
        self.fleet.store.put(ObjectKind.REPLICAS, "replica", _replica_spec("draining"))
        time.sleep(DRAIN_S)
        self.assertTrue(self.fleet.tables["west-b-3"].get("replica").entry.draining)

    def test_stalled_gateways_hold_up_nobody(self) -> None:
        self._start()
        # In each zone some have the change and stand still from then on.
        confirmed_at = self._configure(2, SMALL)
        eventually(lambda: len(self.fleet.behind(2)) < len(self.fleet.views), START_S)
        ahead = set(self.fleet.views) - set(self.fleet.behind(2))
        self.fleet.network.stalled |= set(sorted(ahead)[:20])
        self._await_bound(confirmed_at)
        self.assertEqual([], self.fleet.behind(2))

    def test_new_gateway_has_the_newest_configuration_in_time(self) -> None:
        self._start()
        self._configure(2, LARGE)
        eventually(lambda: not self.fleet.behind(2), CATCH_UP_S)
        view = self.fleet.add("west-c-new", "west-c", GATEWAY_BYTES_PER_S)
        began = boot_clock.now()
        view.start()
        self._await_bound(began)
        self.assertEqual([], self.fleet.behind(2))


if __name__ == "__main__":
    unittest.main()
