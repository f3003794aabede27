"""One replica as seen from this node."""

from __future__ import annotations

import threading

import msgspec

from quaymill import boot_clock
from quaymill.connection.load_messages import LoadReport
from quaymill.connection.member import Machine

REPORT_LIFETIME_S = 4.0
DRAINING_ANSWER_LIFETIME_S = 10.0


class ReplicaView:
    """A live view: the machine, its latest load report, and this node's own requests there.

    All methods may be called from any thread.
    """

    def __init__(self, machine: Machine) -> None:
        self._lock = threading.Lock()
        self._machine = machine
        self._report: LoadReport | None = None
        self._measured_at = 0.0
        self._started_at: dict[int, float] = {}
        self._next_ticket = 0
        self._answered_draining_at: float | None = None
        self.ejected_until = 0.0

    @property
    def machine(self) -> Machine:
        """The entry of the machine list."""
        return self._machine

    @property
    def name(self) -> str:
        """Name of the machine."""
        return self._machine.name

    def set_machine(self, machine: Machine) -> None:
        """Take over a newer entry of the machine list."""
        self._machine = machine

    def offer_report(self, report: LoadReport) -> bool:
        """Keep a report if it was measured after the one held; return whether it was."""
        measured_at = boot_clock.now() - report.age_s
        with self._lock:
            if self._report is not None and measured_at <= self._measured_at:
                return False
            self._report = report
            self._measured_at = measured_at
            return True

    def report(self) -> LoadReport | None:
        """Return the latest report with its present age; ``None`` if none is held."""
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
            self._started_at[self._next_ticket] = boot_clock.now()
            return self._next_ticket

    def end(self, ticket: int) -> None:
        """Stop counting a request."""
        with self._lock:
            self._started_at.pop(ticket, None)

    @property
    def own_in_flight(self) -> int:
        """Requests of this node in service there."""
        return len(self._started_at)

    @property
    def ejected(self) -> bool:
        """Whether this node's own experience speaks against the replica for now."""
        return self.ejection_left_s > 0.0

    @property
    def ejection_left_s(self) -> float:
        """Seconds until an ejected replica takes requests again."""
        return max(0.0, self.ejected_until - boot_clock.now())

    def record_draining_answer(self) -> None:
        """Note that the replica itself refused new work because it is leaving."""
        self._answered_draining_at = boot_clock.now()

    def forget_failures(self) -> None:
        """Forget this node's own bad experience."""
        self.ejected_until = 0.0
        self._answered_draining_at = None

    @property
    def draining(self) -> bool:
        """Whether the machine list, the report or the replica's own answer says it leaves."""
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
        """Whether the last poll that this node heard of was answered."""
        report = self._report
        return report is None or report.reachable

    def is_busy(self) -> bool:
        """Return whether the latest report shows full slots or a queue."""
        report = self._report
        if report is None or not report.reachable:
            return False
        return report.waiting > 0 or 0 < report.slots <= report.running

    def is_busy_since(self, sent_at: float) -> bool:
        """Return whether a report measured after ``sent_at`` shows that."""
        return self._measured_at >= sent_at and self.is_busy()

    def load(self) -> float | None:
        """Return the online requests at the replica; ``None`` if that is not known.

        The report counts as of its time of measurement, so this node's requests since then
        are added. A replica that reports less than this node alone has there is not believed.
        """
        with self._lock:
            report = self._report
            if report is None or boot_clock.now() - self._measured_at > REPORT_LIFETIME_S:
                return None
            measured_at = self._measured_at
            since = sum(1 for started_at in self._started_at.values() if started_at > measured_at)
            reported = report.running - report.batch_running + report.waiting
            return max(reported + since, len(self._started_at))

    @property
    def slots(self) -> int:
        """Requests the replica runs at once; 0 if it has not said."""
        report = self._report
        return 0 if report is None else report.slots
