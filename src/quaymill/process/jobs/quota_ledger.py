"""The ledger of a batch route's quota: which jobs hold how many waiting tokens.

There is one object for each route in the platform's store, changed by compare-and-swap only, so
that two gateways that do not see each other never promise the same room. Beside the jobs it
holds allowances: room that a gateway may give to new jobs by itself, without asking the store.
The functions here decide; ``BatchQuota`` keeps the state.
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
"""Part of the quota that all allowances take at most; taken only while jobs hold as little."""
FREE_GATEWAYS = 2
"""Allowances kept free for gateways that come: so many parts more than there are gateways."""
MIN_ALLOWANCE_TOKENS = 4096
"""A smaller allowance holds hardly a job, and is not worth the calls that renew it."""
OVERRUN_USED_SHARE = 0.8
"""Part of the tolerated overrun that allowances may fill; the rest covers late counts."""
MAX_CONFLICTS = 12
"""Changes that are tried again on a newer ledger before it is given up as too busy."""
FIRST_CONFLICT_PAUSE_S = 0.05
"""Bound of the first pause after a change that was overtaken twice: some calls of others fit in,
and a caller that waits for its job's answer hardly notices."""
CONFLICT_PAUSE_GROWTH = 2.0
MAX_CONFLICT_PAUSE_S = 0.4
"""Bound of later pauses: with all of them a caller is answered within about a second."""

TENANT_SEPARATOR = "~"
"""Between the names of a route and of its tenant; it stands in no route's name as it is quoted."""


def ledger_name(route: str, tenant: str | None) -> str:
    """Return the name of the ledger of a route, or of one tenant's part of it."""
    if tenant is None:
        return route
    quoted = quote(route, safe="").replace(TENANT_SEPARATOR, "%7E")
    return quoted + TENANT_SEPARATOR + tenant


def is_ledger_of(name: str, route: str) -> bool:
    """Return whether a ledger is a tenant's of that route."""
    return name.startswith(ledger_name(route, ""))


class JobTokens(msgspec.Struct, frozen=True, array_like=True):
    """What one job holds.

    Attributes
    ----------
    tokens
        Tokens of its items that no replica has finished.
    changes
        Rises with each change, so that an entry that nobody cares for is told by standing still.
    """

    tokens: int
    changes: int = 0


class Allowance(msgspec.Struct, frozen=True, array_like=True):
    """Room that one gateway may give to new jobs by itself.

    Attributes
    ----------
    renewals
        Rises with each renewal; one that stands still is taken back.
    """

    tokens: int
    renewals: int = 0


class LedgerDocument(msgspec.Struct, frozen=True):
    """What is stored; jobs by their id, allowances by the gateway's name."""

    jobs: dict[str, JobTokens] = {}
    allowances: dict[str, Allowance] = {}

    @property
    def job_tokens(self) -> int:
        """Tokens that jobs hold."""
        return sum(entry.tokens for entry in self.jobs.values())

    @property
    def allowance_tokens(self) -> int:
        """Tokens in all allowances."""
        return sum(allowance.tokens for allowance in self.allowances.values())

    def with_job(self, job_id: str, tokens: int) -> LedgerDocument:
        """Return the ledger with what a job holds now; without it if that is nothing."""
        jobs = dict(self.jobs)
        known = jobs.pop(job_id, JobTokens(0))
        if tokens:
            jobs[job_id] = JobTokens(tokens, known.changes + 1)
        return LedgerDocument(jobs, self.allowances)

    def with_allowance(self, gateway: str, tokens: int) -> LedgerDocument:
        """Return the ledger with a gateway's allowance renewed; without it if it is nothing."""
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
    """The store could not be asked, or did not tell what became of a change."""

    reason: str


def conflict_pause_s(
    conflicts: int, first_pause_s: float, uniform: Callable[[float, float], float] = random.uniform
) -> float:
    """Return the pause in seconds after so many conflicts in a row.

    Load answered: many gateways that change one ledger at once, as after an outage of the store.
    After an odd conflict there is no pause: it brought the current revision, so that a try at once
    has the best chance. After an even one others are writing too: a random pause, below a bound
    that grows up to ``MAX_CONFLICT_PAUSE_S``, keeps the gateways from retrying in step.
    """
    if conflicts % 2:
        return 0.0
    longest_s = first_pause_s * CONFLICT_PAUSE_GROWTH ** (conflicts // 2 - 1)
    return uniform(0.0, min(MAX_CONFLICT_PAUSE_S, longest_s))


def fits(document: LedgerDocument, tokens: int, quota: int, overrun_share: float) -> bool:
    """Return whether a new job's tokens fit beside what is held.

    Parameters
    ----------
    overrun_share
        Part of the quota by which a rare overrun is tolerated: allowances may lie in it.
    """
    overrun = quota * overrun_share * OVERRUN_USED_SHARE
    allowances = max(0.0, document.allowance_tokens - overrun)
    return document.job_tokens + allowances + tokens <= quota


def allowance_for(document: LedgerDocument, gateway: str, gateways: int, quota: int) -> int:
    """Return the allowance that a gateway may hold by the ledger as it stands.

    Parameters
    ----------
    gateways
        How many live gateways there are, this one included.
    """
    most = quota * ALLOWANCES_SHARE
    if document.job_tokens > most:
        return 0
    own = document.allowances.get(gateway, Allowance(0)).tokens
    others = document.allowance_tokens - own
    part = min(most / (gateways + FREE_GATEWAYS), most - others)
    return math.floor(part) if part >= MIN_ALLOWANCE_TOKENS else 0


class QuotaLedgers:
    """Reads and changes ledgers by route."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def read(self, route: str) -> Ledger | LedgerUnknown:
        """Return a route's ledger as it stands."""
        found = self._store.get(ObjectKind.QUOTA_LEDGERS, route)
        if isinstance(found, ObjectMissing):
            return Ledger()
        if isinstance(found, StoreRefused | StoreUnanswered):
            return LedgerUnknown(found.reason)
        return _ledger(found)

    def names(self) -> tuple[str, ...]:
        """Return the names of all ledgers; none if the store does not tell."""
        found = self._store.list(ObjectKind.QUOTA_LEDGERS)
        if isinstance(found, StoreRefused | StoreUnanswered):
            log_message("quota:ledgers_unknown", reason=found.reason)
            return ()
        return tuple(stored.name for stored in found.objects)

    def newer(self, route: str, known: Ledger) -> Ledger:
        """Return a newer ledger than the one known, if a cheap read tells of one.

        A change is tried on it first: on an old ledger it costs a second call.
        """
        found = self._store.get(ObjectKind.QUOTA_LEDGERS, route, may_be_old=True)
        if isinstance(found, StoredObject) and found.revision > known.revision:
            ledger = _ledger(found)
            return ledger if isinstance(ledger, Ledger) else known
        return known

    def change(
        self,
        route: str,
        known: Ledger,
        change: Callable[[LedgerDocument], LedgerDocument],
        first_pause_s: float = FIRST_CONFLICT_PAUSE_S,
    ) -> Ledger | LedgerUnknown:
        """Change a ledger, on top of whatever others have changed meanwhile.

        Parameters
        ----------
        known
            The ledger that is tried first.
        change
            Returns the new document; returns the one given if nothing is to be written.
        first_pause_s
            Bound of the first pause where others change it at the same time.

        Returns
        -------
        The ledger that stands, with the change in it. Its ``document`` is the newest one even
        where nothing had to be written, unless ``known`` was given and left as it is.
        """
        standing = known
        for conflicts in range(1, MAX_CONFLICTS + 1):
            document = change(standing.document)
            if document is standing.document or document == standing.document:
                return standing
            written = self._write(route, document, standing.revision)
            if isinstance(written, StoredObject):
                return _ledger(written)
            if isinstance(written, RevisionConflict) and written.object is not None:
                ledger = _ledger(written.object)
                if isinstance(ledger, LedgerUnknown):
                    return ledger
                standing = ledger
                if conflicts < MAX_CONFLICTS:
                    time.sleep(conflict_pause_s(conflicts, first_pause_s))
                continue
            if isinstance(written, StoreRefused):
                return LedgerUnknown(written.reason)
            # Not answered, or no word of what stands: only reading tells. A write under way is
            # bound to the old revision, and is lost once anything else is written.
            found = self.read(route)
            if isinstance(found, LedgerUnknown):
                return found
            if found.document == document:
                return found
            standing = found
        return LedgerUnknown("too many others change the ledger")

    def _write(self, route: str, document: LedgerDocument, revision: int) -> object:
        spec = msgspec.to_builtins(document)
        if revision:
            return self._store.replace(ObjectKind.QUOTA_LEDGERS, route, spec, revision)
        return self._store.create(ObjectKind.QUOTA_LEDGERS, route, spec)


def _ledger(stored: StoredObject) -> Ledger | LedgerUnknown:
    """Return a stored ledger; what another writer left in its place tells nothing of the quota."""
    try:
        document = msgspec.convert(stored.spec, LedgerDocument)
    except msgspec.ValidationError as error:
        log_message(
            "store:unread", object_kind="QUOTA_LEDGERS", name=stored.name, reason=str(error)
        )
        return LedgerUnknown(f"the ledger cannot be read: {error}")
    return Ledger(document, stored.revision)
