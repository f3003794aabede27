"""Enforces the quota of unfinished tokens of batch routes across all gateways.

If there are tenants, each has a quota and a ledger of its own. A new job is counted before it is
stored: under this gateway's allowance if the job fits there, else in the ledger (see
``quota_ledger``). A thread reconciles the ledger with the jobs of this gateway: it enters jobs
counted under the allowance, updates the unfinished tokens of jobs, and renews the allowance. For
each route, one gateway also removes orphaned entries.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterable, Mapping

from eliot import log_message

from quaymill import boot_clock
from quaymill.process.jobs.coordinated_job import CoordinatedJob
from quaymill.process.jobs.quota_ledger import (
    Ledger,
    LedgerDocument,
    LedgerUnknown,
    QuotaLedgers,
    allowance_for,
    fits,
    is_ledger_of,
    ledger_name,
)
from quaymill.process.jobs.quota_sweep import LedgerSweep
from quaymill.process.jobs.route_quota import (
    Admitted,
    OverQuota,
    PendingEntries,
    QuotaDecision,
    QuotaUnknown,
    RouteQuota,
)
from quaymill.version.request_routes import RequestRoute, RequestRoutes

RECONCILE_INTERVAL_S = 0.4
"""Interval between two checks for changes of this gateway's jobs."""
RECONCILE_PAUSE_S = 0.2
"""Maximum length of the first pause after a write conflict during reconciliation. It may be longer
than during admission, because no client waits for a reconciliation."""
ALLOWANCE_RENEWAL_S = 20.0
"""Interval at which an allowance is renewed: two thirds of its term, because each renewal costs two
calls of the store."""
ALLOWANCE_TERM_S = 30.0
"""Time after its last renewal during which an allowance may be used. It bridges outages of the
store, and ends long before the sweep removes the allowance."""
FIRST_ALLOWANCE_DELAY_S = 5.0
"""Minimum time from the start to the first allowance. A previous process of this gateway may have
used its allowance; the gateways that adopt its jobs enter them within this time."""
FIRST_ALLOWANCE_SPREAD_S = 10.0
"""Random extra time before the first allowance, so that gateways which start together do not all
change the ledger at once."""
LEDGER_FRESH_S = 0.5
"""Age up to which a known ledger is changed without reading it again. Other gateways change a
ledger about once a second."""
SMALL_CHANGE_SHARE = 0.02
"""Share of the quota by which a running job's entry must differ before it is updated."""
ENTER_ALL_FROM_SHARE = 0.5
"""If jobs hold more than this share of the quota, every change is entered, however small."""
DEFAULT_OVERRUN_SHARE = 0.1
"""Tolerated overrun of a quota if the settings do not give one."""
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 5.0
"""Bounds of the time after which a client is asked to retry."""
FREED_WINDOW_S = 10.0
"""Time window over which the rate of freed tokens is computed."""
UNUSED_AFTER_S = 2 * ALLOWANCE_TERM_S
"""Time without a job after which a tenant's ledger is no longer tracked here. Its allowance is then
neither used nor renewed."""


class BatchQuota:
    """Counts the unfinished tokens of jobs; safe to use from any thread.

    Parameters
    ----------
    name
        Name of this gateway; the same after a restart.
    routes
        Returns the current routes.
    coordinated_jobs
        Returns the jobs of this gateway, including those that are over.
    gateways
        Returns the number of live gateways, including this one.
    is_known
        Returns whether storage nodes have a job; ``None`` if that is not certain.
    overrun_share
        Share of a quota by which it may be exceeded.
    sweep
        Removes orphaned entries of the routes that this gateway sweeps.
    """

    def __init__(
        self,
        name: str,
        ledgers: QuotaLedgers,
        routes: Callable[[], RequestRoutes],
        coordinated_jobs: Callable[[], Iterable[CoordinatedJob]],
        gateways: Callable[[], int],
        is_known: Callable[[str], bool | None],
        overrun_share: float = DEFAULT_OVERRUN_SHARE,
        sweep: LedgerSweep | None = None,
    ) -> None:
        self._name = name
        self._ledgers = ledgers
        self._routes = routes
        self._coordinated_jobs = coordinated_jobs
        self._gateways = gateways
        self._is_known = is_known
        self._overrun_share = overrun_share
        self._sweep = sweep
        self._lock = threading.Lock()
        self._states_by_ledger: dict[str, RouteQuota] = {}
        self._stopping = threading.Event()
        self._first_allowance_at = (
            boot_clock.now()
            + FIRST_ALLOWANCE_DELAY_S
            + random.uniform(0.0, FIRST_ALLOWANCE_SPREAD_S)
        )

    def start(self) -> None:
        """Start to reconcile ledgers and to renew allowances."""
        threading.Thread(target=self._reconcile_loop, name="quota", daemon=True).start()

    def stop(self) -> None:
        """Stop reconciling ledgers."""
        self._stopping.set()

    def admit(
        self, job_id: str, route: RequestRoute, tokens: int, tenant: str | None = None
    ) -> QuotaDecision:
        """Count a new job of a tenant; a job that is submitted again is counted once."""
        quota = route.max_unfinished_tokens
        if not quota:
            return Admitted("no-quota")
        began = boot_clock.now()
        ledger = ledger_name(route.name, tenant)
        decision = self._charge(job_id, ledger, quota, tokens)
        decision = decision or self._enter(job_id, ledger, quota, tokens)
        if isinstance(decision, OverQuota):
            decision = self._admit_if_known(job_id, decision)
        newest = self._state_of(ledger).ledger
        log_message(
            "quota:decided",
            job=job_id,
            route=route.name,
            tokens=tokens,
            quota=quota,
            held=newest.document.job_tokens,
            allowances=newest.document.allowance_tokens,
            revision=newest.revision,
            outcome=type(decision).__name__,
            by=getattr(decision, "by", ""),
            reason=getattr(decision, "reason", ""),
            took_s=round(boot_clock.now() - began, 3),
        )
        return decision

    def withdraw(
        self, job_id: str, route: RequestRoute, admitted: Admitted, tenant: str | None = None
    ) -> None:
        """Undo the count of a job that was certainly not stored."""
        if not route.max_unfinished_tokens:
            return
        state = self._state_of(ledger_name(route.name, tenant))
        with self._lock:
            if admitted.by == "allowance":
                state.remaining += state.charged.pop(job_id, 0)
            elif admitted.created is not None:
                state.withdrawn[job_id] = admitted.created

    # Admission.

    def _charge(self, job_id: str, ledger: str, quota: int, tokens: int) -> Admitted | None:
        """Count a job under the allowance; return ``None`` if that is expired or too small."""
        state = self._state_of(ledger)
        with self._lock:
            if job_id in state.charged:
                return Admitted("allowance")
            age_s = boot_clock.now() - state.renewed_at
            usable = state.quota <= quota and age_s < ALLOWANCE_TERM_S
            if not usable or tokens > state.remaining:
                return None
            state.remaining -= tokens
            state.charged[job_id] = tokens
            return Admitted("allowance")

    def _enter(self, job_id: str, ledger: str, quota: int, tokens: int) -> QuotaDecision:
        """Count a job in the ledger, if it fits there."""
        state = self._state_of(ledger)
        is_new = False

        def enter(document: LedgerDocument) -> LedgerDocument:
            nonlocal is_new
            known = document.jobs.get(job_id)
            is_new = known is None
            if known is not None:
                # Written again, so that it is not removed as orphaned.
                return document.with_job(job_id, known.tokens)
            if not fits(document, tokens, quota, self._overrun_share):
                return document
            return document.with_job(job_id, tokens)

        current: Ledger | LedgerUnknown = self._ledger_to_change(ledger, state)
        if not current.revision or enter(current.document) is current.document:
            current = self._ledgers.read(ledger)
        if isinstance(current, Ledger):
            current = self._ledgers.change(ledger, current, enter)
        if isinstance(current, LedgerUnknown):
            return QuotaUnknown(f"the quota ledger cannot be changed: {current.reason}")
        self._update_ledger(state, current)
        if job_id not in current.document.jobs:
            held_tokens = current.document.job_tokens
            return OverQuota(
                held_tokens, quota, self._retry_after_s(state, held_tokens + tokens - quota)
            )
        entry = current.document.jobs[job_id]
        with self._lock:
            state.withdrawn.pop(job_id, None)
            state.entered[job_id] = entry.tokens
        return Admitted("ledger", entry if is_new else None)

    def _admit_if_known(self, job_id: str, over_quota: OverQuota) -> QuotaDecision:
        """Admit a job that was accepted before but is not in the ledger yet."""
        known = self._is_known(job_id)
        if known is None:
            return QuotaUnknown("storage nodes cannot confirm whether the job was accepted before")
        return Admitted("accepted-before") if known else over_quota

    def _retry_after_s(self, state: RouteQuota, missing_tokens: int) -> float:
        """Estimate after how many seconds a job may fit, from the recent rate of freed tokens."""
        oldest = boot_clock.now() - FREED_WINDOW_S
        with self._lock:
            while state.freed and state.freed[0][0] < oldest:
                state.freed.popleft()
            rate = sum(tokens for _, tokens in state.freed) / FREED_WINDOW_S
        wait_s = missing_tokens / rate if rate > 0 else MAX_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    # Reconciliation.

    def _reconcile_loop(self) -> None:
        while not self._stopping.wait(RECONCILE_INTERVAL_S):
            try:
                self.reconcile()
            except Exception as error:  # A bug must not end the thread.
                log_message("quota:settle_error", error=repr(error))

    def reconcile(self) -> None:
        """Enter what has changed since the last call, in every ledger that is tracked here."""
        jobs_by_ledger: dict[str, list[CoordinatedJob]] = {}
        for job in self._coordinated_jobs():
            if job.route is not None:
                name = ledger_name(job.route.name, job.job.tenant)
                jobs_by_ledger.setdefault(name, []).append(job)
        routes = self._routes()
        for route in routes.routes:
            quota = route.max_unfinished_tokens
            if quota:
                for ledger in self._tracked_ledgers(route.name, routes, jobs_by_ledger):
                    jobs = jobs_by_ledger.get(ledger, [])
                    self._reconcile_ledger(ledger, quota, jobs)
                    if self._sweep is not None:
                        own_jobs = frozenset(job.id for job in jobs if not job.handed_over)
                        self._sweep.sweep(ledger, route.name, own_jobs)

    def _tracked_ledgers(
        self, route: str, routes: RequestRoutes, jobs_by_ledger: Mapping[str, object]
    ) -> frozenset[str]:
        """Return the ledgers of a route to reconcile.

        If there are tenants, these are the ledgers with recent jobs here and those to sweep here.
        If all ledgers were tracked, each gateway would renew allowances for thousands of tenants.
        """
        if routes.tenants is None:
            self._state_of(route)
            return frozenset({route})
        horizon = boot_clock.now() - UNUSED_AFTER_S
        with self._lock:
            for name, state in list(self._states_by_ledger.items()):
                if state.used_at < horizon and name not in jobs_by_ledger and state.is_reconciled:
                    del self._states_by_ledger[name]
            tracked = {name for name in self._states_by_ledger if is_ledger_of(name, route)}
        tracked |= {name for name in jobs_by_ledger if is_ledger_of(name, route)}
        if self._sweep is not None:
            tracked |= {name for name in self._sweep.ledgers(route) if is_ledger_of(name, route)}
        return frozenset(tracked)

    def _reconcile_ledger(self, ledger: str, quota: int, jobs: list[CoordinatedJob]) -> None:
        with self._lock:
            state = self._states_by_ledger.get(ledger)
        outstanding = {job.id: job.unfinished_tokens() for job in jobs if not job.handed_over}
        handed_over = frozenset(job.id for job in jobs if job.handed_over)
        if state is None and not outstanding:
            return  # This gateway only sweeps the ledger.
        state = state or self._state_of(ledger)
        self._forget_finished_jobs(state, outstanding, handed_over)
        if self._must_write(state, quota, outstanding):
            self._write(ledger, state, quota, outstanding)

    def _forget_finished_jobs(
        self, state: RouteQuota, outstanding: dict[str, int], handed_over: frozenset[str]
    ) -> None:
        with self._lock:
            state.release_finished_jobs(outstanding, handed_over)
            for job_id in [
                entered_id for entered_id in state.entered if entered_id not in outstanding
            ]:
                del state.entered[job_id]

    def _must_write(self, state: RouteQuota, quota: int, outstanding: dict[str, int]) -> bool:
        """Return whether the ledger must be written now."""
        enter_all_changes = state.ledger.document.job_tokens > ENTER_ALL_FROM_SHARE * quota
        min_change = 1 if enter_all_changes else SMALL_CHANGE_SHARE * quota
        with self._lock:
            if state.must_enter_charged() or state.withdrawn or state.quota > quota:
                return True
            for job_id, tokens in outstanding.items():
                if job_id in state.charged:
                    continue
                entered = state.entered.get(job_id)
                if entered is None or abs(entered - tokens) >= min_change:
                    return True
                if entered and not tokens:
                    return True
        now = boot_clock.now()
        may_take_allowance = now >= self._first_allowance_at
        return may_take_allowance and now - state.renewed_at >= ALLOWANCE_RENEWAL_S

    def _write(
        self, ledger: str, state: RouteQuota, quota: int, outstanding: dict[str, int]
    ) -> None:
        """Write the entries of this gateway's jobs and its allowance in one change."""
        began = boot_clock.now()
        may_take_allowance = began >= self._first_allowance_at
        with self._lock:
            pending = PendingEntries(dict(state.charged), dict(state.withdrawn))
        granted = 0

        def enter_all(document: LedgerDocument) -> LedgerDocument:
            nonlocal granted
            document = pending.apply_to(document, outstanding)
            granted = self._next_allowance(state, document, quota) if may_take_allowance else 0
            return document.with_allowance(self._name, granted)

        newer = self._ledger_to_change(ledger, state)
        known = newer if newer.revision else self._ledgers.read(ledger)
        if isinstance(known, Ledger):
            known = self._ledgers.change(ledger, known, enter_all, RECONCILE_PAUSE_S)
        if isinstance(known, LedgerUnknown):
            log_message("quota:not_entered", ledger=ledger, reason=known.reason)
            return
        self._update_ledger(state, known)
        with self._lock:
            state.record_entered(pending, outstanding)
            state.renew_allowance(granted, quota, began)

    def _ledger_to_change(self, ledger: str, state: RouteQuota) -> Ledger:
        """Return the ledger to change: the known one if it is fresh, else one from a cheap read."""
        if boot_clock.now() - state.ledger_at < LEDGER_FRESH_S:
            return state.ledger
        return self._ledgers.newer(ledger, state.ledger)

    def _next_allowance(self, state: RouteQuota, document: LedgerDocument, quota: int) -> int:
        """Return the allowance to write, and limit the unused part of the current one to it.

        Jobs that are counted during the write must fit both the old and the new allowance.
        """
        granted = allowance_for(document, self._name, self._gateways(), quota)
        with self._lock:
            state.remaining = min(state.remaining, granted)
        return granted

    def _update_ledger(self, state: RouteQuota, ledger: Ledger) -> None:
        """Store a ledger if it is newer, and record the tokens freed since the previous one."""
        with self._lock:
            if ledger.revision <= state.ledger.revision:
                return
            jobs = ledger.document.jobs
            freed = sum(
                max(0, entry.tokens - jobs[job_id].tokens if job_id in jobs else entry.tokens)
                for job_id, entry in state.ledger.document.jobs.items()
            )
            if freed:
                state.freed.append((boot_clock.now(), freed))
            state.ledger = ledger
            state.ledger_at = boot_clock.now()

    def _state_of(self, ledger: str) -> RouteQuota:
        with self._lock:
            state = self._states_by_ledger.setdefault(ledger, RouteQuota())
            state.used_at = boot_clock.now()
            return state
