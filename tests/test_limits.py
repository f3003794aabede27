"""A tenant's limits apply to all gateways together, with a bounded excess under faults.

Guards against gateways that each grant the whole limit, and against requests that are refused
although the tenant is within its limits.
"""

import threading
import time
import unittest

import msgspec
from nose2.tools import params

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.limits.limiter import TenantLimiter
from quaymill.process.limits.region import build_region_limiter
from quaymill.process.membership.ranking import rank_nodes
from quaymill.process.settings import NodeSettings
from quaymill.version.configuration import ServingConfiguration, Tenant

TENANT = "office"
GATEWAYS = 3


class FakeMembership:
    """A membership whose members the test sets."""

    def __init__(self) -> None:
        self.known: tuple[Member, ...] = ()

    def live(self) -> tuple[Member, ...]:
        return self.known

    def members(self) -> tuple[Member, ...]:
        return self.known

    def dead_for_s(self, name: str) -> float:
        return 0.0


class Limiters:
    """One limiter for each gateway of a region, over real peer links.

    Attributes
    ----------
    granter, others
        Numbers of the gateway that grants the tenant's credits, and of the other gateways.
    """

    def __init__(self, limits: Tenant) -> None:
        self.holder = ConfigurationHolder()
        self.configure(limits)
        self.servers = [PeerServer(Endpoint("127.0.0.1", 0)) for _ in range(GATEWAYS)]
        self.filters = [LinkFilter() for _ in range(GATEWAYS)]
        self.clients = [PeerClient(one) for one in self.filters]
        self.memberships = [FakeMembership() for _ in range(GATEWAYS)]
        self.members = tuple(
            Member(f"node-{number}", "a", "region", server.endpoint, server.endpoint)
            for number, server in enumerate(self.servers)
        )
        self.limiters = [self._limiter(number) for number in range(GATEWAYS)]
        for membership, server, limiter in zip(
            self.memberships, self.servers, self.limiters, strict=True
        ):
            membership.known = self.members
            server.start()
            limiter.start()
        self.granter = self.members.index(rank_nodes(f"limit/{TENANT}", self.members)[0])
        self.others = [number for number in range(GATEWAYS) if number != self.granter]

    def _limiter(self, number: int) -> TenantLimiter:
        settings = NodeSettings(f"node-{number}", "a", "region", "127.0.0.1", 1, 1, "127.0.0.1:1")
        return build_region_limiter(
            settings,
            self.holder,
            self.memberships[number],
            self.clients[number],
            self.servers[number],
        )

    def configure(self, limits: Tenant) -> None:
        generation = self.holder.current().generation + 1
        self.holder.offer(ServingConfiguration(generation=generation, tenants={TENANT: limits}))

    def kill_granter(self) -> None:
        self.servers[self.granter].stop()

    def partition_granter(self) -> None:
        endpoint = self.members[self.granter].peer
        for number in self.others:
            self.filters[number].set_blocked(frozenset({endpoint}))

    def admitted(self, gateways, seconds: float, tokens: int = 0, threads: int = 2) -> int:
        """Send requests to gateways as fast as they answer; return how many were admitted."""
        counts: list[int] = []
        until = time.monotonic() + seconds

        def send(limiter: TenantLimiter) -> None:
            count = 0
            while time.monotonic() < until:
                if limiter.admit(TENANT, tokens) is None:
                    count += 1
                    limiter.release(TENANT, tokens, tokens)
                else:
                    time.sleep(0.005)
            counts.append(count)

        workers = [
            threading.Thread(target=send, args=(self.limiters[number],))
            for number in gateways
            for _ in range(threads)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        return sum(counts)

    def make_strong(self, number: int) -> None:
        """Give one gateway more processor time, so that it ranks first from now on."""
        strong = msgspec.structs.replace(self.members[number], cores=4.0)
        others = tuple(one for one in self.members if one.name != strong.name)
        for membership in self.memberships:
            membership.known = (*others, strong)

    def stop(self) -> None:
        for limiter, server, client in zip(self.limiters, self.servers, self.clients, strict=True):
            limiter.stop()
            server.stop()
            client.close()


class TenantLimiterTest(unittest.TestCase):
    """Three gateways of one region."""

    def start(self, **limits) -> Limiters:
        limiters = Limiters(Tenant(**limits))
        self.addCleanup(limiters.stop)
        return limiters

    @params(
        ("requests", {"requests_per_s": 60.0}, 0, 60.0),
        ("tokens", {"tokens_per_s": 600.0}, 10, 60.0),
        ("both", {"requests_per_s": 60.0, "tokens_per_s": 60_000.0}, 10, 60.0),
    )
    def test_rate_holds_over_all_gateways(self, _, limits, tokens, per_s):
        limiters = self.start(**limits)
        seconds = 2.0
        admitted = limiters.admitted(range(GATEWAYS), seconds, tokens)
        # The burst is the requests of one second; lent credits that expire unused are lost.
        self.assertLessEqual(admitted, per_s * (seconds + 1.0) * 1.05)
        self.assertGreaterEqual(admitted, per_s * seconds * 0.7)

    def test_concurrency_limit_holds_over_all_gateways(self):
        limiters = self.start(concurrency=4)
        admitted_by = []
        for _ in range(4):
            for limiter in limiters.limiters:
                if limiter.admit(TENANT, 0) is None:
                    admitted_by.append(limiter)
        self.assertEqual(len(admitted_by), 4)
        admitted_by[0].release(TENANT, 0, 0)
        other = limiters.limiters[limiters.others[0]]
        deadline = time.monotonic() + 2.0
        while other.admit(TENANT, 0) is not None:
            self.assertLess(time.monotonic(), deadline, "the slot was not returned")
            time.sleep(0.01)

    def test_refusal_names_the_limit_and_the_retry_time(self):
        limiters = self.start(requests_per_s=0.5)
        limiter = limiters.limiters[0]
        self.assertIsNone(limiter.admit(TENANT, 0))
        refusal = limiter.admit(TENANT, 0)
        self.assertEqual(refusal.status, 429)
        self.assertIn("requests_per_s = 0.5", refusal.reason)
        self.assertAlmostEqual(refusal.retry_after_s, 2.0, delta=0.3)

    def test_unused_tokens_are_returned(self):
        limiters = self.start(tokens_per_s=100.0)
        for limiter in limiters.limiters * 4:
            deadline = time.monotonic() + 2.0
            while limiter.admit(TENANT, 1000) is not None:
                self.assertLess(time.monotonic(), deadline, "the tokens were not returned")
                time.sleep(0.01)
            limiter.release(TENANT, 1000, 1)

    def test_changed_limit_applies_at_once(self):
        limiters = self.start(requests_per_s=5.0)
        limiters.admitted(range(GATEWAYS), 0.3)
        limiters.configure(Tenant(requests_per_s=500.0))
        self.assertGreater(limiters.admitted(range(GATEWAYS), 0.5), 100)

    def test_tenant_without_limits_needs_no_granter(self):
        limiters = self.start()
        limiters.partition_granter()
        self.assertGreater(limiters.admitted(limiters.others, 0.2), 1000)

    @params(("dead", Limiters.kill_granter), ("cut off", Limiters.partition_granter))
    def test_without_the_granter_each_gateway_admits_its_share(self, _, fault):
        limiters = self.start(requests_per_s=60.0)
        fault(limiters)
        seconds = 2.0
        admitted = limiters.admitted(limiters.others, seconds)
        # Each of the two gateways admits a third of the limit, and a third of the burst.
        self.assertLessEqual(admitted, 60.0 / GATEWAYS * 2 * (seconds + 1.0) * 1.1)
        self.assertGreaterEqual(admitted, 60.0 / GATEWAYS * 2 * seconds * 0.5)

    def test_next_in_rank_grants_when_the_granter_is_known_to_be_dead(self):
        limiters = self.start(requests_per_s=60.0)
        limiters.kill_granter()
        alive = tuple(limiters.members[number] for number in limiters.others)
        for membership in limiters.memberships:
            membership.known = alive
        admitted = limiters.admitted(limiters.others, 2.0)
        self.assertLessEqual(admitted, 60.0 * 3.0 * 1.05)
        self.assertGreaterEqual(admitted, 60.0 * 2.0 * 0.7)

    def test_only_one_request_waits_for_an_unreachable_granter(self):
        limiters = self.start(requests_per_s=1000.0)
        limiters.partition_granter()
        limiter = limiters.limiters[limiters.others[0]]
        waits = []
        for _ in range(50):
            started_at = time.monotonic()
            limiter.admit(TENANT, 0)
            waits.append(time.monotonic() - started_at)
        self.assertLess(max(waits), 1.0)
        self.assertEqual(sum(wait > 0.1 for wait in waits), 1)

    def test_new_granter_takes_over_the_remaining_credits(self):
        limiters = self.start(requests_per_s=10.0)
        self.assertGreaterEqual(limiters.admitted(range(GATEWAYS), 0.5), 1)
        limiters.make_strong(limiters.others[0])
        admitted = limiters.admitted(range(GATEWAYS), 1.0)
        # Neither a second burst of ten, nor grants of two granters at once.
        self.assertLessEqual(admitted, 13)
        self.assertGreaterEqual(admitted, 6)

    def test_earlier_granter_refers_requests_to_the_new_one(self):
        limiters = self.start(requests_per_s=10.0)
        limiters.admitted(range(GATEWAYS), 0.2)
        strong = limiters.others[0]
        uninformed = limiters.others[1]
        earlier_members = limiters.memberships[uninformed].known
        limiters.make_strong(strong)
        limiters.admitted([strong], 0.1)
        limiters.memberships[uninformed].known = earlier_members
        admitted = limiters.admitted([strong, uninformed], 1.0)
        self.assertLessEqual(admitted, 13)
        self.assertGreaterEqual(admitted, 6)

    def test_refused_callers_get_successive_retry_times(self):
        limiters = self.start(requests_per_s=10.0)
        retry_times = []
        while len(retry_times) < 10:
            refusal = limiters.limiters[0].admit(TENANT, 0)
            if refusal is not None:
                retry_times.append(time.monotonic() + refusal.retry_after_s)
        gaps = [
            later - earlier for earlier, later in zip(retry_times, retry_times[1:], strict=False)
        ]
        self.assertGreater(min(gaps), 0.08)

    def test_request_waits_for_credits_at_a_granter_that_has_just_started(self):
        limiters = self.start(requests_per_s=10.0)
        started_at = time.monotonic()
        refusals = [limiters.limiters[0].admit(TENANT, 0) for _ in range(4)]
        # It does not know what was granted before its start: one at once, then ten per second.
        self.assertEqual([None] * 4, refusals)
        self.assertGreater(time.monotonic() - started_at, 0.2)
