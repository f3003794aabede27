"""Circuit breaker of the platform's store: its decisions, and the calls that it rejects.

Guards against retries that overload the store during an outage and at its recovery.
"""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from nose2.tools import params

from fleet_rig import wait_until
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member
from quaymill.connection.object_store import (
    CallRejected,
    Listing,
    ObjectKind,
    ObjectMissing,
    ObjectUnreadable,
    RevisionConflict,
    StoredObject,
    StoreRefused,
    StoreUnanswered,
)
from quaymill.process.control import store_circuit
from quaymill.process.control.store_circuit import (
    FIRST_PROBE_DELAY_S,
    NEXT_STATES,
    OPEN_AFTER_FAILURES,
    PROBE_TIMEOUT_S,
    CircuitEvent,
    CircuitState,
    CircuitStore,
    RecoveryRules,
    StoreCircuit,
    max_probe_delay_s,
    recovery_spread_s,
)
from quaymill.process.control.store_helpers import HELPER_RETRY_S, MAX_HELPERS_ASKED, StoreHelpers

MAX_PROBE_DELAY_S = 1.5
ENDPOINT = Endpoint("127.0.0.1", 1)
MEMBERS = tuple(Member(name, "zone", "region", ENDPOINT, ENDPOINT) for name in ("a", "b", "c", "d"))
REFUSED = StoreRefused("503")
UNANSWERED = StoreUnanswered("nothing came")


def new_circuit() -> StoreCircuit:
    """Return a circuit whose probe delays are not shortened by jitter."""
    return StoreCircuit(MAX_PROBE_DELAY_S, uniform=lambda least, most: most)


def opened_circuit(at: float = 10.0) -> StoreCircuit:
    """Return a circuit that opened at the given time."""
    circuit = new_circuit()
    for _ in range(OPEN_AFTER_FAILURES):
        circuit.record_failure(at, at)
    return circuit


class CircuitTest(unittest.TestCase):
    """Decisions of the circuit, with the time as a parameter."""

    def test_every_state_handles_every_event(self) -> None:
        impossible = {(CircuitState.CLOSED, CircuitEvent.PROBE_BEGUN)}
        every = {(state, event) for state in CircuitState for event in CircuitEvent}
        self.assertEqual(every - impossible, NEXT_STATES.keys())

    @params(
        ("nothing known", (), True),
        ("one failure", ((1.0, False),), True),
        ("two in a row", ((1.0, False), (1.1, False)), False),
        ("an answer between", ((1.0, False), (1.05, True), (1.1, False)), True),
        ("an answer after", ((1.0, False), (1.1, False), (1.15, True)), True),
    )
    def test_opens_after_failures_in_a_row(self, _, outcomes, may_call) -> None:
        circuit = new_circuit()
        for at, answered in outcomes:
            if answered:
                circuit.record_answer(at)
            else:
                circuit.record_failure(at, at)
        self.assertIs(may_call, circuit.may_call(1.2))

    def test_failure_of_a_call_begun_before_the_last_answer_is_ignored(self) -> None:
        circuit = new_circuit()
        circuit.record_answer(2.0)
        for began in (1.0, 1.5, 2.0):
            circuit.record_failure(began, 2.5)
        self.assertIs(CircuitState.CLOSED, circuit.state)

    def test_calls_in_progress_at_the_opening_do_not_lengthen_the_delay(self) -> None:
        circuit = opened_circuit(10.0)
        before = circuit.probe_at
        for _ in range(8):
            circuit.record_failure(9.9, 10.1)
        self.assertEqual(before, circuit.probe_at)

    def test_one_probe_at_a_time(self) -> None:
        circuit = opened_circuit(10.0)
        self.assertFalse(circuit.may_call(10.0 + FIRST_PROBE_DELAY_S - 0.01))
        due = 10.0 + FIRST_PROBE_DELAY_S + 0.01
        self.assertTrue(circuit.may_call(due))
        self.assertIs(CircuitState.HALF_OPEN, circuit.state)
        self.assertFalse(circuit.may_call(due))
        self.assertFalse(circuit.may_call(due + PROBE_TIMEOUT_S - 0.01))
        self.assertTrue(circuit.may_call(due + PROBE_TIMEOUT_S))

    def test_probe_delays_grow_up_to_their_bound(self) -> None:
        circuit = opened_circuit(10.0)
        now = 10.0
        pauses = []
        for _ in range(5):
            pauses.append(round(circuit.probe_at - now, 3))
            now = circuit.probe_at
            self.assertTrue(circuit.may_call(now))
            circuit.record_failure(now, now)
        self.assertEqual([0.3, 0.6, 1.2, 1.5, 1.5], pauses)

    def test_failure_of_another_call_counts_as_a_probe(self) -> None:
        circuit = opened_circuit(10.0)
        circuit.record_failure(10.2, 10.2)
        self.assertAlmostEqual(10.8, circuit.probe_at)

    def test_answer_closes_the_circuit_and_resets_the_probe_delay(self) -> None:
        circuit = opened_circuit(10.0)
        circuit.may_call(10.5)
        circuit.record_failure(10.5, 10.5)
        circuit.record_answer(11.0)
        self.assertTrue(circuit.may_call(11.0))
        for at in (12.0, 12.1):
            circuit.record_failure(at, at)
        self.assertAlmostEqual(FIRST_PROBE_DELAY_S, circuit.retry_after_s(12.1))

    def test_answer_elsewhere_brings_one_probe_forward(self) -> None:
        circuit = opened_circuit(10.0)
        circuit.may_call(10.4)
        circuit.record_failure(10.4, 10.4)
        self.assertAlmostEqual(11.0, circuit.probe_at)
        circuit.record_answer_elsewhere(10.2, 10.45, 0.2)
        self.assertAlmostEqual(11.0, circuit.probe_at, msg="the answer was before the last failure")
        circuit.record_answer_elsewhere(10.5, 10.6, 0.2)
        self.assertAlmostEqual(10.8, circuit.probe_at)
        circuit.may_call(10.8)
        circuit.record_failure(10.8, 10.8)
        due = circuit.probe_at
        circuit.record_answer_elsewhere(10.9, 10.9, 0.2)
        self.assertEqual(due, circuit.probe_at, "only one probe per outage is brought forward")

    @params(
        (4.0, 1.0, 3.0, 1.5),
        (3.0, 1.0, 2.0, 1.0),
        (4.0, 1.0, 1.0, 0.5),
        (1.0, 1.0, 2.0, FIRST_PROBE_DELAY_S),
    )
    def test_max_probe_delay_leaves_time_before_the_bounds_hold(
        self, contact_s, settle_s, configuration_s, expected
    ) -> None:
        self.assertEqual(expected, max_probe_delay_s(contact_s, settle_s, configuration_s))

    @params((1, 50, 400.0, 0.25), (2, 50, 1200.0, 1 / 6), (40, 100, 400.0, 1.0))
    def test_recovery_spread_follows_the_write_rate_of_the_store(
        self, waiting, gateways, writes_per_s, expected
    ) -> None:
        self.assertAlmostEqual(expected, recovery_spread_s(waiting, gateways, writes_per_s, 1.0))


class _Store:
    """A store whose calls all return ``result``, and are counted."""

    def __init__(self, result: Any = REFUSED) -> None:
        self.result = result
        self.calls = 0

    def _call(self, *_: Any, **__: Any) -> Any:
        self.calls += 1
        return self.result

    list = get = watch = create = replace = replace_status = delete = _call


def circuit_store(store: _Store, last_answer_age_s: float = 1000.0) -> CircuitStore:
    rules = RecoveryRules(lambda: last_answer_age_s, lambda: 2, 400.0, 1.0)
    return CircuitStore(store, new_circuit(), rules)


def append(store: Any) -> Any:
    return store.replace(ObjectKind.JOB_LISTINGS, "name", "spec", 6)


class CircuitStoreTest(unittest.TestCase):
    """The circuit around a store."""

    def setUp(self) -> None:
        self.wrapped = _Store()
        self.store = circuit_store(self.wrapped)

    def open_circuit(self) -> None:
        for _ in range(OPEN_AFTER_FAILURES):
            append(self.store)
        self.assertTrue(self.store.is_open)
        self.wrapped.calls = 0

    def test_rejected_call_does_not_reach_the_store(self) -> None:
        self.open_circuit()
        result = append(self.store)
        self.assertIsInstance(result, StoreRefused)
        self.assertGreater(result.retry_after_s, 0.0)
        self.assertEqual((0, 1), (self.wrapped.calls, self.store.rejected_calls))

    @params(
        ("refused", REFUSED, True),
        ("unanswered", UNANSWERED, True),
        ("done", StoredObject("name", 1, "spec"), False),
        ("conflict", RevisionConflict(), False),
        ("missing", ObjectMissing(), False),
        ("unreadable", ObjectUnreadable("torn"), False),
        ("rejected", CallRejected("413"), False),
    )
    def test_what_counts_as_a_failure(self, _, result, opens) -> None:
        self.wrapped.result = result
        for _ in range(OPEN_AFTER_FAILURES):
            self.assertEqual(result, append(self.store))
        self.assertIs(opens, self.store.is_open)

    @params(
        ("configuration", lambda store: store.get(ObjectKind.CONFIGURATION, "main")),
        ("replicas", lambda store: store.list(ObjectKind.REPLICAS)),
        ("registration", lambda store: store.create(ObjectKind.NODES, "name", "spec")),
        ("retirement", lambda store: store.replace_status(ObjectKind.RETIREMENTS, "name", "s", 1)),
        ("a watch", lambda store: store.watch(ObjectKind.JOB_LISTINGS, 1, 1.0)),
    )
    def test_other_calls_are_never_rejected(self, _, call: Callable[[Any], Any]) -> None:
        self.open_circuit()
        for _ in range(3):
            call(self.store)
        self.assertEqual(3, self.wrapped.calls)

    def test_watch_does_not_affect_the_circuit(self) -> None:
        for _ in range(OPEN_AFTER_FAILURES):
            self.store.watch(ObjectKind.REPLICAS, 1, 1.0)
        self.assertFalse(self.store.is_open)
        self.open_circuit()
        self.wrapped.result = StoredObject("name", 1, "spec")
        self.store.watch(ObjectKind.REPLICAS, 1, 1.0)
        self.assertTrue(self.store.is_open)

    def test_successful_read_of_replicas_closes_the_circuit(self) -> None:
        self.open_circuit()
        self.wrapped.result = Listing((), 1)
        self.store.list(ObjectKind.REPLICAS)
        self.assertFalse(self.store.is_open)

    def test_waiting_ends_when_the_store_recovers(self) -> None:
        self.assertFalse(self.store.wait_for_retry(10.0), "waited although the circuit is closed")
        self.open_circuit()
        was_open: list[bool] = []
        waiting = [
            threading.Thread(target=lambda: was_open.append(self.store.wait_for_retry(10.0)))
            for _ in range(5)
        ]
        for thread in waiting:
            thread.start()
        wait_until(lambda: self.store._waiting == len(waiting), "all callers wait")
        self.wrapped.result = Listing((), 1)
        self.store.list(ObjectKind.REPLICAS)
        for thread in waiting:
            thread.join(5.0)
        self.assertEqual([True] * len(waiting), was_open)

    @params(("available", StoredObject("name", 1, "spec")), ("unavailable", REFUSED))
    def test_call_during_a_probe_waits_for_its_result(self, _, probe_result) -> None:
        wait_patch = mock.patch.object(store_circuit, "PROBE_WAIT_S", 5.0)
        wait_patch.start()
        self.addCleanup(wait_patch.stop)
        self.open_circuit()
        answer = threading.Event()
        probing = threading.Event()

        def slow_call(*_: Any, **__: Any) -> Any:
            probing.set()
            answer.wait()
            return probe_result

        self.wrapped.replace = slow_call
        time.sleep(FIRST_PROBE_DELAY_S)
        results: list[Any] = []
        probe = threading.Thread(target=lambda: results.append(append(self.store)))
        probe.start()
        probing.wait()
        second = threading.Thread(target=lambda: results.append(append(self.store)))
        second.start()
        answer.set()
        probe.join()
        second.join()
        self.assertEqual([type(probe_result)] * 2, [type(result) for result in results])

    def test_one_waiting_caller_makes_the_probe(self) -> None:
        self.open_circuit()
        returned = threading.Semaphore(0)

        def wait() -> None:
            self.store.wait_for_retry(10 * FIRST_PROBE_DELAY_S)
            returned.release()

        for _ in range(5):
            threading.Thread(target=wait, daemon=True).start()
        self.assertTrue(returned.acquire(timeout=5 * FIRST_PROBE_DELAY_S))
        self.assertFalse(
            returned.acquire(timeout=2 * FIRST_PROBE_DELAY_S), "a second caller retried as well"
        )


class HelpersTest(unittest.TestCase):
    """Choice of the gateways that are asked for help when the store refuses calls."""

    def setUp(self) -> None:
        self.helpers = StoreHelpers(sample=lambda members, count: list(members)[:count])

    def names(self, now: float) -> list[str]:
        return [member.name for member in self.helpers.choose(MEMBERS, now)]

    def test_last_helper_is_asked_first(self) -> None:
        self.helpers.record_helped("c")
        self.assertEqual(["c", "a"], self.names(1.0))

    def test_helper_is_left_out_until_its_retry_time(self) -> None:
        self.helpers.record_unable("a", 1.2, 1.0)
        self.helpers.record_unable("b", 0.0, 1.0)
        self.assertEqual(["c", "d"], self.names(1.0 + HELPER_RETRY_S / 2))
        self.assertEqual(["b", "c"], self.names(1.0 + HELPER_RETRY_S))
        self.assertEqual(["a", "b"], self.names(2.2))

    def test_last_helper_that_fails_is_no_longer_first(self) -> None:
        self.helpers.record_helped("c")
        self.helpers.record_unable("c", 1.0, 1.0)
        self.assertEqual(["a", "b"], self.names(1.1))

    def test_none_is_asked_while_all_that_were_asked_are_unable(self) -> None:
        for name in self.names(1.0):
            self.helpers.record_unable(name, 0.8, 1.0)
        self.helpers.record_none_able(1.0)
        self.assertEqual([], self.names(1.7))
        self.assertEqual(MAX_HELPERS_ASKED, len(self.names(1.8)))

    def test_few_members(self) -> None:
        self.assertEqual([], self.helpers.choose((), 1.0))
        self.assertEqual(1, len(self.helpers.choose(MEMBERS[:1], 1.0)))
