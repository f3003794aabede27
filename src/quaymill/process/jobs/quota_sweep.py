"""Removes orphaned entries from quota ledgers.

A gateway that dies leaves entries behind: jobs that were counted but never stored, jobs that were
over before their entry was removed, and its allowance. For each route, the gateway that ranks first
for it checks the ledgers regularly and removes entries that have not changed for long enough.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.process.jobs.quota_ledger import Ledger, LedgerDocument, QuotaLedgers

SWEEP_INTERVAL_S = 5.0
"""Interval between two sweeps of a ledger; each costs one call of the store."""
ORPHANED_AFTER_S = 10.0
"""Time without a change after which the sweep checks whether an entry's job is over. It is longer
than the adoption of a job by another gateway takes."""
ALLOWANCE_ORPHANED_AFTER_S = 60.0
"""Time without a renewal after which an allowance is removed. It is longer than the term of an
allowance, because the clock of its gateway may run slower."""


@attrs.define
class _SeenEntry:
    """The last seen change counter of an entry.

    Attributes
    ----------
    since
        Monotonic time when the counter was first seen, or when the job was last checked.
    """

    changes: int
    since: float


class LedgerSweep:
    """Sweeps ledgers; used by one thread only.

    Parameters
    ----------
    sweeps_route
        Returns whether this gateway sweeps the ledgers of a route.
    is_over
        Returns whether a job is certainly over or was never stored.
    """

    def __init__(
        self,
        ledgers: QuotaLedgers,
        sweeps_route: Callable[[str], bool],
        is_over: Callable[[str], bool],
    ) -> None:
        self._ledgers = ledgers
        self._sweeps_route = sweeps_route
        self._is_over = is_over
        self._swept_at_by_ledger: dict[str, float] = {}
        self._listed_at_by_route: dict[str, float] = {}
        self._listed: tuple[str, ...] = ()
        self._seen: dict[tuple[str, str], _SeenEntry] = {}

    def ledgers(self, route: str) -> tuple[str, ...]:
        """Return the names of all stored ledgers; none if another gateway sweeps the route."""
        now = boot_clock.now()
        if not self._sweeps_route(route):
            return ()
        if now - self._listed_at_by_route.get(route, -SWEEP_INTERVAL_S) >= SWEEP_INTERVAL_S:
            self._listed_at_by_route[route] = now
            self._listed = self._ledgers.names()
        return self._listed

    def sweep(self, ledger: str, route: str, own_jobs: frozenset[str]) -> None:
        """Sweep a ledger of a route if it is due and this gateway sweeps the route.

        Parameters
        ----------
        own_jobs
            Jobs that this gateway runs; their entries are not removed here.
        """
        now = boot_clock.now()
        if not self._sweeps_route(route):
            self._forget(ledger)
            return
        if now - self._swept_at_by_ledger.get(ledger, 0.0) < SWEEP_INTERVAL_S:
            return
        self._swept_at_by_ledger[ledger] = now
        known = self._ledgers.newer(ledger, Ledger())
        jobs = self._jobs_to_remove(ledger, known.document, own_jobs, now)
        allowances = self._allowances_to_remove(ledger, known.document, now)
        if not jobs and not allowances:
            return

        def remove(document: LedgerDocument) -> LedgerDocument:
            """Remove the entries that have not changed since they were checked."""
            for job_id in jobs:
                if document.jobs.get(job_id) == known.document.jobs[job_id]:
                    document = document.with_job(job_id, 0)
            for name in allowances:
                if document.allowances.get(name) == known.document.allowances[name]:
                    document = document.with_allowance(name, 0)
            return document

        self._ledgers.change(ledger, known, remove)
        log_message("quota:swept", ledger=ledger, jobs=jobs, allowances=allowances)

    def _forget(self, ledger: str) -> None:
        """Drop what was seen of a ledger that another gateway sweeps now."""
        self._seen = {key: seen for key, seen in self._seen.items() if key[0] != ledger}

    def _jobs_to_remove(
        self, ledger: str, document: LedgerDocument, own_jobs: frozenset[str], now: float
    ) -> list[str]:
        orphaned = []
        for job_id, entry in document.jobs.items():
            seen = self._observe(ledger, f"job/{job_id}", entry.changes, now)
            if job_id in own_jobs or now - seen.since < ORPHANED_AFTER_S:
                continue
            if self._is_over(job_id):
                orphaned.append(job_id)
            seen.since = now
        return orphaned

    def _allowances_to_remove(self, ledger: str, document: LedgerDocument, now: float) -> list[str]:
        orphaned = []
        for name, allowance in document.allowances.items():
            seen = self._observe(ledger, f"allowance/{name}", allowance.renewals, now)
            if now - seen.since >= ALLOWANCE_ORPHANED_AFTER_S:
                orphaned.append(name)
        return orphaned

    def _observe(self, ledger: str, entry_key: str, changes: int, now: float) -> _SeenEntry:
        seen = self._seen.get((ledger, entry_key))
        if seen is None or seen.changes != changes:
            seen = self._seen[ledger, entry_key] = _SeenEntry(changes, now)
        return seen
