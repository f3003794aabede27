"""Removes from a quota's ledger what nobody cares for any more.

A gateway that dies leaves entries behind: of jobs that were counted and never kept, of jobs that
were over before their entry was removed, and its allowance. One gateway for each route, the
one that ranks first for it, looks at the ledger now and then and removes what has stood still.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.process.jobs.quota_ledger import Ledger, LedgerDocument, QuotaLedgers

SWEEP_INTERVAL_S = 5.0
"""Time between two looks; each is one call of the store at one gateway."""
UNCARED_AFTER_S = 10.0
"""How long a job's entry must stand still before anyone asks about the job: several times what
it takes until a job whose gateway died is run by another."""
ALLOWANCE_LOST_AFTER_S = 60.0
"""How long an allowance must stand still before it is taken back: twice the time after which
its holder may not use it any more, since the holder's clock may run slower."""


@attrs.define
class _Seen:
    """How an entry looked, and since when (monotonic) it has looked so."""

    changes: int
    since: float


class LedgerSweep:
    """Looks at ledgers; used by one thread only.

    Parameters
    ----------
    is_mine
        Whether this gateway sweeps a route's ledger.
    is_over
        Whether nothing of a job waits any more, or it was never kept; ``False`` where that is
        not certain.
    """

    def __init__(
        self,
        ledgers: QuotaLedgers,
        is_mine: Callable[[str], bool],
        is_over: Callable[[str], bool],
    ) -> None:
        self._ledgers = ledgers
        self._is_mine = is_mine
        self._is_over = is_over
        self._looked_at_by_route: dict[str, float] = {}
        self._seen: dict[tuple[str, str], _Seen] = {}

    def look(self, route: str, own_jobs: frozenset[str]) -> None:
        """Look at a route's ledger, if it is time and this gateway's turn.

        Parameters
        ----------
        own_jobs
            Jobs that this gateway runs: it corrects their entries itself.
        """
        now = boot_clock.now()
        if not self._is_mine(route):
            self._forget(route)
            return
        if now - self._looked_at_by_route.get(route, 0.0) < SWEEP_INTERVAL_S:
            return
        self._looked_at_by_route[route] = now
        ledger = self._ledgers.newer(route, Ledger())
        jobs = self._jobs_to_remove(route, ledger.document, own_jobs, now)
        allowances = self._allowances_to_remove(route, ledger.document, now)
        if not jobs and not allowances:
            return

        def remove(document: LedgerDocument) -> LedgerDocument:
            """Remove only what still stands as it did when it was looked at."""
            for job_id in jobs:
                if document.jobs.get(job_id) == ledger.document.jobs[job_id]:
                    document = document.with_job(job_id, 0)
            for name in allowances:
                if document.allowances.get(name) == ledger.document.allowances[name]:
                    document = document.with_allowance(name, 0)
            return document

        self._ledgers.change(route, ledger, remove)
        log_message("quota:swept", route=route, jobs=jobs, allowances=allowances)

    def _forget(self, route: str) -> None:
        """Begin anew when this gateway's turn comes again."""
        self._seen = {key: seen for key, seen in self._seen.items() if key[0] != route}

    def _jobs_to_remove(
        self, route: str, document: LedgerDocument, own_jobs: frozenset[str], now: float
    ) -> list[str]:
        found = []
        for job_id, entry in document.jobs.items():
            seen = self._note(route, f"job/{job_id}", entry.changes, now)
            if job_id in own_jobs or now - seen.since < UNCARED_AFTER_S:
                continue
            if self._is_over(job_id):
                found.append(job_id)
            seen.since = now
        return found

    def _allowances_to_remove(self, route: str, document: LedgerDocument, now: float) -> list[str]:
        found = []
        for name, allowance in document.allowances.items():
            seen = self._note(route, f"allowance/{name}", allowance.renewals, now)
            if now - seen.since >= ALLOWANCE_LOST_AFTER_S:
                found.append(name)
        return found

    def _note(self, route: str, what: str, changes: int, now: float) -> _Seen:
        seen = self._seen.get((route, what))
        if seen is None or seen.changes != changes:
            seen = self._seen[route, what] = _Seen(changes, now)
        return seen
