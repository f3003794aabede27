"""State of one replica as known to this node."""

from __future__ import annotations

import threading

import msgspec

from quaymill import boot_clock
from quaymill.connection.load_messages import LoadReport
from quaymill.connection.member import Machine

REPORT_LIFETIME_S = 4.0
DRAINING_ANSWER_LIFETIME_S = 10.0


class ReplicaView:
    """A replica's machine, its latest load report and this node's requests in flight to it.

    All methods may be called from any thread.
    """

    def __init__(self, machine: Machine) -> None:
        self._lock = threading.Lock()
        self._machine = machine
        self._report: LoadReport | None = None
        self._measured_at = 0.0
        self._started_at_by_ticket: dict[int, float] = {}
        self._next_ticket = 0
        self._answered_draining_at: float | None = None
        self.ejected_until = 0.0

    @property
    def machine(self) -> Machine:
        """The replica's entry in the machine list."""
        return self._machine

    @property
    def name(self) -> str:
        """Name of the machine."""
        return self._machine.name

    def set_machine(self, machine: Machine) -> None:
        """Replace the entry by a newer one of the machine list."""
        self._machine = machine

    def offer_report(self, report: LoadReport) -> bool:
        """Store a report if it is newer than the stored one; return whether it was stored."""
        measured_at = boot_clock.now() - report.age_s
        with self._lock:
            if self._report is not None and measured_at <= self._measured_at:
                return False
            self._report = report
            self._measured_at = measured_at
            return True

    def report(self) -> LoadReport | None:
        """Return the latest report with its current age; ``None`` if there is none."""
        with self._lock:
            if self._report is None:
                return None
            report = self._report
            age_s = boot_clock.now() - self._measured_at
        return msgspec.structs.replace(report, age_s=round(age_s, 3))

    def begin(self) -> int:
        """Count a request that is being sent; return the ticket for ``end``."""
        with self._lock:
            self._next_ticket += 1
            self._started_at_by_ticket[self._next_ticket] = boot_clock.now()
            return self._next_ticket

    def end(self, ticket: int) -> None:
        """Stop counting a request."""
        with self._lock:
            self._started_at_by_ticket.pop(ticket, None)

    @property
    def local_in_flight(self) -> int:
        """Requests of this node in flight to the replica."""
        return len(self._started_at_by_ticket)

    @property
    def ejected(self) -> bool:
        """Whether the replica is ejected now because of failures seen by this node."""
        return self.ejection_left_s > 0.0

    @property
    def ejection_left_s(self) -> float:
        """Seconds until an ejected replica takes requests again."""
        return max(0.0, self.ejected_until - boot_clock.now())

    def record_draining_answer(self) -> None:
        """Record that the replica refused a request because it is draining."""
        self._answered_draining_at = boot_clock.now()

    def forget_failures(self) -> None:
        """Clear the ejection and the draining state that this node has recorded."""
        self.ejected_until = 0.0
        self._answered_draining_at = None

    @property
    def draining(self) -> bool:
        """Whether the machine list, the report or a recent answer says that it is draining."""
        if self._machine.draining:
            return True
        report = self._report
        if report is not None and report.draining:
            return True
        answered_at = self._answered_draining_at
        if answered_at is None or self._measured_at > answered_at:
            return False
        return boot_clock.now() - answered_at < DRAINING_ANSWER_LIFETIME_S

    @property
    def reachable(self) -> bool:
        """Whether the replica answered the poll of the latest report; true without a report."""
        report = self._report
        return report is None or report.reachable

    def is_busy(self) -> bool:
        """Return whether the latest report shows no free slots or a queue."""
        report = self._report
        if report is None or not report.reachable:
            return False
        return report.waiting > 0 or 0 < report.slots <= report.running

    def is_busy_since(self, sent_at: float) -> bool:
        """Return whether a report measured at or after ``sent_at`` shows a busy replica."""
        return self._measured_at >= sent_at and self.is_busy()

    def load(self) -> float | None:
        """Return the number of online requests at the replica; ``None`` if it is not known.

        Requests of this node that started after the report was measured are added. The result
        is never less than this node's own requests in flight, whatever the replica reports.
        """
        with self._lock:
            report = self._report
            if report is None or boot_clock.now() - self._measured_at > REPORT_LIFETIME_S:
                return None
            measured_at = self._measured_at
            started_after_report = sum(
                1 for started_at in self._started_at_by_ticket.values() if started_at > measured_at
            )
            reported = report.running - report.batch_running + report.waiting
            return max(reported + started_after_report, len(self._started_at_by_ticket))

    @property
    def slots(self) -> int:
        """Number of requests that the replica runs at once; 0 if it is not known."""
        report = self._report
        return 0 if report is None else report.slots
