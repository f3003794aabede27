"""Circuit breaker around this gateway's calls of the platform's store.

Load answered: while the store is away, or turns this machine away, every open job, quota and
reader of results would go on trying, and all of them would come back at once when it returns.
``StoreCircuit`` decides, without a network and with the time as a parameter; ``CircuitStore``
puts the decision around an ``ObjectStore``.

Calls that are not held back, since they have a pace and a bound of their own, count as probes:
whoever reads configuration and replicas finds the store back for all calls of this gateway.
"""

from __future__ import annotations

import enum
import math
import random
import threading
import time
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.object_store import (
    Changes,
    HistoryGone,
    Listing,
    ObjectKind,
    ObjectMissing,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreRefused,
    WriteResult,
    is_store_unavailable,
)

HELD_BACK_KINDS = frozenset(
    {ObjectKind.JOB_LISTINGS, ObjectKind.QUOTA_LEDGERS, ObjectKind.BARRED_REQUESTS}
)
"""What jobs and callers wait for; these calls may go by way of other gateways."""
OPEN_AFTER_FAILURES = 2
"""Failures in a row that open the circuit: one answer that is lost says little of the store."""
FIRST_PROBE_S = 0.3
"""Pause before the first probe: short outages are over soon."""
PROBE_GROWTH = 2.0
PROBE_JITTER = 0.3
"""Part by which a pause may be shorter, so that gateways do not probe together."""
PROBE_LOST_AFTER_S = 4.0
"""Time after which another probe is made though one is not over: longer than any call takes."""
PROBE_WAIT_S = 0.1
"""Time that a call waits for a probe under way: many times what the store takes for an answer."""
RETURN_SHARE = 0.5
"""Part of the store's writes a second that appends may take which waited for its return."""
TURN_CHECK_S = 0.1
"""Time between two looks of a caller that waits, by which it hears of other gateways' reads."""


class CircuitState(enum.Enum):
    """States of the circuit; calls are made while it is closed."""

    CLOSED = enum.auto()
    OPEN = enum.auto()
    HALF_OPEN = enum.auto()


class CircuitEvent(enum.Enum):
    """What changes the state."""

    ANSWERED = enum.auto()
    FAILED = enum.auto()
    FAILED_REPEATEDLY = enum.auto()
    PROBE_BEGUN = enum.auto()


NEXT_STATES = {
    (CircuitState.CLOSED, CircuitEvent.ANSWERED): CircuitState.CLOSED,
    (CircuitState.CLOSED, CircuitEvent.FAILED): CircuitState.CLOSED,
    (CircuitState.CLOSED, CircuitEvent.FAILED_REPEATEDLY): CircuitState.OPEN,
    (CircuitState.OPEN, CircuitEvent.PROBE_BEGUN): CircuitState.HALF_OPEN,
    (CircuitState.OPEN, CircuitEvent.ANSWERED): CircuitState.CLOSED,
    (CircuitState.OPEN, CircuitEvent.FAILED): CircuitState.OPEN,
    (CircuitState.OPEN, CircuitEvent.FAILED_REPEATEDLY): CircuitState.OPEN,
    (CircuitState.HALF_OPEN, CircuitEvent.PROBE_BEGUN): CircuitState.HALF_OPEN,
    (CircuitState.HALF_OPEN, CircuitEvent.ANSWERED): CircuitState.CLOSED,
    (CircuitState.HALF_OPEN, CircuitEvent.FAILED): CircuitState.OPEN,
    (CircuitState.HALF_OPEN, CircuitEvent.FAILED_REPEATEDLY): CircuitState.OPEN,
}

Result = TypeVar("Result")


def longest_probe_s(contact_s: float, settle_s: float, configuration_s: float) -> float:
    """Return the longest pause between two probes.

    The bounds hold again ``contact_s`` after an outage. By then a probe must have succeeded and
    what was listed since must have settled; and a configuration be in force that was written at
    the return. Half of that time is left for the calls themselves.
    """
    return max(FIRST_PROBE_S, min(contact_s - settle_s, configuration_s) / 2)


def return_spread_s(waiting: int, gateways: int, writes_per_s: float, longest_s: float) -> float:
    """Return the time over which appends that waited are spread once the store is back.

    Parameters
    ----------
    waiting
        Appends that wait at this gateway; others are taken to have as many.
    writes_per_s
        Calls that the store takes a second from all gateways together.
    longest_s
        Bound of the result: callers wait for what is to be listed.
    """
    return min(longest_s, waiting * gateways / (RETURN_SHARE * writes_per_s))


@attrs.define
class StoreCircuit:
    """What this gateway knows of the store; to be used under a lock.

    All times are monotonic, in seconds.

    Attributes
    ----------
    longest_probe_s
        Bound of the pause between two probes.
    uniform
        Draws a number between two bounds.
    failures
        In a row, by calls that began after the last answer.
    probe_at
        When the next probe is due; ``math.inf`` while the circuit is closed.
    """

    longest_probe_s: float
    uniform: Callable[[float, float], float] = random.uniform
    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    opened_at: float = -math.inf
    probe_at: float = math.inf
    _answered_at: float = -math.inf
    _failed_at: float = -math.inf
    _pause_s: float = FIRST_PROBE_S
    _heard_of_return: bool = False

    def may_call(self, now: float) -> bool:
        """Return whether a call may be made; one that may while the circuit is open is a probe."""
        if self.state is CircuitState.CLOSED:
            return True
        if now < self.probe_at:
            return False
        self._enter(CircuitEvent.PROBE_BEGUN)
        self.probe_at = now + PROBE_LOST_AFTER_S
        return True

    def retry_after_s(self, now: float) -> float:
        """Return the time until a call may be made; 0 if it may be made now."""
        if self.state is CircuitState.CLOSED:
            return 0.0
        return max(0.0, self.probe_at - now)

    def note_answered(self, now: float) -> None:
        """Note that the store answered a call."""
        self._enter(CircuitEvent.ANSWERED)
        self._answered_at = now
        self.failures = 0
        self.probe_at = math.inf
        self._pause_s = min(FIRST_PROBE_S, self.longest_probe_s)
        self._heard_of_return = False

    def note_failed(self, began: float, now: float) -> None:
        """Note that a call failed that began at ``began``.

        It is passed over if the store has answered since, or the circuit opened after it began.
        """
        if began <= self._answered_at:
            return
        if self.state is not CircuitState.CLOSED and began < self.opened_at:
            return
        self.failures += 1
        self._failed_at = now
        was_closed = self.state is CircuitState.CLOSED
        repeatedly = self.failures >= OPEN_AFTER_FAILURES
        self._enter(CircuitEvent.FAILED_REPEATEDLY if repeatedly else CircuitEvent.FAILED)
        if self.state is CircuitState.CLOSED:
            return
        if was_closed:
            self.opened_at = now
        jitter = self.uniform(1.0 - PROBE_JITTER, 1.0)
        self.probe_at = now + self._pause_s * jitter
        self._pause_s = min(self.longest_probe_s, PROBE_GROWTH * self._pause_s)

    def note_others_served(self, at: float, now: float, spread_s: float) -> None:
        """Note that the store answered another gateway at some time.

        The first such word after the last failure brings the next probe forward; where the
        store serves others all the time and not this gateway, the probes keep their pauses.
        """
        if self.state is not CircuitState.OPEN or self._heard_of_return or at <= self._failed_at:
            return
        self._heard_of_return = True
        self.probe_at = min(self.probe_at, now + self.uniform(0.0, spread_s))

    def _enter(self, event: CircuitEvent) -> None:
        self.state = NEXT_STATES[self.state, event]


@attrs.frozen
class ReturnRules:
    """How calls come back after an outage.

    Attributes
    ----------
    others_served_age_s
        Returns how long ago the store answered any gateway.
    gateways
        Returns how many gateways live.
    writes_per_s
        Calls that the store takes a second from all gateways together.
    longest_spread_s
        Longest time over which calls that waited are spread.
    """

    others_served_age_s: Callable[[], float]
    gateways: Callable[[], int]
    writes_per_s: float
    longest_spread_s: float


class CircuitStore:
    """An ``ObjectStore`` that makes no calls which are known to fail; safe to use from any thread.

    Attributes
    ----------
    calls_saved
        Calls that were answered here, since the start.
    """

    def __init__(self, own: ObjectStore, circuit: StoreCircuit, rules: ReturnRules) -> None:
        self._own = own
        self._circuit = circuit
        self._rules = rules
        self._changed = threading.Condition()
        self._waiting = 0
        self._claimed_probe_at = math.inf  # The probe that a waiting caller was let go for already.
        self._return_spread_s = 0.0
        self._saved_at_opening = 0
        self.calls_saved = 0

    @property
    def is_open(self) -> bool:
        """Whether calls are held back."""
        return self._circuit.state is not CircuitState.CLOSED

    def list(self, kind: ObjectKind) -> Listing | StoreFailure:
        """Return all objects of a kind."""
        return self._call(kind, lambda: self._own.list(kind))

    def watch(
        self, kind: ObjectKind, revision: int, wait_s: float
    ) -> Changes | HistoryGone | StoreFailure:
        """Wait for changes; what becomes of a watch tells of its connection alone."""
        return self._own.watch(kind, revision, wait_s)

    def get(
        self, kind: ObjectKind, name: str, *, allow_stale: bool = False
    ) -> StoredObject | ObjectMissing | StoreFailure:
        """Return one object."""
        return self._call(kind, lambda: self._own.get(kind, name, allow_stale=allow_stale))

    def create(self, kind: ObjectKind, name: str, spec: Any) -> WriteResult:
        """Make an object; a conflict if it exists."""
        return self._call(kind, lambda: self._own.create(kind, name, spec))

    def replace(self, kind: ObjectKind, name: str, spec: Any, revision: int) -> WriteResult:
        """Replace an object's ``spec`` if ``revision`` is still the object's."""
        return self._call(kind, lambda: self._own.replace(kind, name, spec, revision))

    def replace_status(
        self, kind: ObjectKind, name: str, status: Any, revision: int
    ) -> WriteResult:
        """Replace an object's ``status``."""
        return self._call(kind, lambda: self._own.replace_status(kind, name, status, revision))

    def delete(self, kind: ObjectKind, name: str) -> WriteResult:
        """Remove an object."""
        return self._call(kind, lambda: self._own.delete(kind, name))

    def await_turn(self, timeout_s: float) -> bool:
        """Wait while the circuit is open, until a call that failed should be made again.

        That is when the circuit closes, with those that waited spread over a short time; for
        one caller also when a probe is due; or when the time is over.

        Returns
        -------
        Whether the circuit was open at all; nobody waits while it is closed.
        """
        if not self.is_open:
            return False
        deadline = boot_clock.now() + timeout_s
        with self._changed:
            self._waiting += 1
            try:
                while not self._may_retry() and boot_clock.now() < deadline:
                    self._changed.wait(TURN_CHECK_S)
            finally:
                self._waiting -= 1
            spread_s = 0.0 if self.is_open else self._return_spread_s
        time.sleep(random.uniform(0.0, spread_s))
        return True

    def _may_retry(self) -> bool:
        """Return whether a caller that waits may go; of several, one makes the probe."""
        if not self.is_open:
            return True
        self._hear_others()
        due_at = self._circuit.probe_at
        if self._circuit.retry_after_s(boot_clock.now()) > 0 or due_at == self._claimed_probe_at:
            return False
        self._claimed_probe_at = due_at
        return True

    def _call(self, kind: ObjectKind, make: Callable[[], Result]) -> Result | StoreRefused:
        refusal = self._held_back() if kind in HELD_BACK_KINDS else None
        if refusal is not None:
            return refusal
        began = boot_clock.now()
        result = make()
        self._note(result, began)
        return result

    def _held_back(self) -> StoreRefused | None:
        with self._changed:
            self._hear_others()
            if self._circuit.may_call(boot_clock.now()):
                return None
            if self._circuit.state is CircuitState.HALF_OPEN:
                # Another call tells in a moment whether the store is back.
                self._changed.wait(PROBE_WAIT_S)
            now = boot_clock.now()
            if self._circuit.may_call(now):
                return None
            self.calls_saved += 1
            return StoreRefused("the store is away: not called", self._circuit.retry_after_s(now))

    def _hear_others(self) -> None:
        if self._circuit.state is CircuitState.OPEN:
            now = boot_clock.now()
            served_at = now - self._rules.others_served_age_s()
            self._circuit.note_others_served(served_at, now, self._spread_s())

    def _spread_s(self) -> float:
        rules = self._rules
        return return_spread_s(
            max(1, self._waiting), rules.gateways(), rules.writes_per_s, rules.longest_spread_s
        )

    def _note(self, result: object, began: float) -> None:
        if is_store_unavailable(result):
            self._note_failed(result, began)
        else:
            self._note_answered()

    def _note_answered(self) -> None:
        with self._changed:
            was_open = self.is_open
            now = boot_clock.now()
            self._circuit.note_answered(now)
            if not was_open:
                return
            self._return_spread_s = self._spread_s()
            log_message(
                "store:circuit_closed",
                open_s=round(now - self._circuit.opened_at, 3),
                saved=self.calls_saved - self._saved_at_opening,
                waiting=self._waiting,
                spread_s=round(self._return_spread_s, 3),
            )
            self._changed.notify_all()

    def _note_failed(self, failure: StoreFailure, began: float) -> None:
        with self._changed:
            was_open = self.is_open
            now = boot_clock.now()
            self._circuit.note_failed(began, now)
            self._changed.notify_all()
            if was_open or not self.is_open:
                return
            self._saved_at_opening = self.calls_saved
            log_message(
                "store:circuit_open",
                failures=self._circuit.failures,
                reason=failure.reason,
                outcome=type(failure).__name__,
                probe_in_s=round(self._circuit.retry_after_s(now), 3),
                others_served_s=_told_age_s(self._rules.others_served_age_s()),
            )


def _told_age_s(age_s: float) -> float | None:
    """Return an age for a log line; ``None`` where nothing was ever heard."""
    return round(age_s, 3) if math.isfinite(age_s) else None
