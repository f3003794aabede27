"""Decides when a replica is cold, and how many requests a slot allocator may grant to it.

A service may declare how many requests per second a cold replica can handle. Only requests with a
grant from the slot allocator are sent to a cold replica, and each allocator limits its grants so
that two allocators at a time, which do not know of each other, stay within the bound together.

This module holds state and decisions only: the current time is a parameter.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Hashable

import attrs

DELAY_SPREAD_S = 0.5
"""Largest difference between the delays of two requests from their grants to their arrivals."""
GRANT_WINDOW_S = 1.0 + DELAY_SPREAD_S
"""Requests that arrive within one second were granted within this time."""
MAX_ALLOCATORS = 2
"""Number of allocators that may grant to the same replica at a time, during a partition or while
allocators change."""
ITEM_SHARE = 0.5
"""Share of the grants in a window that batch items may use."""
RANKED_FIRST_S = 2.0
"""Time for which a gateway must have ranked first for a pool before it grants. By then the grants
of its predecessor have left the windows, and views have converged after many restarts."""
MIN_LIVE_SHARE = 1 / 3
"""A gateway grants only while it sees more than this share of all gateways: of any three groups of
a partition, at most two can."""
MAX_CHECK_GAP_S = 1.0
"""A gateway that has not checked its rank for longer may have been paused, so its time of ranking
first starts again."""
PERMIT_LIFETIME_S = 0.25
"""How long a grant may be used by the gateway that received it; half of ``DELAY_SPREAD_S``."""
MAX_UNSENT_S = 0.1
"""How long a grant may wait in the allocator until it is sent; the rest of ``DELAY_SPREAD_S``
beside ``PERMIT_LIFETIME_S`` is for this, the connection and the network."""
MAX_TICK_GAP_S = 0.45
"""Time without a tick after which a process counts as paused; ticks are 0.2 s apart."""
PAUSE_DISTRUST_S = 0.5
"""How long after a pause grants are declined that may have waited for this process."""
COLD_LOAD = 2.0
"""Additional load, in requests, of a cold replica when replicas are compared: idle warm ones come
first."""
SAME_TIME_S = 0.5
"""Statements on the end of the warm-up that differ by less are treated as equal."""
ENTRY_AGE_S = 2.5
"""How old a statement in a replica's entry may be when it is read: a heartbeat of about 1.2 s and
the interval at which the store is read."""
REPORT_LIFETIME_S = 1.0
"""Age from which a replica's statement is no longer reported to the allocator."""
MAX_STATED_FACTOR = 10.0
"""Upper bound of the remaining time that a replica may state, as a multiple of the warm-up time."""
MAX_STATED_S = 60.0
"""The same for a service that declares no warm-up time."""


@attrs.frozen
class ColdRule:
    """How cold replicas of a service are used.

    Attributes
    ----------
    warm_up_s
        Time for which a replica is assumed to be cold if nothing else is known.
    requests_per_s
        Requests per second that a cold replica can handle.
    max_grants
        Requests that one allocator may grant to one cold replica in any ``GRANT_WINDOW_S``.
    """

    warm_up_s: float
    requests_per_s: float
    max_grants: int

    @classmethod
    def from_rate(
        cls, warm_up_s: float, requests_per_s: float, factor: float, slack: float
    ) -> ColdRule:
        """Return the rule for a declared rate, and the bound that the operator allows above it.

        Parameters
        ----------
        factor, slack
            A replica may get ``requests_per_s`` times ``factor`` plus ``slack`` requests in any
            second, from all gateways together.
        """
        bound = requests_per_s * factor + slack
        max_grants = min(math.floor(requests_per_s), math.floor(bound / MAX_ALLOCATORS))
        return cls(warm_up_s, requests_per_s, max(0, max_grants))

    @property
    def max_stated_s(self) -> float:
        """Upper bound of the remaining warm-up time that a replica may state."""
        return MAX_STATED_FACTOR * self.warm_up_s or MAX_STATED_S

    def sustainable_slots(self, slots: int, service_s: float) -> float:
        """Return how many requests a cold replica serves at once if one allocator grants them.

        Parameters
        ----------
        service_s
            Usual service time of a request.
        """
        return min(slots, self.max_grants / GRANT_WINDOW_S * service_s)


ColdRuleOf = Callable[[str], ColdRule | None]
"""Returns the rule of a service; ``None`` if the service declares no rate of cold replicas."""


def no_cold_rule(service: str) -> None:
    """Return that a service declares nothing."""


@attrs.define
class ColdState:
    """What is known of the warm-up of one run of a replica; all times are monotonic.

    Attributes
    ----------
    listed_at
        When the replica was listed, or listed again.
    entry_left_s
        Remaining warm-up time in its last entry; ``None`` if the entry states none.
    reason
        What the current state follows from, for the log.
    """

    listed_at: float
    entry_left_s: float | None
    reason: str = "listed"
    _stated_until: float | None = None
    _stated_at: float = -math.inf
    _answered_at: float = -math.inf
    _evacuation_ended_at: float = -math.inf

    @classmethod
    def from_entry(
        cls, left_s: float | None, now: float, listed_left_s: float | None = None
    ) -> ColdState:
        """Return the state of a replica that has just been listed.

        Parameters
        ----------
        listed_left_s
            Remaining time in the platform's list, if ``left_s`` is what another gateway knows.
        """
        state = cls(now, left_s if listed_left_s is None else listed_left_s)
        state._record_statement(left_s, now)
        return state

    def cold_until(self, rule: ColdRule) -> float:
        """Return when the replica will be warm."""
        if self._stated_until is None:
            until = self.listed_at + rule.warm_up_s
        else:
            until = min(self._stated_until, self._stated_at + rule.max_stated_s)
        return max(until, self._evacuation_ended_at + rule.warm_up_s)

    def record_entry(self, left_s: float | None, rule: ColdRule, now: float) -> bool:
        """Record the replica's entry; return whether it changes what is known.

        An entry with the same remaining time as before is the same statement, read again. An entry
        that is read soon after an answer of the replica may be older than the answer, so it can
        only extend the warm-up.
        """
        if left_s is None or left_s == self.entry_left_s:
            return False
        self.entry_left_s = left_s
        known_left_s = max(0.0, self.cold_until(rule) - now)
        evacuation_left_s = self._evacuation_ended_at + rule.warm_up_s - now
        stated_left_s = max(min(left_s, rule.max_stated_s), evacuation_left_s)
        if stated_left_s <= known_left_s and now - self._answered_at < ENTRY_AGE_S:
            return False
        if not _differ(max(0.0, stated_left_s), known_left_s):
            return False
        self.reason = "entry"
        self._record_statement(left_s, now)
        return True

    def record_peer_time(self, left_s: float | None, rule: ColdRule, now: float) -> bool:
        """Record what another gateway knows, which can only extend the warm-up.

        Returns whether it changes what is known.
        """
        known_left_s = max(0.0, self.cold_until(rule) - now)
        if left_s is None or left_s <= known_left_s or not _differ(left_s, known_left_s):
            return False
        self.reason = "peer"
        self._record_statement(left_s, now)
        return True

    def record_listed_again(
        self, left_s: float | None, now: float, listed_left_s: float | None = None
    ) -> None:
        """Record the entry of a replica that is listed again; it replaces earlier statements."""
        self.listed_at = now
        self.entry_left_s = left_s if listed_left_s is None else listed_left_s
        self.reason = "listed again"
        self._stated_until = None
        self._record_statement(left_s, now)

    def record_answer(
        self, left_s: float, rule: ColdRule | None, now: float, age_s: float = 0.0
    ) -> bool:
        """Record a statement in an answer of the replica, which replaces earlier ones.

        One that is older than the last statement that was recorded can only extend the warm-up.
        Returns whether it changes what is known.

        Parameters
        ----------
        left_s
            Remaining warm-up time as of now.
        age_s
            Age of the answer.
        """
        before = 0.0 if rule is None else self.cold_until(rule)
        if now - age_s < self._stated_at and now + left_s <= before:
            return False
        self.reason = "answer"
        self._answered_at = now - age_s
        self._record_statement(left_s, now)
        if rule is None:
            return False
        known_left_s, left_s = (max(0.0, at - now) for at in (before, self.cold_until(rule)))
        return _differ(known_left_s, left_s)

    def record_evacuation_ended(self, now: float) -> None:
        """Record that the replica was without work until now, as its zone was evacuated."""
        self.reason = "evacuation ended"
        self._evacuation_ended_at = now

    def _record_statement(self, left_s: float | None, now: float) -> None:
        if left_s is not None:
            self._stated_at = now
            self._stated_until = now + left_s


def _differ(left_s: float, other_left_s: float) -> bool:
    """Return whether two remaining times differ, in state or by more than ``SAME_TIME_S``."""
    if (left_s > 0) != (other_left_s > 0):
        return True
    return abs(left_s - other_left_s) > SAME_TIME_S


class ColdPermits:
    """Grants that a gateway has received for one cold replica and not used yet."""

    def __init__(self) -> None:
        self._granted_at: deque[float] = deque()

    def add(self, count: int, at: float) -> None:
        """Add grants that were received at a time, or requested at that time."""
        self._granted_at.extend([at] * count)

    def available(self, now: float) -> bool:
        """Return whether a grant may still be used."""
        return any(now - at <= PERMIT_LIFETIME_S for at in tuple(self._granted_at))

    def take(self, now: float) -> bool:
        """Use one grant; return whether there was one."""
        while self._granted_at:
            if now - self._granted_at.popleft() <= PERMIT_LIFETIME_S:
                return True
        return False


class GrantWindows:
    """The recent grants of one allocator to cold replicas."""

    def __init__(self) -> None:
        self._grants_by_replica: dict[str, deque[tuple[float, bool]]] = {}

    def room(self, replica_id: str, rule: ColdRule, now: float) -> int:
        """Return how many requests may be granted now."""
        return max(0, rule.max_grants - len(self._recent(replica_id, now)))

    def item_room(self, replica_id: str, rule: ColdRule, now: float) -> int:
        """Return how many batch items may be granted now, if no online request waits."""
        recent = self._recent(replica_id, now)
        max_items = math.floor(ITEM_SHARE * rule.max_grants)
        items = sum(is_item for _, is_item in recent)
        return max(0, min(rule.max_grants - len(recent), max_items - items))

    def record(self, replica_id: str, now: float, *, is_item: bool = False) -> None:
        """Count a grant, whether it will be accepted or not."""
        self._grants_by_replica.setdefault(replica_id, deque()).append((now, is_item))

    def _recent(self, replica_id: str, now: float) -> deque[tuple[float, bool]]:
        """Return the grants of the last ``GRANT_WINDOW_S``."""
        recent = self._grants_by_replica.get(replica_id)
        if recent is None:
            return deque()
        while recent and recent[0][0] <= now - GRANT_WINDOW_S:
            recent.popleft()
        if not recent:
            del self._grants_by_replica[replica_id]
        return recent


class GrantEligibility:
    """Decides for which pools a gateway may grant requests to cold replicas.

    Parameters
    ----------
    may_be_alone
        Whether a gateway that knows no other one may grant.
    """

    def __init__(self, *, may_be_alone: bool) -> None:
        self._may_be_alone = may_be_alone
        self._first_since_by_pool: dict[Hashable, float] = {}
        self._checked_at = -math.inf

    def check(self, first_for: set[Hashable], live: int, known: int, now: float) -> None:
        """Record this gateway's current view; called several times a second.

        Parameters
        ----------
        first_for
            Pools for which this gateway ranks first.
        live, known
            Number of live gateways, and of all that are known, including this one.
        """
        uninterrupted = now - self._checked_at <= MAX_CHECK_GAP_S
        self._checked_at = now
        sees_enough = live > MIN_LIVE_SHARE * known and (known > 1 or self._may_be_alone)
        since = self._first_since_by_pool if uninterrupted else {}
        self._first_since_by_pool = (
            {pool: since.get(pool, now) for pool in first_for} if sees_enough else {}
        )

    def may_grant(self, pool: Hashable, now: float) -> bool:
        """Return whether this gateway may grant requests to cold replicas of a pool."""
        since = self._first_since_by_pool.get(pool)
        if since is None or now - self._checked_at > MAX_CHECK_GAP_S:
            return False
        return now - since >= RANKED_FIRST_S

    def eligible_in_s(self, pool: Hashable, now: float) -> float:
        """Return the shortest time after which this gateway may grant, 0 if it may now."""
        since = self._first_since_by_pool.get(pool, now)
        return max(0.0, RANKED_FIRST_S - (now - since))


class PauseWatch:
    """Notices that this process was paused, so that messages may have waited for it.

    Pauses shorter than ``MAX_TICK_GAP_S`` are not noticed, nor are threads that wait while the
    ticking one runs, nor messages that another process or the network has delayed.
    """

    def __init__(self) -> None:
        self._ticked_at = -math.inf
        self._distrust_until = -math.inf

    def tick(self, now: float) -> None:
        """Record that the process runs; called every 0.2 s."""
        if now - self._ticked_at > MAX_TICK_GAP_S:
            self._distrust_until = now + PAUSE_DISTRUST_S
        self._ticked_at = now

    def paused_recently(self, now: float) -> bool:
        """Return whether the process was paused in the last ``PAUSE_DISTRUST_S``."""
        return now < self._distrust_until or now - self._ticked_at > MAX_TICK_GAP_S
