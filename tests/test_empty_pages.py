"""A result that was read at one gateway must not be missing at another one afterwards.

A coordinator must not treat its copy of the listing as the newest just because it holds the leases
of the job: its own append may be unanswered, it may have adopted the job without reading the
store, or a second coordinator may have listed results.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from fleet_rig import wait_until
from quaymill.connection.job_storage_messages import LEASE_S
from quaymill.connection.object_store import StoreUnanswered
from quaymill_bench.fleet_world import item_id, job_body
from test_fleet_faults import FaultCase

VISIBLE_WITHIN_S = 1.0
"""Time after which a position that was read must be visible at every gateway."""
READ_FOR_S = 1.2 * LEASE_S
"""Covers several renewals of every lease."""


class _LateStore:
    """A store that writes at once but answers writes only after ``answer`` is set."""

    def __init__(self, store: Any) -> None:
        self._store = store
        self.answer = threading.Event()

    def list(self, kind):
        return self._store.list(kind)

    def get(self, kind, name, *, allow_stale=False):
        return self._store.get(kind, name, allow_stale=allow_stale)

    def create(self, kind, name, spec):
        return self._late(self._store.create(kind, name, spec))

    def replace(self, kind, name, spec, revision):
        return self._late(self._store.replace(kind, name, spec, revision))

    def _late(self, result):
        self.answer.wait()
        return result


class _UnresponsiveStore:
    """A store that does not answer."""

    def list(self, kind):
        return StoreUnanswered("nothing came")

    def get(self, kind, name, *, allow_stale=False):
        return StoreUnanswered("nothing came")

    def create(self, kind, name, spec):
        return StoreUnanswered("nothing came")

    def replace(self, kind, name, spec, revision):
        return StoreUnanswered("nothing came")


class EmptyPageTest(FaultCase):
    """After one gateway returned a result, the other one must not return an empty page."""

    def setUp(self) -> None:
        super().setUp()
        self.first = self.rig.gateways["gateway-0"]
        self.second = self.rig.gateways["gateway-1"]

    def read(self, gateway: str, since: int) -> list[dict[str, Any]] | None:
        """Return the results at a gateway from a position on; ``None`` if it answers 503."""
        answer = self.rig.read_results(gateway, "job", since)
        self.assertIn(answer.status, (200, 503))
        return json.loads(answer.data)["results"] if answer.status == 200 else None

    def check_never_empty(self, gateway: str, since: int) -> None:
        """Read a position that was read elsewhere, during several renewals of the leases."""
        time.sleep(VISIBLE_WITHIN_S)
        until = time.monotonic() + READ_FOR_S
        while time.monotonic() < until:
            self.assertNotEqual([], self.read(gateway, since), "a read position is reported empty")
            time.sleep(0.1)

    def replace_store(self, gateway: Any, make: Callable[[Any], Any]) -> Any:
        """Replace the store of one gateway's jobs, without help by other gateways."""
        shared = gateway.jobs._reader._listings._store
        shared._wrapped = make(shared._wrapped)
        shared._helpers = lambda: ()
        return shared._wrapped

    def block_link(self, source: Any, target: Any) -> None:
        """Block one direction between two gateways; both reach all other processes."""
        peer = target.network.membership.local().peer
        source.network.client._link_filter.set_blocked(frozenset({peer}))

    def lease_holder(self, node: Any) -> str:
        """Return the coordinator that holds the job's lease at a storage node."""
        return node._orphans._leases.holder("job")

    def stop_slot_grants(self, gateway: Any) -> None:
        """Grant a gateway no more slots, and wait until its running items have finished."""
        dispatcher = gateway.coordinator._dispatcher
        claim_slots = dispatcher._parts.claim_slots
        dispatcher._parts = attrs.evolve(
            dispatcher._parts,
            claim_slots=lambda claim: claim_slots(msgspec.structs.replace(claim, wanted=())),
        )
        job = gateway.coordinator.get("job")
        wait_until(
            lambda: not job.running() and not job.unlisted(), "no item is running or unlisted"
        )

    def test_append_with_a_late_answer(self) -> None:
        late = self.replace_store(self.first, _LateStore)
        self.addCleanup(late.answer.set)
        self.block_link(self.second, self.first)
        self.rig.submit("gateway-0", "job", 3)
        wait_until(lambda: self.read("gateway-1", 0), "a result is shown from the store")
        self.check_never_empty("gateway-0", 0)
        late.answer.set()
        wait_until(lambda: self.read("gateway-0", 0), "the coordinator knows it")

    def test_adoption_while_the_store_cannot_be_read(self) -> None:
        self.slow_engines(0.05)
        self.rig.submit("gateway-0", "job", 12)
        before = self.rig.wait_results("gateway-1", "job", 2)
        self.slow_engines(30.0)
        shared = self.second.jobs._reader._listings._store
        own = shared._wrapped
        self.replace_store(self.second, lambda _: _UnresponsiveStore())
        self.rig.gateways.pop("gateway-0").kill()
        name = self.second.coordinator.name
        wait_until(
            lambda: all(self.lease_holder(node) == name for node in self.rig.storage.values()),
            "the second gateway has the leases",
        )
        self.check_never_empty("gateway-1", 0)
        shared._wrapped = own
        after = wait_until(lambda: self.read("gateway-1", 0), "the order is read")
        self.assertEqual(before, after[: len(before)])

    def test_two_coordinators_of_one_job(self) -> None:
        self.slow_engines(0.1)
        self.rig.submit("gateway-0", "job", 24)
        self.rig.wait_results("gateway-0", "job", 2)
        self.stop_slot_grants(self.first)
        since = len(self.first.coordinator.get("job").listing.document.results)
        self.assertLess(since, 24)
        # As if an isolated storage node assigned the job to the second gateway.
        self.second.coordinator.adopt(self.rig.storage["storage-0"]._database.job("job"))
        wait_until(lambda: self.read("gateway-1", since), "the second one appends")
        self.check_never_empty("gateway-0", since)

    def test_job_accepted_again_at_another_gateway(self) -> None:
        self.slow_engines(0.05)
        self.rig.submit("gateway-0", "job", 12)
        self.rig.wait_results("gateway-0", "job", 2)
        job = self.rig.storage["storage-0"]._database.job("job")
        time.sleep(VISIBLE_WITHIN_S)
        self.slow_engines(30.0)
        self.second.coordinator.accept(job)
        self.assertNotEqual([], self.read("gateway-1", 0), "a read position is reported empty")


class EmptyBodyTest(FaultCase):
    """The empty body of an item must not be reported as missing."""

    def test_empty_body_is_returned(self) -> None:
        self.slow_engines(30.0)
        name = item_id("job", 0)
        submission = json.loads(job_body("job", 1))
        submission["items"][0]["body"] = ""
        body = json.dumps(submission).encode()
        self.rig.call("gateway-0", "POST", "/jobs/x", body, {"Request-Id": "job"})
        for gateway in self.rig.gateways:
            answer = self.rig.get(gateway, f"/v1/items/job?id={name}")
            self.assertEqual((200, b""), (answer.status, answer.data))
