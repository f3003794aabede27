"""A position of a job that was read is never told to be empty afterwards.

The story. Callers of a batch job read a result, and seconds later another gateway answered 200
with nothing at that position; later the result was there again. A gateway that coordinates a job
answers from its own copy of the order. It took that copy for the newest while its leases were
renewed at all storage nodes. But a lease tells who runs a job's items, not what the order is:

1.  The coordinator appends; the store does it, and its answer is late. Another gateway, which
    cannot reach the coordinator, reads the order from the store and shows the new position.
    The coordinator still answers from the copy of before.
2.  A gateway adopts a job while it cannot read the store. Its leases are renewed, and from then
    on it takes its empty copy for the order.
3.  Two gateways run one job: leases are kept in memory, so that a storage node which has given
    the job to the second one, and starts again, grants the first one's next renewal. The second
    appends, the first answers from the copy of before. A gateway that accepts a job which was
    sent again does so at once.

The evidence: each of the three is brought about below by what happened in that order, and on the
code that trusted leases each answered 200 with an empty page.
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

SETTLE_S = 1.0
"""Time after which a position that was read must be there at every gateway."""
READ_FOR_S = 1.2 * LEASE_S
"""Long enough for several renewals of every lease."""


class _LateAnswers:
    """A store whose writes are done at once and answered when ``answer`` is set."""

    def __init__(self, store: Any) -> None:
        self._store = store
        self.answer = threading.Event()

    def list(self, kind):
        return self._store.list(kind)

    def get(self, kind, name, *, may_be_old=False):
        return self._store.get(kind, name, may_be_old=may_be_old)

    def create(self, kind, name, spec):
        return self._late(self._store.create(kind, name, spec))

    def replace(self, kind, name, spec, revision):
        return self._late(self._store.replace(kind, name, spec, revision))

    def _late(self, result):
        self.answer.wait()
        return result


class _SilentStore:
    """A store that answers nothing."""

    def list(self, kind):
        return StoreUnanswered("nothing came")

    def get(self, kind, name, *, may_be_old=False):
        return StoreUnanswered("nothing came")

    def create(self, kind, name, spec):
        return StoreUnanswered("nothing came")

    def replace(self, kind, name, spec, revision):
        return StoreUnanswered("nothing came")


class EmptyPageTest(FaultCase):
    """One gateway shows a position, the other must not say that nothing is there."""

    def setUp(self) -> None:
        super().setUp()
        self.first = self.rig.gateways["gateway-0"]
        self.second = self.rig.gateways["gateway-1"]

    def read(self, gateway: str, since: int) -> list[dict[str, Any]] | None:
        """Return what a gateway shows from a position on; ``None`` where it is not sure."""
        answer = self.rig.read_results(gateway, "job", since)
        self.assertIn(answer.status, (200, 503))
        return json.loads(answer.data)["results"] if answer.status == 200 else None

    def check_never_empty(self, gateway: str, since: int) -> None:
        """Read a position that was read elsewhere, through several renewals of the leases."""
        time.sleep(SETTLE_S)
        until = time.monotonic() + READ_FOR_S
        while time.monotonic() < until:
            self.assertNotEqual([], self.read(gateway, since), "a read position is told empty")
            time.sleep(0.1)

    def replace_store(self, gateway: Any, make: Callable[[Any], Any]) -> Any:
        """Put another store under the jobs of one gateway; others do not help it."""
        shared = gateway.jobs._reader._listings._store
        shared._own = make(shared._own)
        shared._helpers = lambda: ()
        return shared._own

    def cut(self, source: Any, target: Any) -> None:
        """Cut one direction between two gateways; both reach everybody else."""
        peer = target.network.membership.local().peer
        source.network.client._link_filter.set_blocked(frozenset({peer}))

    def holder(self, node: Any) -> str:
        """Return who renewed the job's lease last at a storage node."""
        return node._orphans._leases.holder("job")

    def starve(self, gateway: Any) -> None:
        """Grant a gateway no more room, and wait until its running items have ended."""
        dispatcher = gateway.coordinator._dispatcher
        claim_slots = dispatcher._parts.claim_slots
        dispatcher._parts = attrs.evolve(
            dispatcher._parts,
            claim_slots=lambda claim: claim_slots(msgspec.structs.replace(claim, wanted=())),
        )
        job = gateway.coordinator.get("job")
        wait_until(lambda: not job.running() and not job.unlisted(), "nothing is under way")

    def test_append_whose_answer_is_late(self) -> None:
        late = self.replace_store(self.first, _LateAnswers)
        self.addCleanup(late.answer.set)
        self.cut(self.second, self.first)
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
        own = shared._own
        self.replace_store(self.second, lambda _: _SilentStore())
        self.rig.gateways.pop("gateway-0").kill()
        name = self.second.coordinator.name
        wait_until(
            lambda: all(self.holder(node) == name for node in self.rig.storage.values()),
            "the second gateway has the leases",
        )
        self.check_never_empty("gateway-1", 0)
        shared._own = own
        after = wait_until(lambda: self.read("gateway-1", 0), "the order is read")
        self.assertEqual(before, after[: len(before)])

    def test_two_coordinators_one_with_the_leases(self) -> None:
        self.slow_engines(0.1)
        self.rig.submit("gateway-0", "job", 24)
        self.rig.wait_results("gateway-0", "job", 2)
        self.starve(self.first)
        since = len(self.first.coordinator.get("job").listing.document.results)
        self.assertLess(since, 24)
        # As a storage node gives it away that hears neither the first gateway nor its peers.
        self.second.coordinator.adopt(self.rig.storage["storage-0"]._database.job("job"))
        wait_until(lambda: self.read("gateway-1", since), "the second one appends")
        self.check_never_empty("gateway-0", since)

    def test_job_sent_again_and_accepted_twice(self) -> None:
        self.slow_engines(0.05)
        self.rig.submit("gateway-0", "job", 12)
        self.rig.wait_results("gateway-0", "job", 2)
        job = self.rig.storage["storage-0"]._database.job("job")
        time.sleep(SETTLE_S)
        self.slow_engines(30.0)
        self.second.coordinator.accept(job)
        self.assertNotEqual([], self.read("gateway-1", 0), "a read position is told empty")


class EmptyBodyTest(FaultCase):
    """An item whose body has no bytes has a body, at every gateway."""

    def test_empty_body_is_not_missing(self) -> None:
        self.slow_engines(30.0)
        name = item_id("job", 0)
        submission = json.loads(job_body("job", 1))
        submission["items"][0]["body"] = ""
        body = json.dumps(submission).encode()
        self.rig.call("gateway-0", "POST", "/jobs/x", body, {"Request-Id": "job"})
        for gateway in self.rig.gateways:
            answer = self.rig.get(gateway, f"/v1/items/job?id={name}")
            self.assertEqual((200, b""), (answer.status, answer.data))
