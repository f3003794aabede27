"""Circuit breaker around this gateway's calls to the platform's store.

While the store is unavailable, or refuses this machine, every open job, quota and reader of
results would otherwise keep retrying, and all of them would retry at once when it recovers.
``StoreCircuit`` makes the decisions, without I/O and with the time as a parameter; ``CircuitStore``
applies them to an ``ObjectStore``.

Calls for kinds of objects not in ``GUARDED_KINDS`` are always made, because their callers limit
their rate. Their results count too, except those of watches: a successful read of the
configuration or the replicas closes the circuit.
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

GUARDED_KINDS = frozenset(
    {ObjectKind.JOB_LISTINGS, ObjectKind.QUOTA_LEDGERS, ObjectKind.BARRED_REQUESTS}
)
"""Objects that jobs and callers wait for. Calls for them are rejected while the circuit is open,
and may be made through other gateways."""
OPEN_AFTER_FAILURES = 2
"""Consecutive failures that open the circuit; a single lost response does not."""
FIRST_PROBE_DELAY_S = 0.3
"""Delay before the first probe, short because most outages are."""
PROBE_GROWTH = 2.0
PROBE_JITTER = 0.3
"""Fraction by which a delay may be shortened, so that gateways do not probe together."""
PROBE_TIMEOUT_S = 4.0
"""Time after which another probe is made although the last one has not ended; longer than the
timeout of any call."""
PROBE_WAIT_S = 0.1
"""Time for which a call waits for the result of a probe in progress; many times what the store
takes to answer."""
RECOVERY_WRITE_SHARE = 0.5
"""Share of the store's write rate for appends that have waited for the recovery."""
RETRY_CHECK_INTERVAL_S = 0.1
"""Interval at which a waiting caller checks whether other gateways have reached the store."""


class CircuitState(enum.Enum):
    """States of the circuit breaker; all calls are made while it is closed."""

    CLOSED = enum.auto()
    OPEN = enum.auto()
    HALF_OPEN = enum.auto()


class CircuitEvent(enum.Enum):
    """Events that may change the state of the circuit."""

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


def max_probe_delay_s(contact_s: float, settle_s: float, configuration_s: float) -> float:
    """Return the longest delay between two probes, in seconds.

    The service must meet its guarantees again within ``contact_s`` after an outage. By then a probe
    must have succeeded and the results listed since must have settled, which takes ``settle_s``. A
    configuration written at the recovery must be in force within ``configuration_s``. Half of the
    shorter remaining time is reserved for the calls themselves.
    """
    return max(FIRST_PROBE_DELAY_S, min(contact_s - settle_s, configuration_s) / 2)


def recovery_spread_s(waiting: int, gateways: int, writes_per_s: float, longest_s: float) -> float:
    """Return the time in seconds over which waiting appends are spread when the store recovers.

    Parameters
    ----------
    waiting
        Appends waiting at this gateway; other gateways are assumed to have as many.
    writes_per_s
        Calls per second that the store accepts from all gateways together.
    longest_s
        Upper bound of the result.
    """
    return min(longest_s, waiting * gateways / (RECOVERY_WRITE_SHARE * writes_per_s))


@attrs.define
class StoreCircuit:
    """State machine of the circuit breaker; the caller must hold a lock.

    All times are monotonic, in seconds.

    Attributes
    ----------
    max_probe_delay_s
        Upper bound of the delay between two probes.
    uniform
        Returns a random number between two bounds.
    failures
        Number of consecutive failed calls that began after the last response.
    probe_at
        Time at which the next probe is due; ``math.inf`` while the circuit is closed.
    """

    max_probe_delay_s: float
    uniform: Callable[[float, float], float] = random.uniform
    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    opened_at: float = -math.inf
    probe_at: float = math.inf
    _answered_at: float = -math.inf
    _failed_at: float = -math.inf
    _next_delay_s: float = FIRST_PROBE_DELAY_S
    _probe_advanced: bool = False

    def may_call(self, now: float) -> bool:
        """Return whether a call may be made; while the circuit is open, that call is a probe."""
        if self.state is CircuitState.CLOSED:
            return True
        if now < self.probe_at:
            return False
        self._enter(CircuitEvent.PROBE_BEGUN)
        self.probe_at = now + PROBE_TIMEOUT_S
        return True

    def retry_after_s(self, now: float) -> float:
        """Return the time until a call may be made; 0 if it may be made now."""
        if self.state is CircuitState.CLOSED:
            return 0.0
        return max(0.0, self.probe_at - now)

    def record_answer(self, now: float) -> None:
        """Record that the store answered a call."""
        self._enter(CircuitEvent.ANSWERED)
        self._answered_at = now
        self.failures = 0
        self.probe_at = math.inf
        self._next_delay_s = min(FIRST_PROBE_DELAY_S, self.max_probe_delay_s)
        self._probe_advanced = False

    def record_failure(self, began: float, now: float) -> None:
        """Record the failure of a call that began at ``began``.

        Ignored if the store has answered since then, or if the circuit opened after that time.
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
        self.probe_at = now + self._next_delay_s * jitter
        self._next_delay_s = min(self.max_probe_delay_s, PROBE_GROWTH * self._next_delay_s)

    def record_answer_elsewhere(self, at: float, now: float, spread_s: float) -> None:
        """Record that the store answered another gateway at the time ``at``.

        The first such report in an outage that is newer than the last failure brings the next
        probe forward. Later ones do not, because the store may refuse this gateway alone.
        """
        if self.state is not CircuitState.OPEN or self._probe_advanced or at <= self._failed_at:
            return
        self._probe_advanced = True
        self.probe_at = min(self.probe_at, now + self.uniform(0.0, spread_s))

    def _enter(self, event: CircuitEvent) -> None:
        self.state = NEXT_STATES[self.state, event]


@attrs.frozen
class RecoveryRules:
    """Parameters by which calls resume after an outage.

    Attributes
    ----------
    last_answer_age_s
        Returns how long ago the store is known to have answered any gateway.
    gateways
        Returns the number of live gateways.
    writes_per_s
        Calls per second that the store accepts from all gateways together.
    max_spread_s
        Longest time over which waiting calls are spread.
    """

    last_answer_age_s: Callable[[], float]
    gateways: Callable[[], int]
    writes_per_s: float
    max_spread_s: float


class CircuitStore:
    """An ``ObjectStore`` that rejects calls while its circuit is open; thread-safe.

    Attributes
    ----------
    rejected_calls
        Number of calls rejected without reaching the store, since the start.
    """

    def __init__(self, wrapped: ObjectStore, circuit: StoreCircuit, rules: RecoveryRules) -> None:
        self._wrapped = wrapped
        self._circuit = circuit
        self._rules = rules
        self._changed = threading.Condition()
        self._waiting = 0
        self._claimed_probe_at = math.inf  # Probe that a waiting caller is already making.
        self._recovery_spread_s = 0.0
        self._rejected_at_opening = 0
        self.rejected_calls = 0

    @property
    def is_open(self) -> bool:
        """Whether the circuit is open or half-open."""
        return self._circuit.state is not CircuitState.CLOSED

    def list(self, kind: ObjectKind) -> Listing | StoreFailure:
        """Return all objects of a kind."""
        return self._call(kind, lambda: self._wrapped.list(kind))

    def watch(
        self, kind: ObjectKind, revision: int, wait_s: float
    ) -> Changes | HistoryGone | StoreFailure:
        """Wait for changes; the result of a watch does not affect the circuit."""
        return self._wrapped.watch(kind, revision, wait_s)

    def get(
        self, kind: ObjectKind, name: str, *, allow_stale: bool = False
    ) -> StoredObject | ObjectMissing | StoreFailure:
        """Return one object."""
        return self._call(kind, lambda: self._wrapped.get(kind, name, allow_stale=allow_stale))

    def create(self, kind: ObjectKind, name: str, spec: Any) -> WriteResult:
        """Create an object; a conflict if it exists."""
        return self._call(kind, lambda: self._wrapped.create(kind, name, spec))

    def replace(self, kind: ObjectKind, name: str, spec: Any, revision: int) -> WriteResult:
        """Replace an object's ``spec`` if ``revision`` is still the object's."""
        return self._call(kind, lambda: self._wrapped.replace(kind, name, spec, revision))

    def replace_status(
        self, kind: ObjectKind, name: str, status: Any, revision: int
    ) -> WriteResult:
        """Replace an object's ``status``."""
        return self._call(kind, lambda: self._wrapped.replace_status(kind, name, status, revision))

    def delete(self, kind: ObjectKind, name: str) -> WriteResult:
        """Remove an object."""
        return self._call(kind, lambda: self._wrapped.delete(kind, name))

    def wait_for_retry(self, timeout_s: float) -> bool:
        """Wait while the circuit is open, until a failed call should be retried.

        That is when the circuit closes, plus a random delay that spreads the waiting callers;
        for one of them also when a probe is due. If neither happens, waiting ends after
        ``timeout_s``.

        Returns
        -------
        Whether the circuit was open; if it was closed, the method returned at once.
        """
        if not self.is_open:
            return False
        deadline = boot_clock.now() + timeout_s
        with self._changed:
            self._waiting += 1
            try:
                while not self._may_retry() and boot_clock.now() < deadline:
                    self._changed.wait(RETRY_CHECK_INTERVAL_S)
            finally:
                self._waiting -= 1
            spread_s = 0.0 if self.is_open else self._recovery_spread_s
        time.sleep(random.uniform(0.0, spread_s))
        return True

    def _may_retry(self) -> bool:
        """Return whether a waiting caller may retry; only one of them makes a due probe."""
        if not self.is_open:
            return True
        self._check_other_gateways()
        due_at = self._circuit.probe_at
        if self._circuit.retry_after_s(boot_clock.now()) > 0 or due_at == self._claimed_probe_at:
            return False
        self._claimed_probe_at = due_at
        return True

    def _call(self, kind: ObjectKind, make: Callable[[], Result]) -> Result | StoreRefused:
        refusal = self._rejection() if kind in GUARDED_KINDS else None
        if refusal is not None:
            return refusal
        began = boot_clock.now()
        result = make()
        self._record_result(result, began)
        return result

    def _rejection(self) -> StoreRefused | None:
        with self._changed:
            self._check_other_gateways()
            if self._circuit.may_call(boot_clock.now()):
                return None
            if self._circuit.state is CircuitState.HALF_OPEN:
                # The probe in progress will show whether the store has recovered.
                self._changed.wait(PROBE_WAIT_S)
            now = boot_clock.now()
            if self._circuit.may_call(now):
                return None
            self.rejected_calls += 1
            return StoreRefused(
                "the store is unavailable: call not made", self._circuit.retry_after_s(now)
            )

    def _check_other_gateways(self) -> None:
        if self._circuit.state is CircuitState.OPEN:
            now = boot_clock.now()
            served_at = now - self._rules.last_answer_age_s()
            self._circuit.record_answer_elsewhere(served_at, now, self._spread_s())

    def _spread_s(self) -> float:
        rules = self._rules
        return recovery_spread_s(
            max(1, self._waiting), rules.gateways(), rules.writes_per_s, rules.max_spread_s
        )

    def _record_result(self, result: object, began: float) -> None:
        if is_store_unavailable(result):
            self._record_failure(result, began)
        else:
            self._record_answer()

    def _record_answer(self) -> None:
        with self._changed:
            was_open = self.is_open
            now = boot_clock.now()
            self._circuit.record_answer(now)
            if not was_open:
                return
            self._recovery_spread_s = self._spread_s()
            log_message(
                "store:circuit_closed",
                open_s=round(now - self._circuit.opened_at, 3),
                saved=self.rejected_calls - self._rejected_at_opening,
                waiting=self._waiting,
                spread_s=round(self._recovery_spread_s, 3),
            )
            self._changed.notify_all()

    def _record_failure(self, failure: StoreFailure, began: float) -> None:
        with self._changed:
            was_open = self.is_open
            now = boot_clock.now()
            self._circuit.record_failure(began, now)
            self._changed.notify_all()
            if was_open or not self.is_open:
                return
            self._rejected_at_opening = self.rejected_calls
            log_message(
                "store:circuit_open",
                failures=self._circuit.failures,
                reason=failure.reason,
                outcome=type(failure).__name__,
                probe_in_s=round(self._circuit.retry_after_s(now), 3),
                others_served_s=_rounded_age_s(self._rules.last_answer_age_s()),
            )


def _rounded_age_s(age_s: float) -> float | None:
    """Return an age in seconds, rounded for a log line; ``None`` if it is infinite."""
    return round(age_s, 3) if math.isfinite(age_s) else None
