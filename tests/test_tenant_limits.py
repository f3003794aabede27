"""A tenant's limit in a whole fleet applies to all gateways together and to this tenant only.

Guards against a tenant whose excess requests are run or delay other tenants.
"""

from __future__ import annotations

import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import Any, ClassVar

from fleet_case import FleetCase
from quaymill.process.front.refusals import over_limit_refusal, over_quota_refusal
from quaymill.process.jobs.route_quota import OverQuota
from quaymill.request.outcome import NotRun
from quaymill_bench.fleet_world import key_header, tenant

RATE_PER_S = 10.0
BURST = 5.0
OVERLOAD_S = 2.0
THREADS = 6


class LimitTest(FleetCase):
    """One tenant exceeds its limit many times at two gateways, another stays below it."""

    configuration_fields: ClassVar[dict[str, Any]] = {
        "tenants": (
            tenant("flood", "k-flood", rate_per_s=RATE_PER_S, burst=BURST),
            tenant("calm", "k-calm", rate_per_s=RATE_PER_S, burst=BURST),
            tenant("free", "k-free", rate_per_s=0),
        )
    }

    def send_requests(self, key: str, seconds: float, pause_s: float = 0.0) -> list:
        """Send requests as fast as they are answered; return the answers."""
        until = time.monotonic() + seconds
        answers = []
        number = 0
        while time.monotonic() < until:
            gateway = f"gateway-{number % 2}"
            request_id = f"{key}-{time.monotonic_ns()}"
            answers.append(self.rig.ask(gateway, "/read/x", request_id, headers=key_header(key)))
            number += 1
            time.sleep(pause_s)
        return answers

    def test_limit_holds_over_all_gateways_and_others_are_served(self) -> None:
        with ThreadPoolExecutor(THREADS) as executor:
            overloads = [
                executor.submit(self.send_requests, "k-flood", OVERLOAD_S)
                for _ in range(THREADS - 1)
            ]
            calm = executor.submit(self.send_requests, "k-calm", OVERLOAD_S, 0.2).result()
            answers = [answer for overload in overloads for answer in overload.result()]
        self.assertEqual({200}, {answer.status for answer in calm})
        statuses = [answer.status for answer in answers]
        self.assertEqual({200, 429}, set(statuses))
        allowed = RATE_PER_S * OVERLOAD_S + BURST
        self.assertLessEqual(statuses.count(200), 1.1 * allowed + 2)
        self.assertGreaterEqual(statuses.count(200), 0.7 * (allowed - BURST))
        ran = sum(
            run.headers["tenant"] == "flood"
            for replica in self.rig.replicas.values()
            for run in replica.runs
        )
        self.assertEqual(statuses.count(200), ran)

    def test_a_refusal_has_a_retry_time(self) -> None:
        refused = next(
            answer
            for answer in iter(lambda: self.send_requests("k-flood", 0.01)[-1], None)
            if answer.status == 429
        )
        self.assertGreater(float(refused.headers["Retry-After"]), 0.0)
        self.assertIn(b"requests_per_s = 10", refused.data)
        self.assertNotEqual("close", refused.headers.get("Connection", "").lower())

    def test_a_tenant_without_a_limit_is_never_refused(self) -> None:
        answers = self.send_requests("k-free", 0.5)
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertGreater(len(answers), RATE_PER_S)


class RetryTimeTest(unittest.TestCase):
    """Guards against refusals that let callers return at once, to be refused again."""

    RETRY_TIMES_S = (0.0, 0.001, 0.004, 0.0149, 0.3)

    def test_limit_states_no_time_that_is_too_short(self) -> None:
        for retry_after_s in self.RETRY_TIMES_S:
            refusal = over_limit_refusal(NotRun(429, "over the limit", "wait", retry_after_s))
            self.assertGreater(refusal.retry_after_s, 0.0)
            self.assertGreaterEqual(refusal.retry_after_s, retry_after_s)

    def test_quota_states_no_time_that_is_too_short(self) -> None:
        for retry_after_s in self.RETRY_TIMES_S:
            refusal = over_quota_refusal(OverQuota(10, 10, retry_after_s))
            self.assertGreater(refusal.retry_after_s, 0.0)
            self.assertGreaterEqual(refusal.retry_after_s, retry_after_s)
