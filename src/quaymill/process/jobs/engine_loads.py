"""Polls the engines' reports while batch work wants room, and tells how much there is.

Slots are counted by the keeper of room, from what gateways and coordinators tell. A report tells
what they cannot: the memory left, whether the engine answers, and requests that wait although
the counts show a free slot. Nothing is polled while there is no batch work.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

import attrs

from quaymill import boot_clock
from quaymill.connection.engine_report import EngineReport
from quaymill.connection.replica_connection import ReplicaConnections, ReplicaRequest
from quaymill.process.replica_set.replica import Replica
from quaymill.request.outcome import NotRun, OutcomeUnknown

POLL_INTERVAL_S = 0.25
BUSY_POLL_INTERVAL_S = 0.1
BUSY_MARGIN = 2
"""Free slots up to which an engine counts as busy and is polled more often."""
POLL_TIMEOUT_S = 0.5
REPORT_MAX_AGE_S = 1.0
REPORT_LAG_S = 0.15
"""How old a report may be when it comes: the engines tell how they stood some hundred ms ago."""
KEEP_ALIVE_S = 3.0
MAX_REPORT_BYTES = 256 * 1024
MIN_RESERVE = 1
"""Slots: an online request that finds one free waits for nobody to give way."""
KV_RESERVE_SHARE = 0.1


@attrs.frozen
class ReportProtocol:
    """How an engine is asked for its report."""

    request: Callable[[], ReplicaRequest]
    read: Callable[[bytes], EngineReport | None]


@attrs.define
class _Poll:
    """What is known of one engine.

    Attributes
    ----------
    starts
        When this process started items that the report may not show yet, and their tokens.
    gave_way_at
        When items were cut last that the report may still show.
    """

    report: EngineReport | None = None
    received_at: float = 0.0
    preempted_at: float = 0.0
    starts: list[tuple[float, int]] = attrs.field(factory=list)

    def forget_shown_starts(self) -> None:
        """Drop the starts that the report shows."""
        shown_until = self.received_at - REPORT_LAG_S
        self.starts = [start for start in self.starts if start[0] > shown_until]


class EngineLoads:
    """Reports of the engines of the services that batch work waits for."""

    def __init__(
        self,
        connections: ReplicaConnections,
        protocol: ReportProtocol,
    ) -> None:
        self._connections = connections
        self._protocol = protocol
        self._lock = threading.Lock()
        self._polls_by_replica: dict[str, _Poll] = {}
        self._polled: set[str] = set()
        self._wanted: frozenset[str] = frozenset()
        self._stopping = threading.Event()
        self.polls = 0

    def stop(self) -> None:
        """Poll no more."""
        self._stopping.set()

    def poll_only(self, replicas: Iterable[Replica]) -> None:
        """Poll these engines from now on, and no others."""
        wanted = tuple(replicas)
        self._wanted = frozenset(replica.id for replica in wanted)
        for replica in wanted:
            if replica.id not in self._polled:
                self._polled.add(replica.id)
                threading.Thread(
                    target=self._poll, args=(replica,), name="engine-poll", daemon=True
                ).start()

    def startable_items(self, replica: Replica, tokens: int) -> int:
        """Return how many items more the replica's state and memory allow now.

        Its slots are the keeper's to count: a report is older than the gateways' own counts.

        Parameters
        ----------
        tokens
            Memory that each of them takes.
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
        """Return how many batch items should give way: one for each request that waits."""
        with self._lock:
            poll = self._polls_by_replica.get(replica.id)
            if poll is None or poll.report is None:
                return 0
            if boot_clock.now() - poll.received_at > REPORT_MAX_AGE_S:
                return 0
            if poll.received_at - REPORT_LAG_S <= poll.preempted_at:
                return 0  # What was cut may still be in the report.
            return max(0, poll.report.running + poll.report.waiting - replica.slots)

    def record_start(self, replica: Replica, tokens: int) -> None:
        """Count an item that is being started, until the next report shows it."""
        with self._lock:
            poll = self._polls_by_replica.get(replica.id)
            if poll is not None:
                poll.starts.append((boot_clock.now(), tokens))

    def record_preemption(self, replica: Replica) -> None:
        """Note that items are being cut, which the next reports may still show."""
        with self._lock:
            poll = self._polls_by_replica.get(replica.id)
            if poll is not None:
                poll.preempted_at = boot_clock.now()

    def _poll(self, replica: Replica) -> None:
        """Poll one engine until its report is not wanted any more, or it is gone."""
        while (
            not self._stopping.is_set()
            and replica.id in self._wanted
            and replica.departed_at is None
        ):
            report = None if replica.unreachable else self._fetch_report(replica)
            with self._lock:
                poll = self._polls_by_replica.setdefault(replica.id, _Poll())
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
        body = exchange.read_body(MAX_REPORT_BYTES, deadline)
        if isinstance(body, OutcomeUnknown):
            return None
        exchange.release(KEEP_ALIVE_S)
        report = self._protocol.read(body) if exchange.status == 200 else None
        return report if report is not None and _is_from_listed_start(report, replica) else None


def reserved_slots(replica: Replica, share: float) -> int:
    """Return the slots that batch items leave free for online requests."""
    return max(MIN_RESERVE, round(replica.slots * share))


def _is_from_listed_start(report: EngineReport, replica: Replica) -> bool:
    """Return whether a report is of the start that is listed, as far as both say."""
    born_ms = replica.entry.born_ms
    return not report.born_ms or not born_ms or report.born_ms == born_ms


def _poll_interval_s(replica: Replica, report: EngineReport | None) -> float:
    if report is None:
        return POLL_INTERVAL_S
    free = replica.slots - report.running - report.waiting
    return BUSY_POLL_INTERVAL_S if free <= BUSY_MARGIN else POLL_INTERVAL_S
