"""Calls to the platform's store through other gateways, while this one cannot reach it.

Only reads, creations and replacements of single objects are shared: listings of jobs, ledgers of
quotas, barred requests. A creation requires that the object does not exist, and a replacement
requires its revision, so it is safe to repeat a write whose response was lost.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.member import Member
from quaymill.connection.object_store import (
    Changes,
    HistoryGone,
    Listing,
    ObjectKind,
    ObjectMissing,
    ObjectStore,
    RevisionConflict,
    StoredObject,
    StoreFailure,
    StoreRefused,
    StoreUnanswered,
    WriteResult,
    is_store_unavailable,
)
from quaymill.connection.peer_link import PeerClient, PeerNoReply, PeerRefusal
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.store_messages import SharedObject, StoreAnswer, StoreCall
from quaymill.process.control.store_circuit import GUARDED_KINDS
from quaymill.process.control.store_helpers import StoreHelpers

HELP_TIMEOUT_S = 2.0
HELPER_SEARCH_WAIT_S = 0.3
"""Time for which a caller waits while another one searches for a gateway that can help."""


class SharingStore:
    """An ``ObjectStore`` that makes a failed call again through other gateways.

    Parameters
    ----------
    helpers
        Returns the gateways that may be asked for help.
    """

    def __init__(
        self,
        wrapped: ObjectStore,
        peer_client: PeerClient,
        peer_server: PeerServer,
        helpers: Callable[[], tuple[Member, ...]],
    ) -> None:
        self._wrapped = wrapped
        self._peer_client = peer_client
        self._helpers = helpers
        self._lock = threading.Lock()
        self._search_lock = threading.Lock()
        self._choice = StoreHelpers()
        peer_server.register(StoreCall, self._answer)

    def list(self, kind: ObjectKind) -> Listing | StoreFailure:
        """Return all objects of a kind."""
        return self._wrapped.list(kind)

    def watch(
        self, kind: ObjectKind, revision: int, wait_s: float
    ) -> Changes | HistoryGone | StoreFailure:
        """Wait for changes."""
        return self._wrapped.watch(kind, revision, wait_s)

    def get(
        self, kind: ObjectKind, name: str, *, allow_stale: bool = False
    ) -> StoredObject | ObjectMissing | StoreFailure:
        """Return one object; other gateways are not asked if a stale one is acceptable."""
        if allow_stale:
            return self._wrapped.get(kind, name, allow_stale=True)
        result = self._wrapped.get(kind, name)
        return self._or_through_helpers(result, StoreCall(kind.name, name))

    def create(self, kind: ObjectKind, name: str, spec: Any) -> WriteResult:
        """Create an object; a conflict if it exists."""
        result = self._wrapped.create(kind, name, spec)
        return self._or_through_helpers(result, StoreCall(kind.name, name, spec))

    def replace(self, kind: ObjectKind, name: str, spec: Any, revision: int) -> WriteResult:
        """Replace an object's ``spec`` if ``revision`` is still the object's."""
        result = self._wrapped.replace(kind, name, spec, revision)
        return self._or_through_helpers(result, StoreCall(kind.name, name, spec, revision))

    def replace_status(
        self, kind: ObjectKind, name: str, status: Any, revision: int
    ) -> WriteResult:
        """Replace an object's ``status``."""
        return self._wrapped.replace_status(kind, name, status, revision)

    def delete(self, kind: ObjectKind, name: str) -> WriteResult:
        """Remove an object."""
        return self._wrapped.delete(kind, name)

    def _or_through_helpers(self, result: Any, call: StoreCall) -> Any:
        if not is_store_unavailable(result):
            return result
        if ObjectKind[call.object_kind] not in GUARDED_KINDS:
            return result
        # While no helping gateway is known, only one caller at a time searches for one.
        searches = not self._choice.last_helper
        if searches and not self._search_lock.acquire(timeout=HELPER_SEARCH_WAIT_S):
            return result
        try:
            return self._ask_helpers(result, call)
        finally:
            if searches:
                self._search_lock.release()

    def _ask_helpers(self, result: Any, call: StoreCall) -> Any:
        with self._lock:
            asked = self._choice.choose(self._helpers(), boot_clock.now())
        for member in asked:
            reply = self._peer_client.call(member.peer, call, StoreAnswer, HELP_TIMEOUT_S)
            if isinstance(reply, StoreAnswer) and not reply.unanswered:
                with self._lock:
                    self._choice.record_helped(member.name)
                log_message("control:store_call_shared", name=call.name, peer=member.name)
                return _result(reply)
            if isinstance(reply, StoreAnswer):
                result = StoreUnanswered(reply.unanswered)
            elif isinstance(reply, PeerNoReply):
                # The other gateway may have made the call, so the result must not be "refused".
                result = StoreUnanswered(reply.reason)
            retry_after_s = reply.retry_after_s if isinstance(reply, PeerRefusal) else 0.0
            with self._lock:
                self._choice.record_unable(member.name, retry_after_s, boot_clock.now())
        if asked:
            with self._lock:
                self._choice.record_none_able(boot_clock.now())
        return result

    def _answer(self, call: StoreCall) -> StoreAnswer | PeerRefusal:
        """Make a call for another gateway, without asking a third one."""
        kind = ObjectKind[call.object_kind]
        if kind not in GUARDED_KINDS:
            return PeerRefusal(f"calls for {call.object_kind} are not made for other gateways")
        if call.spec is None:
            result = self._wrapped.get(kind, call.name)
        elif call.revision:
            result = self._wrapped.replace(kind, call.name, call.spec, call.revision)
        else:
            result = self._wrapped.create(kind, call.name, call.spec)
        if isinstance(result, StoreRefused):
            return PeerRefusal(result.reason, result.retry_after_s)
        if isinstance(result, StoreUnanswered):
            return StoreAnswer(unanswered=result.reason)
        if isinstance(result, ObjectMissing):
            return StoreAnswer(missing=True)
        if isinstance(result, RevisionConflict):
            return StoreAnswer(_shared(result.object), conflict=True)
        return StoreAnswer(_shared(result))


def _shared(stored: StoredObject | None) -> SharedObject | None:
    return None if stored is None else SharedObject(stored.name, stored.revision, stored.spec)


def _result(answer: StoreAnswer) -> StoredObject | RevisionConflict | ObjectMissing:
    if answer.missing:
        return ObjectMissing()
    shared = answer.object
    stored = None if shared is None else StoredObject(shared.name, shared.revision, shared.spec)
    return RevisionConflict(stored) if answer.conflict or stored is None else stored
