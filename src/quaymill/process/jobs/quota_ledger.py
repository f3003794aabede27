"""The ledger of a batch route's quota: the tokens of the unfinished items of each job.

There is one object for each route, or for each tenant of a route, in the platform's store. It is
changed by compare-and-swap only, so that two gateways never assign the same tokens of a quota, even
if they cannot reach each other. The ledger also contains allowances: tokens that a gateway may
assign to new jobs without calling the store. ``BatchQuota`` applies the rules of this module.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable
from urllib.parse import quote

import attrs
import msgspec
from eliot import log_message

from quaymill.connection.object_store import (
    ObjectKind,
    ObjectMissing,
    ObjectStore,
    RevisionConflict,
    StoredObject,
    StoreRefused,
    StoreUnanswered,
)

ALLOWANCES_SHARE = 0.25
"""Maximum share of the quota for all allowances. They are granted only while jobs hold at most the
same share."""
SPARE_GATEWAYS = 2
"""Number of allowances reserved for gateways that start later."""
MIN_ALLOWANCE_TOKENS = 4096
"""Minimum size of an allowance; a smaller one rarely fits a job."""
OVERRUN_USED_SHARE = 0.8
"""Share of the tolerated overrun that allowances may use; the rest covers jobs counted late."""
MAX_CONFLICTS = 12
"""Maximum number of attempts to change a ledger."""
FIRST_CONFLICT_PAUSE_S = 0.05
"""Maximum of the first random pause, which follows the second conflict of a change. Some calls of
other gateways fit into it, and it hardly delays the answer to a client."""
CONFLICT_PAUSE_GROWTH = 2.0
MAX_CONFLICT_PAUSE_S = 0.4
"""Maximum of any pause; bounds the time that a client waits for the answer to its submission."""

TENANT_SEPARATOR = "~"
"""Separates route and tenant in the name of a ledger; it is escaped in the route's name."""


def ledger_name(route: str, tenant: str | None) -> str:
    """Return the name of the ledger of a route, or of one of its tenants."""
    if tenant is None:
        return route
    quoted = quote(route, safe="").replace(TENANT_SEPARATOR, "%7E")
    return quoted + TENANT_SEPARATOR + tenant


def is_ledger_of(name: str, route: str) -> bool:
    """Return whether a ledger belongs to a tenant of the route."""
    return name.startswith(ledger_name(route, ""))


class JobTokens(msgspec.Struct, frozen=True, array_like=True):
    """The entry of one job.

    Attributes
    ----------
    tokens
        Tokens of its unfinished items.
    changes
        Increases with each change, so that an orphaned entry is recognised by not changing.
    """

    tokens: int
    changes: int = 0


class Allowance(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that one gateway may assign to new jobs without calling the store.

    Attributes
    ----------
    renewals
        Increases with each renewal; an allowance that is not renewed is removed.
    """

    tokens: int
    renewals: int = 0


class LedgerDocument(msgspec.Struct, frozen=True):
    """The stored document: jobs by id, allowances by the name of their gateway."""

    jobs: dict[str, JobTokens] = {}
    allowances: dict[str, Allowance] = {}

    @property
    def job_tokens(self) -> int:
        """Total tokens of all jobs."""
        return sum(entry.tokens for entry in self.jobs.values())

    @property
    def allowance_tokens(self) -> int:
        """Total tokens of all allowances."""
        return sum(allowance.tokens for allowance in self.allowances.values())

    def with_job(self, job_id: str, tokens: int) -> LedgerDocument:
        """Return the ledger with the job's current tokens; without the job if there are none."""
        jobs = dict(self.jobs)
        known = jobs.pop(job_id, JobTokens(0))
        if tokens:
            jobs[job_id] = JobTokens(tokens, known.changes + 1)
        return LedgerDocument(jobs, self.allowances)

    def with_allowance(self, gateway: str, tokens: int) -> LedgerDocument:
        """Return the ledger with a gateway's allowance renewed; without it if ``tokens`` is 0."""
        allowances = dict(self.allowances)
        known = allowances.pop(gateway, Allowance(0))
        if tokens:
            allowances[gateway] = Allowance(tokens, known.renewals + 1)
        return LedgerDocument(self.jobs, allowances)


@attrs.frozen
class Ledger:
    """A ledger at one revision; revision 0 if it is not stored yet."""

    document: LedgerDocument = LedgerDocument()
    revision: int = 0


@attrs.frozen
class LedgerUnknown:
    """The ledger could not be read, or it is not known whether a change was written."""

    reason: str


def conflict_pause_s(
    conflicts: int, first_pause_s: float, uniform: Callable[[float, float], float] = random.uniform
) -> float:
    """Return the pause in seconds after a number of conflicts in a row.

    Many gateways may change one ledger at once, for example after an outage of the store. A
    conflict returns the current revision, so the best chance is to retry without a pause. After
    every second conflict, a random pause keeps the gateways from retrying at the same time.
    Its maximum grows up to ``MAX_CONFLICT_PAUSE_S``.
    """
    if conflicts % 2:
        return 0.0
    max_pause_s = first_pause_s * CONFLICT_PAUSE_GROWTH ** (conflicts // 2 - 1)
    return uniform(0.0, min(MAX_CONFLICT_PAUSE_S, max_pause_s))


def fits(document: LedgerDocument, tokens: int, quota: int, overrun_share: float) -> bool:
    """Return whether a new job's tokens fit the quota in addition to jobs and allowances.

    Parameters
    ----------
    overrun_share
        Share of the quota by which it may rarely be exceeded; allowances may use most of it.
    """
    overrun = quota * overrun_share * OVERRUN_USED_SHARE
    allowances = max(0.0, document.allowance_tokens - overrun)
    return document.job_tokens + allowances + tokens <= quota


def allowance_for(document: LedgerDocument, gateway: str, gateways: int, quota: int) -> int:
    """Return the allowance in tokens that a gateway may have with the given ledger.

    Parameters
    ----------
    gateways
        Number of live gateways, including this one.
    """
    max_total = quota * ALLOWANCES_SHARE
    if document.job_tokens > max_total:
        return 0
    own_tokens = document.allowances.get(gateway, Allowance(0)).tokens
    other_tokens = document.allowance_tokens - own_tokens
    share = min(max_total / (gateways + SPARE_GATEWAYS), max_total - other_tokens)
    return math.floor(share) if share >= MIN_ALLOWANCE_TOKENS else 0


class QuotaLedgers:
    """Reads and changes ledgers in the platform's store, by their names."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def read(self, name: str) -> Ledger | LedgerUnknown:
        """Return the stored ledger; an empty one at revision 0 if there is none."""
        found = self._store.get(ObjectKind.QUOTA_LEDGERS, name)
        if isinstance(found, ObjectMissing):
            return Ledger()
        if isinstance(found, StoreRefused | StoreUnanswered):
            return LedgerUnknown(found.reason)
        return _decode_ledger(found)

    def names(self) -> tuple[str, ...]:
        """Return the names of all ledgers; none if the store cannot list them."""
        found = self._store.list(ObjectKind.QUOTA_LEDGERS)
        if isinstance(found, StoreRefused | StoreUnanswered):
            log_message("quota:ledgers_unknown", reason=found.reason)
            return ()
        return tuple(stored.name for stored in found.objects)

    def newer(self, name: str, known: Ledger) -> Ledger:
        """Return a newer ledger than the known one if a cheap read finds it.

        The cheap read may return an old ledger. It makes conflicts of the next change less likely.
        """
        found = self._store.get(ObjectKind.QUOTA_LEDGERS, name, allow_stale=True)
        if isinstance(found, StoredObject) and found.revision > known.revision:
            ledger = _decode_ledger(found)
            return ledger if isinstance(ledger, Ledger) else known
        return known

    def change(
        self,
        name: str,
        known: Ledger,
        change: Callable[[LedgerDocument], LedgerDocument],
        first_pause_s: float = FIRST_CONFLICT_PAUSE_S,
    ) -> Ledger | LedgerUnknown:
        """Change a ledger; after each conflict, apply the change to the newer ledger.

        Parameters
        ----------
        known
            The ledger to which the change is applied first.
        change
            Returns the new document, or the given one if there is nothing to write.
        first_pause_s
            Maximum of the first pause after conflicts.

        Returns
        -------
        The stored ledger with the change. If there is nothing to write, it is ``known`` or the
        newer ledger that was found after a conflict or an unanswered write.
        """
        current = known
        for conflicts in range(1, MAX_CONFLICTS + 1):
            document = change(current.document)
            if document is current.document or document == current.document:
                return current
            written = self._write(name, document, current.revision)
            if isinstance(written, StoredObject):
                return _decode_ledger(written)
            if isinstance(written, RevisionConflict) and written.object is not None:
                ledger = _decode_ledger(written.object)
                if isinstance(ledger, LedgerUnknown):
                    return ledger
                current = ledger
                if conflicts < MAX_CONFLICTS:
                    time.sleep(conflict_pause_s(conflicts, first_pause_s))
                continue
            if isinstance(written, StoreRefused):
                return LedgerUnknown(written.reason)
            # Not answered, or a conflict without the stored object: read to find out. A write that
            # is still in progress expects the old revision, so it fails after a later write.
            found = self.read(name)
            if isinstance(found, LedgerUnknown):
                return found
            if found.document == document:
                return found
            current = found
        return LedgerUnknown("too many gateways change the ledger at the same time")

    def _write(self, name: str, document: LedgerDocument, revision: int) -> object:
        spec = msgspec.to_builtins(document)
        if revision:
            return self._store.replace(ObjectKind.QUOTA_LEDGERS, name, spec, revision)
        return self._store.create(ObjectKind.QUOTA_LEDGERS, name, spec)


def _decode_ledger(stored: StoredObject) -> Ledger | LedgerUnknown:
    """Decode a stored ledger; an object of another format counts as unknown."""
    try:
        document = msgspec.convert(stored.spec, LedgerDocument)
    except msgspec.ValidationError as error:
        log_message(
            "store:unread", object_kind="QUOTA_LEDGERS", name=stored.name, reason=str(error)
        )
        return LedgerUnknown(f"the ledger cannot be decoded: {error}")
    return Ledger(document, stored.revision)
