"""Calls from a gateway to the storage nodes."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.job_document import Job, JobResult
from quaymill.connection.job_storage_messages import (
    EndJob,
    FetchBody,
    FetchedBody,
    FetchedResults,
    FetchResults,
    FindJob,
    ItemProgress,
    JobEnded,
    JobFound,
    JobStored,
    JobUnknown,
    KeyedResult,
    ProgressStored,
    ResultKey,
    ResultsStored,
    StoreJob,
    StoreProgress,
    StoreResults,
)
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient, PeerMessage
from quaymill.process.job_copies import CopyRules
from quaymill.process.jobs.member_search import responsive_first, search_members
from quaymill.process.jobs.parallel_calls import CallOutcome, ZoneRule, call_members

STORE_TIMEOUT_S = 2.5
FIND_TIMEOUT_S = 1.0
FIND_SETTLE_S = 0.1
"""How long to wait for the other holders once one has reported a job: they may know that it has
ended."""
END_TIMEOUT_S = 2.5
FETCH_TIMEOUT_S = 2.5
"""Time for finding a body, or one part of the contents, at any number of storage nodes."""
FETCH_HEDGE_DELAY_S = 0.4
"""Longer than for small replies, as a second transfer delays the first one on a slow link."""
FIRST_RESULTS = 4
RESULTS_PER_FETCH = 16
"""Contents are fetched in parts, the first one small, so that a read gets some of them in time."""
READ_FETCH_TIME_S = 0.4
"""Time after which a read fetches no further part; its caller asks for the rest."""
PROGRESS_TIMEOUT_S = 0.5
"""Progress that is not stored in time is sent again with the next save."""


@attrs.frozen
class Stored:
    """Enough storage nodes have the job on their disks.

    Attributes
    ----------
    coordinator
        Name of the coordinator that runs the job.
    ended
        Whether a client has already ended the job.
    """

    coordinator: str
    ended: bool = False


@attrs.frozen
class NotStored:
    """Too few storage nodes have acknowledged the job.

    Attributes
    ----------
    maybe_stored
        Whether some storage node may have the job anyway, so that it may still be run.
    """

    reason: str
    maybe_stored: bool


@attrs.frozen
class NotFound:
    """No storage node reported the job.

    Attributes
    ----------
    certain
        Whether all storage nodes answered that they do not have it.
    """

    certain: bool


class JobStorageClient:
    """Stores and fetches jobs, results and progress at the storage nodes.

    Parameters
    ----------
    storage_nodes
        Returns the live storage nodes, without leaving ones.
    known_storage_nodes
        Returns all storage nodes that may hold data, including those that do not answer.
    rules
        Decide which storage nodes hold copies, and how many must have one before data counts as
        stored.
    zone
        The zone of this gateway.
    """

    def __init__(
        self,
        peer_client: PeerClient,
        storage_nodes: Callable[[], tuple[Member, ...]],
        known_storage_nodes: Callable[[], tuple[Member, ...]],
        rules: CopyRules,
        zone: str,
    ) -> None:
        self._peer_client = peer_client
        self._storage_nodes = storage_nodes
        self._known_storage_nodes = known_storage_nodes
        self._rules = rules
        self._zone = zone

    def store_job(self, job: Job, coordinator: str) -> Stored | NotStored:
        """Store a job on enough storage nodes."""
        outcome = self._replicate(
            job.id,
            StoreJob(job, coordinator),
            JobStored,
            STORE_TIMEOUT_S,
            initial_calls=self._rules.kept,
        )
        if not self._is_stored(outcome):
            return NotStored(
                f"{len(outcome.replies)} of {self._rules.needed} storage nodes have the job",
                maybe_stored=outcome.maybe_acted or bool(outcome.replies),
            )
        ended = any(reply.ended for _, reply in outcome.replies)
        return Stored(
            _agreed_coordinator([reply.coordinator for _, reply in outcome.replies]), ended
        )

    def store_results(self, job_id: str, results: Iterable[KeyedResult]) -> bool:
        """Store contents of results on enough storage nodes; return whether this succeeded."""
        message = StoreResults(job_id, tuple(results))
        outcome = self._replicate(
            job_id,
            message,
            ResultsStored,
            STORE_TIMEOUT_S,
            message_bytes=sum(len(one.result.text) for one in message.results),
        )
        return self._is_stored(outcome)

    def store_progress(
        self, job_id: str, lineage: str, progress: tuple[ItemProgress, ...], node: str
    ) -> bool:
        """Store progress of items on one storage node; return whether it is on its disk."""
        for member in self._storage_nodes():
            if member.name == node:
                message = StoreProgress(job_id, lineage, progress)
                reply = self._peer_client.call(
                    member.peer, message, ProgressStored, PROGRESS_TIMEOUT_S
                )
                return isinstance(reply, ProgressStored)
        return False

    def progress_node(self, job_id: str) -> str:
        """Return the name of the storage node for a job's progress; empty if there is none.

        It is the node that assigns the job to another gateway if its coordinator dies.
        """
        ranked = self._rules.rank(job_id, self._storage_nodes())
        return ranked[0].name if ranked else ""

    def find_job(
        self, job_id: str, *, whole: bool = False, deadline: float | None = None
    ) -> JobFound | NotFound:
        """Look a job up at the storage nodes.

        Parameters
        ----------
        whole
            Whether to return the job itself as well; fewer storage nodes are then asked.
        deadline
            Time by ``boot_clock`` until which an answer is useful.
        """
        outcome = search_members(
            self._peer_client,
            self._nearest_first(job_id, self._known_storage_nodes()),
            lambda: FindJob(job_id, whole),
            JobFound | JobUnknown,
            lambda reply: isinstance(reply, JobFound),
            _earlier(deadline, FIND_TIMEOUT_S),
            initial_calls=1 if whole else self._rules.kept,
            settle_s=0.0 if whole else FIND_SETTLE_S,
        )
        found = [reply for reply in outcome.replies if isinstance(reply, JobFound)]
        if found:
            return _merge_found(found)
        return NotFound(certain=bool(outcome.replies) and outcome.all_replied)

    def end_job(self, job_id: str) -> tuple[bool, frozenset[str]]:
        """Mark a job as ended on enough storage nodes.

        Returns
        -------
        Whether the end is recorded, and the names of the coordinators that may run the job.
        """
        outcome = self._replicate(
            job_id, EndJob(job_id), JobEnded, END_TIMEOUT_S, initial_calls=self._rules.kept
        )
        coordinators = frozenset(reply.coordinator for _, reply in outcome.replies)
        # A coordinator on the other side of a network partition continues the job, so the end
        # must be known in enough zones.
        zones_needed = self._rules.zones_needed(self._known_storage_nodes())
        is_known = len(outcome.zones) >= zones_needed or self._rules.zones == 1
        return self._is_stored(outcome) and is_known, coordinators - {""}

    def fetch_results(
        self, job_id: str, keys: Iterable[ResultKey], *, deadline: float | None = None
    ) -> dict[ResultKey, JobResult]:
        """Return the contents of results that can be found.

        Parameters
        ----------
        deadline
            Time by ``boot_clock`` until which an answer to a read is useful. The contents are then
            found up to a key that depends on how long they take.
        """
        found: dict[ResultKey, JobResult] = {}
        fetch_until = boot_clock.now() + READ_FETCH_TIME_S
        for part in _parts(tuple(keys)):
            found |= self._fetch_part(job_id, part, deadline)
            if deadline is None:
                continue
            if boot_clock.now() >= fetch_until or any(key not in found for key in part):
                break
        return found

    def _fetch_part(
        self, job_id: str, keys: tuple[ResultKey, ...], deadline: float | None
    ) -> dict[ResultKey, JobResult]:
        found: dict[ResultKey, JobResult] = {}

        def missing() -> tuple[ResultKey, ...]:
            return tuple(key for key in keys if key not in found)

        def add(reply: FetchedResults) -> bool:
            found.update({one.key: one.result for one in reply.results})
            return not missing()

        search_members(
            self._peer_client,
            self._nearest_first(job_id, self._known_storage_nodes()),
            lambda: FetchResults(job_id, missing()),
            FetchedResults,
            add,
            _earlier(deadline, FETCH_TIMEOUT_S),
            hedge_delay_s=FETCH_HEDGE_DELAY_S,
        )
        return found

    def fetch_body(
        self, job_id: str, item_id: str, *, deadline: float | None = None
    ) -> bytes | None | NotFound:
        """Return the request body of an item; ``None`` if the job has no such item."""
        outcome = search_members(
            self._peer_client,
            self._nearest_first(job_id, self._known_storage_nodes()),
            lambda: FetchBody(job_id, item_id),
            FetchedBody | JobUnknown,
            lambda reply: isinstance(reply, FetchedBody),
            _earlier(deadline, FETCH_TIMEOUT_S),
        )
        for reply in outcome.replies:
            if isinstance(reply, FetchedBody):
                return reply.body
        return NotFound(certain=bool(outcome.replies) and outcome.all_replied)

    def _replicate(
        self,
        job_id: str,
        message: PeerMessage,
        reply_type: type[PeerMessage],
        timeout_s: float,
        initial_calls: int | None = None,
        message_bytes: int = 0,
    ) -> CallOutcome:
        """Send a message until enough storage nodes, in enough zones if possible, have replied."""
        members = self._rules.rank(job_id, self._storage_nodes())
        zones = ZoneRule(self._rules.zones_needed(members), self._zone)
        outcome = call_members(
            self._peer_client,
            members,
            message,
            reply_type,
            needed=self._rules.needed,
            timeout_s=timeout_s,
            initial_calls=initial_calls,
            zones=zones if self._rules.zones > 1 else None,
            message_bytes=message_bytes,
        )
        if self._is_stored(outcome) and len(outcome.zones) < self._rules.zones:
            log_message(
                "job:kept_in_one_zone",
                job=job_id,
                message=type(message).__name__,
                zones=sorted(outcome.zones),
                known=sorted({member.zone for member in self._known_storage_nodes()}),
            )
        return outcome

    def _is_stored(self, outcome: CallOutcome) -> bool:
        return len(outcome.replies) >= self._rules.needed

    def _nearest_first(self, job_id: str, members: tuple[Member, ...]) -> list[Member]:
        """Return storage nodes in the order in which they are asked for a job.

        The holders of its copies come first, those in this zone before the others. Nodes that are
        marked as dead are no holders, since repair has copied the job to those that are left.
        """
        ranked = responsive_first(self._rules.rank(job_id, members))
        holders, others = ranked[: self._rules.kept], ranked[self._rules.kept :]
        random.shuffle(holders)
        holders.sort(key=lambda member: member.zone != self._zone)
        return holders + others


def _parts(keys: tuple[ResultKey, ...]) -> Iterator[tuple[ResultKey, ...]]:
    """Yield the keys in the parts in which their contents are fetched."""
    if keys:
        yield keys[:FIRST_RESULTS]
    for begin in range(FIRST_RESULTS, len(keys), RESULTS_PER_FETCH):
        yield keys[begin : begin + RESULTS_PER_FETCH]


def _earlier(deadline: float | None, timeout_s: float) -> float:
    """Return the earlier of a caller's deadline, if it has one, and the end of a timeout."""
    limit = boot_clock.now() + timeout_s
    return limit if deadline is None else min(deadline, limit)


def _agreed_coordinator(names: list[str]) -> str:
    """Return the coordinator that most storage nodes name; among equals, the first by name.

    If two gateways store a job at the same moment, each may see both names. Both must select the
    same one, or each might leave the job to the other.
    """
    return min(names, key=lambda name: (-names.count(name), name))


def _merge_found(found: list[JobFound]) -> JobFound:
    """Merge the answers of several storage nodes; the job is ended if any of them says so."""
    ended = any(one.ended for one in found)
    first = found[0]
    return JobFound(first.coordinator, ended, first.total, first.job)
