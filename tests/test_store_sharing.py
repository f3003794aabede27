"""Calls of the store by way of other gateways: "refused" is said only where nobody has done it."""

from __future__ import annotations

import unittest

from nose2.tools import params

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.object_store import (
    ObjectKind,
    RevisionConflict,
    StoredObject,
    StoreRefused,
    StoreUnanswered,
)
from quaymill.connection.peer_link import PeerNoReply, PeerRefusal, PeerUnreachable
from quaymill.connection.store_messages import StoreCall
from quaymill.process.control.store_sharing import SharingStore

PLACE = Endpoint("127.0.0.1", 1)
HELPERS = tuple(Member(name, "zone", "region", PLACE, PLACE) for name in ("a", "b"))
REFUSED = StoreRefused("503")
UNANSWERED = StoreUnanswered("nothing came")
STORED = StoredObject("name", 7, "spec")
NO_REPLY = PeerNoReply(PLACE, "nothing came")
UNREACHABLE = PeerUnreachable(PLACE, "no route")
PEER_REFUSED = PeerRefusal("503")


class _Store:
    """A store whose writes all come to the same."""

    def __init__(self, result) -> None:
        self._result = result

    def replace(self, kind, name, spec, revision):
        return self._result


class _Peers:
    """Both ends: registers the handler, and answers calls in turn."""

    def __init__(self, replies=()) -> None:
        self._replies = list(replies)
        self.handler = None

    def register(self, message_type, handler) -> None:
        self.handler = handler

    def call(self, endpoint, message, reply_type, timeout_s):
        return self._replies.pop(0)


def helper_says(result):
    """Return what a helper answers when its own write comes to a result."""
    peers = _Peers()
    SharingStore(_Store(result), peers, peers, lambda: ())
    return peers.handler(StoreCall(ObjectKind.JOB_LISTINGS.name, "name", "spec", 6))


class SharingTest(unittest.TestCase):
    """A write that this gateway's own way refuses or does not answer."""

    @params(
        ("nobody may have done it", REFUSED, (PEER_REFUSED, UNREACHABLE), StoreRefused),
        ("own way unanswered", UNANSWERED, (PEER_REFUSED, PEER_REFUSED), StoreUnanswered),
        ("a helper does not reply", REFUSED, (NO_REPLY, PEER_REFUSED), StoreUnanswered),
        (
            "a helper is not answered",
            REFUSED,
            (helper_says(UNANSWERED), PEER_REFUSED),
            StoreUnanswered,
        ),
        ("a helper is refused", REFUSED, (helper_says(REFUSED), PEER_REFUSED), StoreRefused),
        ("a helper did it", REFUSED, (NO_REPLY, helper_says(STORED)), StoredObject),
        (
            "a helper met another's write",
            REFUSED,
            (helper_says(RevisionConflict(STORED)),),
            RevisionConflict,
        ),
    )
    def test_write(self, _, own, replies, expected) -> None:
        peers = _Peers(replies)
        store = SharingStore(_Store(own), peers, peers, lambda: HELPERS)
        result = store.replace(ObjectKind.JOB_LISTINGS, "name", "spec", 6)
        self.assertIsInstance(result, expected)
