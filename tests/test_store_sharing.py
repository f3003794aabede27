"""Calls to the store through other gateways.

A write is reported as refused only if no gateway can have made it.
"""

from __future__ import annotations

import unittest

import msgspec
from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.object_store import (
    CallRejected,
    ObjectKind,
    ObjectUnreadable,
    RevisionConflict,
    StoredObject,
    StoreRefused,
    StoreUnanswered,
)
from quaymill.connection.peer_link import PeerNoReply, PeerRefusal, PeerUnreachable
from quaymill.connection.store_messages import StoreCall
from quaymill.process.control.store_sharing import SharingStore

ENDPOINT = Endpoint("127.0.0.1", 1)
ENDPOINTS = {"a": ENDPOINT, "b": Endpoint("127.0.0.1", 2)}
HELPERS = tuple(Member(name, "zone", "region", at, at) for name, at in ENDPOINTS.items())
REFUSED = StoreRefused("503")
UNANSWERED = StoreUnanswered("nothing came")
STORED = StoredObject("name", 7, "spec")
NO_REPLY = PeerNoReply(ENDPOINT, "nothing came")
UNREACHABLE = PeerUnreachable(ENDPOINT, "no route")
PEER_REFUSED = PeerRefusal("503")


class _Store:
    """A store whose writes all return the same result."""

    def __init__(self, result) -> None:
        self._result = result

    def replace(self, kind, name, spec, revision):
        return self._result


class _Peers:
    """Peer client and server: registers the handler, and returns the given replies in order."""

    def __init__(self, replies=()) -> None:
        self._replies = list(replies)
        self.handler = None
        self.asked = []

    def register(self, message_type, handler) -> None:
        self.handler = handler

    def call(self, endpoint, message, reply_type, timeout_s):
        self.asked.append(endpoint)
        return self._replies.pop(0)


OLD_REFUSAL = msgspec.json.decode(b'{"kind":"PeerRefusal","reason":"503"}', type=PeerRefusal)


def helper_reply(result):
    """Return the reply of a helper whose own write has the given result."""
    peers = _Peers()
    SharingStore(_Store(result), peers, peers, lambda: ())
    return peers.handler(StoreCall(ObjectKind.JOB_LISTINGS.name, "name", "spec", 6))


class SharingTest(unittest.TestCase):
    """A write that the store refuses or does not answer when this gateway calls it directly."""

    @params(
        ("no gateway can have made the write", REFUSED, (PEER_REFUSED, UNREACHABLE), StoreRefused),
        ("direct call unanswered", UNANSWERED, (PEER_REFUSED, PEER_REFUSED), StoreUnanswered),
        ("a helper does not reply", REFUSED, (NO_REPLY, PEER_REFUSED), StoreUnanswered),
        (
            "the store does not answer a helper",
            REFUSED,
            (helper_reply(UNANSWERED), PEER_REFUSED),
            StoreUnanswered,
        ),
        (
            "the store refuses a helper",
            REFUSED,
            (helper_reply(REFUSED), PEER_REFUSED),
            StoreRefused,
        ),
        ("helpers run an old build", REFUSED, (OLD_REFUSAL, OLD_REFUSAL), StoreRefused),
        ("a helper made the write", REFUSED, (NO_REPLY, helper_reply(STORED)), StoredObject),
        (
            "a helper met a conflict",
            REFUSED,
            (helper_reply(RevisionConflict(STORED)),),
            RevisionConflict,
        ),
    )
    def test_write(self, _, local_result, replies, expected) -> None:
        peers = _Peers(replies)
        store = SharingStore(_Store(local_result), peers, peers, lambda: HELPERS)
        result = store.replace(ObjectKind.JOB_LISTINGS, "name", "spec", 6)
        self.assertIsInstance(result, expected)

    def test_helper_with_an_open_circuit_returns_its_retry_time(self) -> None:
        refusal = helper_reply(StoreRefused("the store is unavailable", 1.2))
        self.assertEqual(PeerRefusal("the store is unavailable", 1.2), refusal)

    def test_none_is_asked_while_the_circuits_of_all_are_open(self) -> None:
        open_circuit_refusal = PeerRefusal("the store is unavailable", 60.0)
        peers = _Peers((open_circuit_refusal, open_circuit_refusal))
        store = SharingStore(_Store(REFUSED), peers, peers, lambda: HELPERS)
        for _ in range(3):
            result = store.replace(ObjectKind.JOB_LISTINGS, "name", "spec", 6)
            self.assertEqual(REFUSED, result)

    def test_last_helper_is_asked_first(self) -> None:
        done = helper_reply(STORED)
        peers = _Peers([PEER_REFUSED] + 5 * [done])
        store = SharingStore(_Store(REFUSED), peers, peers, lambda: HELPERS)
        for _ in range(5):
            store.replace(ObjectKind.JOB_LISTINGS, "name", "spec", 6)
        self.assertEqual(1, len(set(peers.asked[1:])))

    @params(CallRejected("413"), ObjectUnreadable("torn"))
    def test_helpers_are_not_asked_after_a_failure_that_they_would_share(self, result) -> None:
        store = SharingStore(_Store(result), _Peers(), _Peers(), lambda: HELPERS)
        self.assertEqual(result, store.replace(ObjectKind.JOB_LISTINGS, "name", "spec", 6))
