"""Calls to the job store: finds the leader and repeats a request under the same ids.

Every write carries ids that make a repeat safe, so a request whose answer was lost is simply
sent again. At the deadline the result says what is known: ``NotRun`` if no leader can have
taken the request into its log, ``OutcomeUnknown`` otherwise.
"""

from __future__ import annotations

import random
import threading
import time
import uuid
from typing import TypeVar

import msgspec
import xxhash

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_messages import (
    GetFile,
    GetJob,
    LeaseItems,
    ListJobs,
    NotLeader,
    ReadResults,
    RenewLeases,
    StoreConflict,
    StoreUnavailable,
)
from quaymill.connection.peer_link import (
    PeerClient,
    PeerMessage,
    PeerNoReply,
    PeerRefusal,
    PeerUnreachable,
)
from quaymill.process.job_store.formation import MembershipView
from quaymill.process.settings import NodeSettings
from quaymill.request.outcome import NotRun, OutcomeUnknown

TRY_TIMEOUT_S = 2.0
SHORTEST_TRY_S = 0.1
PAUSE_S = (0.02, 0.06)
RETRY_AFTER_S = 2.0
SERVICE_UNAVAILABLE = 503
WITHOUT_EFFECT = (GetJob, GetFile, ListJobs, ReadResults, RenewLeases)

Reply = TypeVar("Reply", bound=PeerMessage)


class JobStoreClient:
    """Sends messages to the leader of their group.

    Parameters
    ----------
    membership
        Tells which nodes carry log replicas.
    """

    def __init__(
        self, settings: NodeSettings, membership: MembershipView, peer_client: PeerClient
    ) -> None:
        self._groups = settings.log.groups
        self._membership = membership
        self._client = peer_client
        self._lock = threading.Lock()
        self._leaders: dict[int, Endpoint] = {}

    @property
    def group_count(self) -> int:
        """Number of log groups."""
        return self._groups

    def group_of(self, key: str) -> int:
        """Return the group in which a key's files, jobs or calls are kept."""
        return xxhash.xxh64_intdigest(key.encode()) % self._groups

    def call(
        self, message: PeerMessage, reply_type: type[Reply], timeout_s: float
    ) -> Reply | StoreConflict | NotRun | OutcomeUnknown:
        """Send a message until it is answered or the time is over.

        Parameters
        ----------
        message
            A message of ``job_messages`` with a group.
        reply_type
            The answer that the message's text names.

        Returns
        -------
        The answer; ``StoreConflict`` if the request contradicts what is stored; ``NotRun``
        if it certainly had no effect; ``OutcomeUnknown`` if it may have had one. After the
        last, the same message may be sent again.
        """
        if isinstance(message, LeaseItems) and not message.request_id:
            message = msgspec.structs.replace(message, request_id=uuid.uuid4().hex)
        deadline_s = boot_clock.now() + timeout_s
        call = _Call(message, reply_type | NotLeader | StoreUnavailable | StoreConflict)
        while True:
            for endpoint in self._candidates(message.group):
                remaining_s = deadline_s - boot_clock.now()
                if remaining_s < min(SHORTEST_TRY_S, timeout_s / 2):
                    return call.give_up(timeout_s)
                answer = self._try(call, endpoint, min(remaining_s, TRY_TIMEOUT_S))
                if answer is not None:
                    return answer
                if self._leaders.get(message.group) not in (None, endpoint):
                    break  # A hint came; follow it before asking the others.
            if boot_clock.now() >= deadline_s:
                return call.give_up(timeout_s)
            time.sleep(random.uniform(*PAUSE_S))

    def _candidates(self, group: int) -> list[Endpoint]:
        """Return the leader last known, then the other disk nodes in random order."""
        others = [member.peer for member in self._membership.live() if member.has_disk]
        random.shuffle(others)
        leader = self._leaders.get(group)
        if leader is None:
            return others
        return [leader] + [endpoint for endpoint in others if endpoint != leader]

    def _try(self, call: _Call, endpoint: Endpoint, timeout_s: float) -> PeerMessage | None:
        """Send once; return the final answer, or ``None`` if another try is needed."""
        group = call.message.group
        answer = self._client.call(endpoint, call.message, call.reply_type, timeout_s)
        match answer:
            case NotLeader():
                self._remember_leader(group, answer.leader, endpoint)
                call.reason = "no leader is known"
            case StoreUnavailable():
                call.note(answer.reason, answer.proposed)
                self._remember_leader(group, None, endpoint)
            case PeerNoReply():
                call.note(answer.reason, maybe_proposed=True)
                self._remember_leader(group, None, endpoint)
            case PeerUnreachable() | PeerRefusal():
                call.reason = answer.reason
                self._remember_leader(group, None, endpoint)
            case _:
                with self._lock:
                    self._leaders[group] = endpoint
                return answer
        return None

    def _remember_leader(self, group: int, leader: Endpoint | None, asked: Endpoint) -> None:
        with self._lock:
            if leader is not None and leader != asked:
                self._leaders[group] = leader
            elif self._leaders.get(group) == asked:
                del self._leaders[group]


class _Call:
    """What is known of one call so far."""

    def __init__(self, message: PeerMessage, reply_type: type) -> None:
        self.message = message
        self.reply_type = reply_type
        self.reason = "no disk node is known"
        self._maybe_proposed = False

    def note(self, reason: str, maybe_proposed: bool) -> None:
        """Note why a try failed, and whether it may have had an effect."""
        self.reason = reason
        if maybe_proposed and not isinstance(self.message, WITHOUT_EFFECT):
            self._maybe_proposed = True

    def give_up(self, timeout_s: float) -> NotRun | OutcomeUnknown:
        """Return what the caller may rely on."""
        reason = f"the job store did not answer within {timeout_s:g} s: {self.reason}"
        if self._maybe_proposed:
            return OutcomeUnknown(
                SERVICE_UNAVAILABLE, reason, "send the same request again", RETRY_AFTER_S
            )
        return NotRun(
            SERVICE_UNAVAILABLE,
            reason,
            "try again; an operator checks that two of three disk nodes are up",
            RETRY_AFTER_S,
        )
