"""Decisions on jobs under a quota, and what one gateway knows about a ledger."""

from __future__ import annotations

from collections import deque

import attrs

from quaymill.process.jobs.quota_ledger import JobTokens, Ledger, LedgerDocument

ENTER_FROM_SHARE = 0.75
"""Share of an allowance above which the jobs counted under it are entered in the ledger, which
makes the whole allowance available again. Below it, most jobs are over before they need an entry,
which saves calls of the store. It is above what a single job took of an allowance with 53 gateways
(0.57)."""


@attrs.frozen
class Admitted:
    """The job's tokens are counted.

    Attributes
    ----------
    by
        Why it is admitted: ``allowance``, ``ledger``, ``accepted-before`` or ``no-quota``.
    created
        The entry that was created in the ledger; ``None`` if it existed or is not needed.
    """

    by: str
    created: JobTokens | None = None


@attrs.frozen
class OverQuota:
    """The job exceeds the quota now.

    Attributes
    ----------
    held_tokens
        Tokens that jobs hold in the ledger.
    retry_after_s
        Time in seconds after which it may fit, estimated from the rate of freed tokens.
    """

    held_tokens: int
    quota: int
    retry_after_s: float


@attrs.frozen
class QuotaUnknown:
    """It cannot be decided now whether the job fits the quota."""

    reason: str


QuotaDecision = Admitted | OverQuota | QuotaUnknown


@attrs.frozen
class PendingEntries:
    """Changes to enter in a ledger in addition to running jobs; see ``RouteQuota``."""

    charged: dict[str, int]
    withdrawn: dict[str, JobTokens]

    def apply_to(self, document: LedgerDocument, outstanding: dict[str, int]) -> LedgerDocument:
        """Return the ledger with these changes and the unfinished tokens of running jobs."""
        for job_id in self.withdrawn.keys() - outstanding.keys() - self.charged.keys():
            if document.jobs.get(job_id) == self.withdrawn[job_id]:
                document = document.with_job(job_id, 0)
        for job_id, tokens in (self.charged | outstanding).items():
            known = document.jobs.get(job_id)
            if known is None or known.tokens != tokens:
                document = document.with_job(job_id, tokens)
        return document


class RouteQuota:
    """What a gateway knows about one ledger; guarded by the lock of ``BatchQuota``.

    Attributes
    ----------
    ledger, ledger_at
        The newest known ledger, and the monotonic time when it was received.
    quota
        The quota at the last renewal of the allowance.
    granted
        Tokens of the allowance at its last renewal.
    charged
        Tokens by job that are counted under the allowance and not entered in the ledger.
    seen_running
        The charged jobs that have run here; such a job is over once it no longer runs here.
    remaining
        Remaining tokens of the allowance.
    renewed_at
        Monotonic time when the last successful renewal began.
    entered
        Tokens by job in the ledger, as this gateway last wrote or read them.
    withdrawn
        Ledger entries created for jobs that were certainly not stored by this gateway. An entry
        is removed only if it is unchanged: another gateway that accepted the job has changed it.
    freed
        Pairs of the monotonic time when tokens became free, and their number.
    used_at
        Monotonic time when the ledger was last used.
    """

    def __init__(self) -> None:
        self.ledger = Ledger()
        self.ledger_at = 0.0
        self.quota = 0
        self.granted = 0
        self.charged: dict[str, int] = {}
        self.seen_running: set[str] = set()
        self.remaining = 0
        self.renewed_at = 0.0
        self.entered: dict[str, int] = {}
        self.withdrawn: dict[str, JobTokens] = {}
        self.freed: deque[tuple[float, int]] = deque()
        self.used_at = 0.0

    @property
    def is_reconciled(self) -> bool:
        """Whether there is nothing left to enter in the ledger."""
        return not self.charged and not self.withdrawn and not any(self.entered.values())

    def release_finished_jobs(
        self, outstanding: dict[str, int], handed_over: frozenset[str]
    ) -> None:
        """Return the tokens of finished charged jobs to the allowance.

        ``outstanding`` has the unfinished tokens of the jobs that run here. A job that was handed
        to another gateway stays counted, because that gateway may not have entered it yet.
        """
        self.seen_running |= self.charged.keys() & outstanding.keys()
        over = {
            job_id
            for job_id in self.seen_running - handed_over
            if not outstanding.get(job_id) and job_id in self.charged
        }
        for job_id in over:
            self.remaining += self.charged.pop(job_id)
            self.entered[job_id] = 0  # It was never in the ledger.
        self.seen_running &= self.charged.keys()

    def must_enter_charged(self) -> bool:
        """Return whether enough tokens are charged to the allowance to enter their jobs."""
        return sum(self.charged.values()) > ENTER_FROM_SHARE * self.granted

    def record_entered(self, pending: PendingEntries, outstanding: dict[str, int]) -> None:
        """Record the entries that are now in the ledger."""
        for job_id in pending.withdrawn:
            self.withdrawn.pop(job_id, None)
        for job_id in pending.charged:
            self.charged.pop(job_id, None)
        self.entered |= pending.charged | outstanding

    def renew_allowance(self, granted: int, quota: int, renewed_at: float) -> None:
        """Record a renewed allowance, less the tokens that are still charged to it."""
        self.granted = granted
        self.remaining = max(0, granted - sum(self.charged.values()))
        self.quota = quota
        self.renewed_at = renewed_at
