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
    ReturnRules,
    StoreCircuit,
    longest_probe_s,
    recovery_spread_s,
)
from quaymill.process.control.store_helpers import HELPER_RETRY_S, MAX_HELPERS_ASKED, StoreHelpers

LONGEST_S = 1.5
PLACE = Endpoint("127.0.0.1", 1)
MEMBERS = tuple(Member(name, "zone", "region", PLACE, PLACE) for name in ("a", "b", "c", "d"))
REFUSED = StoreRefused("503")
UNANSWERED = StoreUnanswered("nothing came")


def circuit() -> StoreCircuit:
    """Return a circuit whose probe delays are not shortened by jitter."""
    return StoreCircuit(LONGEST_S, uniform=lambda least, most: most)


def opened(at: float = 10.0) -> StoreCircuit:
    """Return a circuit that opened at the given time."""
    held = circuit()
    for _ in range(OPEN_AFTER_FAILURES):
        held.record_failure(at, at)
    return held


class CircuitTest(unittest.TestCase):
    """Decisions of the circuit, with the time as a parameter."""

    def test_every_event_has_its_state(self) -> None:
        closed_only = {(CircuitState.CLOSED, CircuitEvent.PROBE_BEGUN)}
        every = {(state, event) for state in CircuitState for event in CircuitEvent}
        self.assertEqual(every - closed_only, NEXT_STATES.keys())

    @params(
        ("nothing known", (), True),
        ("one failure", ((1.0, False),), True),
        ("two in a row", ((1.0, False), (1.1, False)), False),
        ("an answer between", ((1.0, False), (1.05, True), (1.1, False)), True),
        ("an answer after", ((1.0, False), (1.1, False), (1.15, True)), True),
    )
    def test_opens_after_failures_in_a_row(self, _, outcomes, may_call) -> None:
        held = circuit()
        for at, answered in outcomes:
            if answered:
                held.record_answer(at)
            else:
                held.record_failure(at, at)
        self.assertIs(may_call, held.may_call(1.2))

    def test_failure_of_a_call_from_before_the_last_answer_says_nothing(self) -> None:
        held = circuit()
        held.record_answer(2.0)
        for began in (1.0, 1.5, 2.0):
            held.record_failure(began, 2.5)
        self.assertIs(CircuitState.CLOSED, held.state)

    def test_calls_under_way_at_the_opening_do_not_lengthen_the_pause(self) -> None:
        held = opened(10.0)
        before = held.probe_at
        for _ in range(8):
            held.record_failure(9.9, 10.1)
        self.assertEqual(before, held.probe_at)

    def test_one_probe_at_a_time(self) -> None:
        held = opened(10.0)
        self.assertFalse(held.may_call(10.0 + FIRST_PROBE_DELAY_S - 0.01))
        due = 10.0 + FIRST_PROBE_DELAY_S + 0.01
        self.assertTrue(held.may_call(due))
        self.assertIs(CircuitState.HALF_OPEN, held.state)
        self.assertFalse(held.may_call(due))
        self.assertFalse(held.may_call(due + PROBE_TIMEOUT_S - 0.01))
        self.assertTrue(held.may_call(due + PROBE_TIMEOUT_S))

    def test_pauses_grow_up_to_their_bound(self) -> None:
        held = opened(10.0)
        now = 10.0
        pauses = []
        for _ in range(5):
            pauses.append(round(held.probe_at - now, 3))
            now = held.probe_at
            self.assertTrue(held.may_call(now))
            held.record_failure(now, now)
        self.assertEqual([0.3, 0.6, 1.2, 1.5, 1.5], pauses)

    def test_another_callers_failure_takes_the_place_of_a_probe(self) -> None:
        held = opened(10.0)
        held.record_failure(10.2, 10.2)
        self.assertAlmostEqual(10.8, held.probe_at)

    def test_answer_closes_and_the_next_outage_begins_with_the_first_pause(self) -> None:
        held = opened(10.0)
        held.may_call(10.5)
        held.record_failure(10.5, 10.5)
        held.record_answer(11.0)
        self.assertTrue(held.may_call(11.0))
        for at in (12.0, 12.1):
            held.record_failure(at, at)
        self.assertAlmostEqual(FIRST_PROBE_DELAY_S, held.retry_after_s(12.1))

    def test_word_of_the_return_brings_one_probe_forward(self) -> None:
        held = opened(10.0)
        held.may_call(10.4)
        held.record_failure(10.4, 10.4)
        self.assertAlmostEqual(11.0, held.probe_at)
        held.record_answer_elsewhere(10.2, 10.45, 0.2)
        self.assertAlmostEqual(11.0, held.probe_at, msg="the answer was before the last failure")
        held.record_answer_elsewhere(10.5, 10.6, 0.2)
        self.assertAlmostEqual(10.8, held.probe_at)
        held.may_call(10.8)
        held.record_failure(10.8, 10.8)
        due = held.probe_at
        held.record_answer_elsewhere(10.9, 10.9, 0.2)
        self.assertEqual(due, held.probe_at, "only one probe per outage is brought forward")

    @params(
        (4.0, 1.0, 3.0, 1.5),
        (3.0, 1.0, 2.0, 1.0),
        (4.0, 1.0, 1.0, 0.5),
        (1.0, 1.0, 2.0, FIRST_PROBE_DELAY_S),
    )
    def test_longest_probe_leaves_time_before_the_bounds_hold(
        self, contact_s, settle_s, configuration_s, expected
    ) -> None:
        self.assertEqual(expected, longest_probe_s(contact_s, settle_s, configuration_s))

    @params((1, 50, 400.0, 0.25), (2, 50, 1200.0, 1 / 6), (40, 100, 400.0, 1.0))
    def test_return_is_spread_by_what_the_store_takes(
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


def circuit_store(store: _Store, others_served_age_s: float = 1000.0) -> CircuitStore:
    rules = ReturnRules(lambda: others_served_age_s, lambda: 2, 400.0, 1.0)
    return CircuitStore(store, circuit(), rules)


def append(store: Any) -> Any:
    return store.replace(ObjectKind.JOB_LISTINGS, "name", "spec", 6)


class CircuitStoreTest(unittest.TestCase):
    """The circuit around a store."""

    def setUp(self) -> None:
        self.own = _Store()
        self.store = circuit_store(self.own)

    def open_circuit(self) -> None:
        for _ in range(OPEN_AFTER_FAILURES):
            append(self.store)
        self.assertTrue(self.store.is_open)
        self.own.calls = 0

    def test_call_that_is_held_back_was_not_made(self) -> None:
        self.open_circuit()
        result = append(self.store)
        self.assertIsInstance(result, StoreRefused)
        self.assertGreater(result.retry_after_s, 0.0)
        self.assertEqual((0, 1), (self.own.calls, self.store.calls_saved))

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
        self.own.result = result
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
    def test_never_held_back(self, _, call: Callable[[Any], Any]) -> None:
        self.open_circuit()
        for _ in range(3):
            call(self.store)
        self.assertEqual(3, self.own.calls)

    def test_watch_says_nothing_of_other_calls(self) -> None:
        for _ in range(OPEN_AFTER_FAILURES):
            self.store.watch(ObjectKind.REPLICAS, 1, 1.0)
        self.assertFalse(self.store.is_open)
        self.open_circuit()
        self.own.result = StoredObject("name", 1, "spec")
        self.store.watch(ObjectKind.REPLICAS, 1, 1.0)
        self.assertTrue(self.store.is_open)

    def test_reader_of_the_configuration_finds_the_store_back_for_all(self) -> None:
        self.open_circuit()
        self.own.result = Listing((), 1)
        self.store.list(ObjectKind.REPLICAS)
        self.assertFalse(self.store.is_open)

    def test_waiting_ends_when_the_store_is_back(self) -> None:
        self.assertFalse(self.store.await_turn(10.0), "waited although the circuit is closed")
        self.open_circuit()
        turns: list[bool] = []
        waiting = [
            threading.Thread(target=lambda: turns.append(self.store.await_turn(10.0)))
            for _ in range(5)
        ]
        for thread in waiting:
            thread.start()
        wait_until(lambda: self.store._waiting == len(waiting), "all callers wait")
        self.own.result = Listing((), 1)
        self.store.list(ObjectKind.REPLICAS)
        for thread in waiting:
            thread.join(5.0)
        self.assertEqual([True] * len(waiting), turns)

    @params(("available", StoredObject("name", 1, "spec")), ("unavailable", REFUSED))
    def test_call_that_comes_during_a_probe_waits_for_what_it_tells(self, _, told) -> None:
        patience = mock.patch.object(store_circuit, "PROBE_WAIT_S", 5.0)
        patience.start()
        self.addCleanup(patience.stop)
        self.open_circuit()
        answer = threading.Event()
        probing = threading.Event()

        def slow_call(*_: Any, **__: Any) -> Any:
            probing.set()
            answer.wait()
            return told

        self.own.replace = slow_call
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
        self.assertEqual([type(told)] * 2, [type(result) for result in results])

    def test_one_of_those_that_wait_makes_the_probe(self) -> None:
        self.open_circuit()
        went = threading.Semaphore(0)

        def wait() -> None:
            self.store.await_turn(10 * FIRST_PROBE_DELAY_S)
            went.release()

        for _ in range(5):
            threading.Thread(target=wait, daemon=True).start()
        self.assertTrue(went.acquire(timeout=5 * FIRST_PROBE_DELAY_S))
        self.assertFalse(
            went.acquire(timeout=2 * FIRST_PROBE_DELAY_S), "a second caller retried as well"
        )


class HelpersTest(unittest.TestCase):
    """Gateways that one whose calls the store refuses asks for help."""

    def setUp(self) -> None:
        self.helpers = StoreHelpers(sample=lambda members, count: list(members)[:count])

    def names(self, now: float) -> list[str]:
        return [member.name for member in self.helpers.choose(MEMBERS, now)]

    def test_who_helped_is_asked_first(self) -> None:
        self.helpers.record_helped("c")
        self.assertEqual(["c", "a"], self.names(1.0))

    def test_who_could_not_help_is_left_out_for_as_long_as_it_says(self) -> None:
        self.helpers.record_unable("a", 1.2, 1.0)
        self.helpers.record_unable("b", 0.0, 1.0)
        self.assertEqual(["c", "d"], self.names(1.0 + HELPER_RETRY_S / 2))
        self.assertEqual(["b", "c"], self.names(1.0 + HELPER_RETRY_S))
        self.assertEqual(["a", "b"], self.names(2.2))

    def test_who_helped_once_and_cannot_now_is_no_longer_the_first(self) -> None:
        self.helpers.record_helped("c")
        self.helpers.record_unable("c", 1.0, 1.0)
        self.assertEqual(["a", "b"], self.names(1.1))

    def test_nobody_is_asked_where_all_who_were_asked_hold_back(self) -> None:
        for name in self.names(1.0):
            self.helpers.record_unable(name, 0.8, 1.0)
        self.helpers.record_none_able(1.0)
        self.assertEqual([], self.names(1.7))
        self.assertEqual(MAX_HELPERS_ASKED, len(self.names(1.8)))

    def test_few_others(self) -> None:
        self.assertEqual([], self.helpers.choose((), 1.0))
        self.assertEqual(1, len(self.helpers.choose(MEMBERS[:1], 1.0)))
