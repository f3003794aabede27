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
        self._looked_at_by_ledger: dict[str, float] = {}
        self._listed_at_by_route: dict[str, float] = {}
        self._listed: tuple[str, ...] = ()
        self._seen: dict[tuple[str, str], _Seen] = {}

    def ledgers(self, route: str) -> tuple[str, ...]:
        """Return the ledgers that stand in the store, at the gateway that sweeps this route's."""
        now = boot_clock.now()
        if not self._is_mine(route):
            return ()
        if now - self._listed_at_by_route.get(route, -SWEEP_INTERVAL_S) >= SWEEP_INTERVAL_S:
            self._listed_at_by_route[route] = now
            self._listed = self._ledgers.names()
        return self._listed

    def look(self, ledger: str, route: str, own_jobs: frozenset[str]) -> None:
        """Look at a ledger of a route, if it is time and this gateway's turn.

        Parameters
        ----------
        own_jobs
            Jobs that this gateway runs: it corrects their entries itself.
        """
        now = boot_clock.now()
        if not self._is_mine(route):
            self._forget(ledger)
            return
        if now - self._looked_at_by_ledger.get(ledger, 0.0) < SWEEP_INTERVAL_S:
            return
        self._looked_at_by_ledger[ledger] = now
        held = self._ledgers.newer(ledger, Ledger())
        jobs = self._jobs_to_remove(ledger, held.document, own_jobs, now)
        allowances = self._allowances_to_remove(ledger, held.document, now)
        if not jobs and not allowances:
            return

        def remove(document: LedgerDocument) -> LedgerDocument:
            """Remove only what still stands as it did when it was looked at."""
            for job_id in jobs:
                if document.jobs.get(job_id) == held.document.jobs[job_id]:
                    document = document.with_job(job_id, 0)
            for name in allowances:
                if document.allowances.get(name) == held.document.allowances[name]:
                    document = document.with_allowance(name, 0)
            return document

        self._ledgers.change(ledger, held, remove)
        log_message("quota:swept", ledger=ledger, jobs=jobs, allowances=allowances)

    def _forget(self, ledger: str) -> None:
        """Begin anew when this gateway's turn comes again."""
        self._seen = {key: seen for key, seen in self._seen.items() if key[0] != ledger}

    def _jobs_to_remove(
        self, ledger: str, document: LedgerDocument, own_jobs: frozenset[str], now: float
    ) -> list[str]:
        found = []
        for job_id, entry in document.jobs.items():
            seen = self._note(ledger, f"job/{job_id}", entry.changes, now)
            if job_id in own_jobs or now - seen.since < UNCARED_AFTER_S:
                continue
            if self._is_over(job_id):
                found.append(job_id)
            seen.since = now
        return found

    def _allowances_to_remove(self, ledger: str, document: LedgerDocument, now: float) -> list[str]:
        found = []
        for name, allowance in document.allowances.items():
            seen = self._note(ledger, f"allowance/{name}", allowance.renewals, now)
            if now - seen.since >= ALLOWANCE_LOST_AFTER_S:
                found.append(name)
        return found

    def _note(self, ledger: str, what: str, changes: int, now: float) -> _Seen:
        seen = self._seen.get((ledger, what))
        if seen is None or seen.changes != changes:
            seen = self._seen[ledger, what] = _Seen(changes, now)
        return seen
