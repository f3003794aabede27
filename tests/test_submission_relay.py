"""A job must be accepted in time through another gateway if this one cannot store it."""

from __future__ import annotations

import threading
import unittest

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_document import Job, JobDocument
from quaymill.connection.job_storage_messages import JobSubmitted
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerNoReply, PeerUnreachable
from quaymill.process.jobs.route_quota import OverQuota
from quaymill.process.jobs.storage_client import _agreed_coordinator
from quaymill.process.jobs.submission_relay import MAX_RELAYS, SubmissionOutcome, SubmissionRelay

JOB = Job("job", "h", "/jobs/x", JobDocument(()))
ENDPOINT = Endpoint("127.0.0.1", 1)
ACCEPTED = SubmissionOutcome(True)
NOT_RUN = SubmissionOutcome(False, "too few storage nodes")
MAY_RUN = SubmissionOutcome(False, "one storage node has it", may_run=True)
PEER_ACCEPTS = JobSubmitted(True)
PEER_REFUSES = JobSubmitted(False, "no room")
UNREACHABLE = PeerUnreachable(ENDPOINT, "cut")
NO_REPLY = PeerNoReply(ENDPOINT, "cut")


class FixedGateways:
    """Fixed replies of other gateways, in the order in which they are called."""

    def __init__(self, *replies) -> None:
        self.replies = list(replies)
        self.calls = 0

    def call(self, endpoint, message, reply_type, timeout_s):
        self.calls += 1
        reply = self.replies.pop(0)
        if isinstance(reply, threading.Event):
            reply.wait(5.0)
            return NO_REPLY
        return reply


class RelayTest(unittest.TestCase):
    """The local attempt lasts until the test lets it finish."""

    def setUp(self) -> None:
        self.local_may_finish = threading.Event()
        self.addCleanup(self.local_may_finish.set)

    def submit(
        self, gateways: FixedGateways, local: SubmissionOutcome, can_store: bool = True
    ) -> SubmissionOutcome:
        def store() -> SubmissionOutcome:
            self.local_may_finish.wait(5.0)
            return local

        members = tuple(Member(f"g{n}", "z", "r", ENDPOINT, ENDPOINT) for n in range(5))
        relay = SubmissionRelay("me", gateways, lambda: members, lambda: can_store)
        return relay.submit(JOB, store)

    @params(ACCEPTED, NOT_RUN, MAY_RUN)
    def test_no_other_gateway_is_asked_if_the_local_attempt_is_quick(self, local) -> None:
        self.local_may_finish.set()
        gateways = FixedGateways()
        self.assertEqual(local, self.submit(gateways, local))
        self.assertEqual(0, gateways.calls)

    def test_another_gateway_accepts_while_the_local_attempt_hangs(self) -> None:
        self.assertTrue(self.submit(FixedGateways(PEER_ACCEPTS), NOT_RUN).accepted)
        self.assertFalse(self.local_may_finish.is_set())

    def test_a_second_gateway_is_asked_while_the_first_hangs(self) -> None:
        first_may_finish = threading.Event()
        self.addCleanup(first_may_finish.set)
        gateways = FixedGateways(first_may_finish, PEER_ACCEPTS)
        self.assertTrue(self.submit(gateways, NOT_RUN).accepted)
        self.assertFalse(first_may_finish.is_set())

    def test_over_quota_is_reported_unless_the_job_may_run_elsewhere(self) -> None:
        over = SubmissionOutcome(False, "full", over_quota=OverQuota(900, 1000, 2.0))
        threading.Timer(0.4, self.local_may_finish.set).start()
        outcome = self.submit(FixedGateways(PEER_REFUSES, PEER_REFUSES), over)
        self.assertEqual((over.over_quota, False), (outcome.over_quota, outcome.may_run))
        self.local_may_finish.clear()
        threading.Timer(0.4, self.local_may_finish.set).start()
        self.assertTrue(self.submit(FixedGateways(NO_REPLY, PEER_REFUSES), over).may_run)

    def test_error_in_the_local_attempt_is_answered(self) -> None:
        relay = SubmissionRelay("me", FixedGateways(), lambda: (), lambda: True)
        self.assertTrue(relay.submit(JOB, lambda: 1 / 0).may_run)

    def test_a_second_gateway_is_asked_when_the_first_is_cut_off_or_refuses(self) -> None:
        for first in (UNREACHABLE, PEER_REFUSES, NO_REPLY):
            with self.subTest(first=first):
                self.assertTrue(self.submit(FixedGateways(first, PEER_ACCEPTS), NOT_RUN).accepted)

    def test_other_gateways_are_asked_at_once_without_storage_nodes(self) -> None:
        gateways = FixedGateways(*[UNREACHABLE] * MAX_RELAYS)
        outcome = self.submit(gateways, ACCEPTED, can_store=False)
        self.assertEqual((False, False), (outcome.accepted, outcome.may_run))
        self.assertEqual(MAX_RELAYS, gateways.calls)

    @params(
        (NOT_RUN, PEER_REFUSES, False),
        (MAY_RUN, PEER_REFUSES, True),
        (NOT_RUN, NO_REPLY, True),
        (NOT_RUN, JobSubmitted(False, "x", may_run=True), True),
    )
    def test_job_that_may_run_is_reported_so(self, local, reply, may_run) -> None:
        threading.Timer(0.4, self.local_may_finish.set).start()
        outcome = self.submit(FixedGateways(reply, PEER_REFUSES), local)
        self.assertEqual((False, may_run), (outcome.accepted, outcome.may_run))


class AgreedCoordinatorTest(unittest.TestCase):
    """Storage nodes that name different coordinators must not leave a job without one."""

    @params((["a", "a"], "a"), (["b", "a"], "a"), (["a", "b"], "a"), (["b", "a", "b"], "b"))
    def test_most_named_coordinator_then_first_in_name_order(self, named, expected) -> None:
        self.assertEqual(expected, _agreed_coordinator(named))


if __name__ == "__main__":
    unittest.main()
