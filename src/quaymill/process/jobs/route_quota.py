"""How a job is counted against its quota, and what one gateway knows of a route's ledger."""

from __future__ import annotations

from collections import deque

import attrs

from quaymill.process.jobs.quota_ledger import JobTokens, Ledger, LedgerDocument

ENTER_FROM_SHARE = 0.75
"""Part of an allowance from which on the jobs counted under it are entered in the ledger, to have
the whole allowance again. With less, a job is mostly over before it would have to be: neither its
entry nor the removal of that costs a call of the store. More than one job of the deployments
measured takes of an allowance (0.57 at 53 gateways)."""


@attrs.frozen
class Admitted:
    """The job's tokens are counted.

    Attributes
    ----------
    by
        What counted them: ``allowance``, ``ledger``, ``accepted-before`` or ``no-quota``.
    created
        The entry that was made in the ledger; ``None`` if there was one, or none is needed.
    """

    by: str
    created: JobTokens | None = None


@attrs.frozen
class OverQuota:
    """The job does not fit now.

    Attributes
    ----------
    retry_after_s
        When it may fit, by the rate at which tokens have become free.
    """

    held_tokens: int
    quota: int
    retry_after_s: float


@attrs.frozen
class QuotaUnknown:
    """Whether the job fits cannot be told now."""

    reason: str


QuotaDecision = Admitted | OverQuota | QuotaUnknown


@attrs.frozen
class PendingEntries:
    """What is to be entered in a ledger beside the jobs that run: see ``RouteQuota``."""

    charged: dict[str, int]
    withdrawn: dict[str, JobTokens]

    def entered_in(self, document: LedgerDocument, outstanding: dict[str, int]) -> LedgerDocument:
        """Return the ledger with all of it, and with what is left of the jobs that run."""
        for job_id in self.withdrawn.keys() - outstanding.keys() - self.charged.keys():
            if document.jobs.get(job_id) == self.withdrawn[job_id]:
                document = document.with_job(job_id, 0)
        for job_id, tokens in (self.charged | outstanding).items():
            known = document.jobs.get(job_id)
            if known is None or known.tokens != tokens:
                document = document.with_job(job_id, tokens)
        return document


class RouteQuota:
    """What a gateway knows of one route's ledger; guarded by ``BatchQuota``'s lock.

    Attributes
    ----------
    ledger_at
        Monotonic time when ``ledger`` was told.
    quota
        The bound when the allowance was renewed last.
    granted
        The allowance as it was renewed last.
    charged
        Tokens by job that are counted under the allowance and not entered in the ledger.
    seen_running
        Those jobs that have been seen to run here: once they do not, they are over.
    left
        What is left of the allowance.
    renewed_at
        Monotonic time before the last successful renewal began.
    entered
        Tokens by job that stand in the ledger by what this gateway has written or seen.
    withdrawn
        Entries in the ledger that were made for jobs which were certainly not kept here. Such an
        entry is removed only as it was made: another gateway that has accepted the job changes it.
    freed
        When tokens were seen to become free (monotonic), and how many.
    used_at
        Monotonic time when the ledger was last needed.
    """

    def __init__(self) -> None:
        self.ledger = Ledger()
        self.ledger_at = 0.0
        self.quota = 0
        self.granted = 0
        self.charged: dict[str, int] = {}
        self.seen_running: set[str] = set()
        self.left = 0
        self.renewed_at = 0.0
        self.entered: dict[str, int] = {}
        self.withdrawn: dict[str, JobTokens] = {}
        self.freed: deque[tuple[float, int]] = deque()
        self.used_at = 0.0

    @property
    def is_settled(self) -> bool:
        """Whether nothing is left to be entered."""
        return not self.charged and not self.withdrawn and not any(self.entered.values())

    def release_jobs_over(self, outstanding: dict[str, int], handed_away: frozenset[str]) -> None:
        """Give the allowance back what was counted under it for jobs that are over.

        A job that was handed away stays counted: its new gateway may not have entered it yet.
        """
        self.seen_running |= self.charged.keys() & outstanding.keys()
        over = {
            job_id
            for job_id in self.seen_running - handed_away
            if not outstanding.get(job_id) and job_id in self.charged
        }
        for job_id in over:
            self.left += self.charged.pop(job_id)
            self.entered[job_id] = 0  # Nothing of it ever stood in the ledger.
        self.seen_running &= self.charged.keys()

    def has_many_charged(self) -> bool:
        """Return whether so much is counted under the allowance that it should be entered."""
        return sum(self.charged.values()) > ENTER_FROM_SHARE * self.granted

    def note_entered(self, pending: PendingEntries, outstanding: dict[str, int]) -> None:
        """Note what stands in the ledger now."""
        for job_id in pending.withdrawn:
            self.withdrawn.pop(job_id, None)
        for job_id in pending.charged:
            self.charged.pop(job_id, None)
        self.entered |= pending.charged | outstanding

    def renew_allowance(self, granted: int, quota: int, renewed_at: float) -> None:
        """Take an allowance that was written; what is counted under it since is taken off."""
        self.granted = granted
        self.left = max(0, granted - sum(self.charged.values()))
        self.quota = quota
        self.renewed_at = renewed_at
