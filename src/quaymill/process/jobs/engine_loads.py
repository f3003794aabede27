"""Polls the load reports of engines while batch items need slots.

The slot allocator counts slots itself, from the messages of gateways and coordinators. An engine's
report adds what these cannot know: the free memory, whether the engine answers, and requests that
wait there although the counts show a free slot. Each claim decides which engines are polled until
the next one.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

import attrs

from quaymill import boot_clock
from quaymill.connection.engine_report import EngineReport
from quaymill.connection.replica_connection import Exchange, ReplicaConnections, ReplicaRequest
from quaymill.process.replica_set.replica import Replica
from quaymill.request.outcome import NotRun, OutcomeUnknown

POLL_INTERVAL_S = 0.25
BUSY_POLL_INTERVAL_S = 0.1
BUSY_MARGIN = 2
"""An engine with at most this many free slots is busy and polled more often."""
POLL_TIMEOUT_S = 0.5
REPORT_MAX_AGE_S = 1.0
REPORT_LAG_S = 0.15
"""Maximum age of a report's content when it arrives: engines report a state that is up to some
hundred milliseconds old."""
KEEP_ALIVE_S = 3.0
"""How long the connection stays open for the next poll."""
MAX_REPORT_BYTES = 256 * 1024
MIN_RESERVE = 1
"""Minimum number of slots left free, so that an online request need not wait for a preemption."""
KV_RESERVE_SHARE = 0.1
"""Share of an engine's KV cache that batch items leave free."""


@attrs.frozen
class ReportProtocol:
    """How to request and parse an engine's report.

    Attributes
    ----------
    read_cold_left
        Returns the remaining warm-up time that the answer states; ``None`` if it states none.
    answers_request
        Returns whether an answer belongs to a caller's request, and has come in place of a report.
    """

    request: Callable[[], ReplicaRequest]
    read: Callable[[bytes], EngineReport | None]
    read_cold_left: Callable[[Exchange], float | None] = lambda exchange: None
    answers_request: Callable[[Exchange], bool] = lambda exchange: False


@attrs.define
class _PollState:
    """The last report of one engine, and what it may not include yet.

    Attributes
    ----------
    received_at
        When the report arrived; monotonic.
    preempted_at
        When items were last preempted; the report may still count them.
    starts
        Start times and tokens of items that the report may not count yet.
    """

    report: EngineReport | None = None
    received_at: float = 0.0
    preempted_at: float = 0.0
    starts: list[tuple[float, int]] = attrs.field(factory=list)

    def forget_shown_starts(self) -> None:
        """Drop the starts that the report includes."""
        shown_until = self.received_at - REPORT_LAG_S
        self.starts = [start for start in self.starts if start[0] > shown_until]


class EngineLoads:
    """Reports of the engines that batch items wait for; safe to use from any thread."""

    def __init__(
        self,
        connections: ReplicaConnections,
        protocol: ReportProtocol,
    ) -> None:
        self._connections = connections
        self._protocol = protocol
        self._lock = threading.Lock()
        self._polls_by_replica: dict[str, _PollState] = {}
        self._polled: set[str] = set()
        self._wanted: frozenset[str] = frozenset()
        self._stopping = threading.Event()
        self.polls = 0

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()

    def poll_only(self, replicas: Iterable[Replica]) -> None:
        """Poll these engines and no others from now on."""
        wanted = tuple(replicas)
        self._wanted = frozenset(replica.id for replica in wanted)
        for replica in wanted:
            if replica.id not in self._polled:
                self._polled.add(replica.id)
                threading.Thread(
                    target=self._poll, args=(replica,), name="engine-poll", daemon=True
                ).start()

    def startable_items(self, replica: Replica, tokens: int) -> int:
        """Return how many more items a replica's health and free memory allow.

        Occupied slots are not considered here: the allocator counts them, from newer information.

        Parameters
        ----------
        tokens
            Memory of each item, in tokens of the KV cache.
        """
        with self._lock:
            poll = self._polls_by_replica.get(replica.id)
            if poll is None or poll.report is None or replica.leaving or replica.avoided:
                return 0
            if boot_clock.now() - poll.received_at > REPORT_MAX_AGE_S or poll.report.waiting:
                return 0
            report = poll.report
            if not report.kv_total_tokens or not tokens:
                return replica.slots
            kv_usable_tokens = report.kv_total_tokens * (1 - KV_RESERVE_SHARE)
            kv_free_tokens = (
                kv_usable_tokens - report.kv_used_tokens - sum(start[1] for start in poll.starts)
            )
            return max(0, min(replica.slots, int(kv_free_tokens // tokens)))

    def excess(self, replica: Replica) -> int:
        """Return how many batch items to preempt: the requests beyond the engine's slots."""
        with self._lock:
            poll = self._polls_by_replica.get(replica.id)
            if poll is None or poll.report is None:
                return 0
            if boot_clock.now() - poll.received_at > REPORT_MAX_AGE_S:
                return 0
            if poll.received_at - REPORT_LAG_S <= poll.preempted_at:
                return 0  # The report may still count preempted items.
            return max(0, poll.report.running + poll.report.waiting - replica.slots)

    def record_start(self, replica: Replica, tokens: int) -> None:
        """Count an item that is being started until a report includes it."""
        with self._lock:
            poll = self._polls_by_replica.get(replica.id)
            if poll is not None:
                poll.starts.append((boot_clock.now(), tokens))

    def record_preemption(self, replica: Replica) -> None:
        """Record that items are being preempted, which the next reports may still count."""
        with self._lock:
            poll = self._polls_by_replica.get(replica.id)
            if poll is not None:
                poll.preempted_at = boot_clock.now()

    def _poll(self, replica: Replica) -> None:
        """Poll one engine until its reports are no longer needed or it has departed."""
        while (
            not self._stopping.is_set()
            and replica.id in self._wanted
            and replica.departed_at is None
        ):
            report = None if replica.unreachable else self._fetch_report(replica)
            with self._lock:
                poll = self._polls_by_replica.setdefault(replica.id, _PollState())
                if report is not None:
                    poll.report = report
                    poll.received_at = boot_clock.now()
                    poll.forget_shown_starts()
            self._stopping.wait(_poll_interval_s(replica, report))
        with self._lock:
            self._polls_by_replica.pop(replica.id, None)
        self._polled.discard(replica.id)

    def _fetch_report(self, replica: Replica) -> EngineReport | None:
        self.polls += 1
        deadline = boot_clock.now() + POLL_TIMEOUT_S
        exchange = self._connections.send(replica.entry.address, self._protocol.request())
        if isinstance(exchange, NotRun | OutcomeUnknown):
            return None
        if exchange.read_head(POLL_TIMEOUT_S) is not None:
            return None
        if self._protocol.answers_request(exchange):
            exchange.abandon()
            return None
        body = exchange.read_body(MAX_REPORT_BYTES, deadline)
        if isinstance(body, OutcomeUnknown):
            return None
        exchange.release(KEEP_ALIVE_S)
        report = self._protocol.read(body) if exchange.status == 200 else None
        if report is None or not _is_from_listed_process(report, replica):
            return None
        replica.record_cold_left(self._protocol.read_cold_left(exchange))
        return report


def reserved_slots(replica: Replica, share: float) -> int:
    """Return how many slots batch items leave free for online requests."""
    return max(MIN_RESERVE, round(replica.slots * share))


def _is_from_listed_process(report: EngineReport, replica: Replica) -> bool:
    """Return whether a report is from the process that is listed for the replica.

    Also true if a start time is missing in the report or in the list.
    """
    started_ms = replica.entry.started_ms
    return not report.started_ms or not started_ms or report.started_ms == started_ms


def _poll_interval_s(replica: Replica, report: EngineReport | None) -> float:
    if report is None:
        return POLL_INTERVAL_S
    free = replica.slots - report.running - report.waiting
    return BUSY_POLL_INTERVAL_S if free <= BUSY_MARGIN else POLL_INTERVAL_S
