"""Batch schedulers while replicas, workers and the job store fail."""

import threading
import unittest

import msgspec
from nose2.tools import params

from batch_support import (
    ITEMS,
    JOB_ID,
    MODEL,
    TOKENS,
    CutStore,
    MemoryJobStore,
    Node,
    SchedulerCase,
    batch_running,
    configuration,
    model_items,
    outcomes,
    settings,
    view_of,
    wait_until,
)
from quaymill.connection.job_messages import CompleteItems, LeasedItem
from quaymill.process.batch.lease_book import MAX_REPORT_BYTES, LeaseBook
from quaymill.process.batch.work_item import WorkItem
from quaymill_standins.engine import Engine
from quaymill_standins.faults import Faults


class FaultTest(SchedulerCase):
    """Each case ends with every item recorded once and whole."""

    @params(
        ("truncated", Faults(truncate_probability=0.5)),
        ("crossed", Faults(cross_probability=0.5)),
        ("dropped", Faults(drop_probability=0.5)),
        ("answering 500", Faults(error_probability=0.5)),
        ("refusing", Faults(refuse=True)),
        ("down", Faults(down=True)),
        ("frozen", Faults(freeze=True)),
    )
    def test_replica_faults(self, name: str, faults: Faults) -> None:
        """While the replica is at fault no wrong answer is recorded; afterwards all is done."""
        engine = self.start_engine()
        store = MemoryJobStore(model_items(ITEMS, TOKENS))
        limits = {"first_byte_timeout_s": 0.3, "token_gap_timeout_s": 0.3}
        self.start_node(store, engine, **limits)
        wait_until(lambda: len(store.results) >= 4)
        engine.switches.replace(faults)
        time_at_fault(engine, faults)
        engine.switches.replace(Faults())
        wait_until(lambda: len(store.results) == ITEMS)
        self.assert_all_whole(store)
        for completion in store.retries:
            self.assertTrue(completion.retryable)

    def test_replica_killed_and_started_anew(self) -> None:
        engine = self.start_engine()
        store = MemoryJobStore(model_items(ITEMS, TOKENS))
        view = view_of("engine", engine.port)
        with Node(store, [view], configuration()):
            wait_until(lambda: len(store.results) >= 4)
            engine.stop()
            view.machine = view_of("engine", self.start_engine().port).machine
            wait_until(lambda: len(store.results) == ITEMS)
        self.assert_all_whole(store)

    @params(("killed", False), ("frozen past its lease, then completing", True))
    def test_worker_lost_with_items_in_flight(self, name: str, heals: bool) -> None:
        engines = [self.start_engine(), self.start_engine()]
        store = MemoryJobStore(model_items(ITEMS, TOKENS), lease_s=0.6)
        first = CutStore(store)
        node = self.start_node(first, engines[0], lease_s=0.6)
        wait_until(lambda: batch_running(engines[0]) > 0)
        first.cut = True
        if not heals:
            self.kill(node)
        second = Node(store, [view_of("engine-2", engines[1].port)], configuration(), "node-2")
        with second:
            wait_until(lambda: len(store.results) == ITEMS)
            first.cut = False
            if heals:
                wait_until(lambda: store.late)
        self.assert_all_whole(store)

    def kill(self, node: Node) -> None:
        """End a node whose store is cut off, as a kill would."""
        threading.Thread(target=node.schedulers.stop, daemon=True).start()

    def test_lapsed_lease_still_reports_a_late_result(self) -> None:
        engine = self.start_engine()
        store = MemoryJobStore(model_items(4, 150), lease_s=0.1)
        own = CutStore(store)
        self.start_node(own, engine, lease_s=30.0)
        wait_until(lambda: batch_running(engine) == 4)
        own.cut = True
        wait_until(lambda: outcomes(engine).count("finished") == 4)
        self.assertEqual(store.results, {})
        own.cut = False
        wait_until(lambda: len(store.results) == 4)
        self.assert_all_whole(store, 150)

    def test_large_results_are_reported_in_parts(self) -> None:
        """A message to the store stays far below the longest line that peers accept."""
        store = MemoryJobStore(model_items(4))
        store.down = True
        book = LeaseBook("node", settings().batch, store, 1)
        self.addCleanup(book.stop, 1.0)
        large = msgspec.Raw(b'"' + b"x" * (MAX_REPORT_BYTES * 2 // 3) + b'"')
        for item in store.items:
            work = WorkItem(MODEL, LeasedItem(JOB_ID, "tenant", 1, item), 0.0)
            book.complete(work, 200, large)
        book.start()
        store.down = False
        wait_until(lambda: len(store.results) == 4)
        self.assertEqual(store.messages.count(CompleteItems), 4)

    def test_store_down_for_a_while(self) -> None:
        engine = self.start_engine()
        store = MemoryJobStore(model_items(ITEMS, TOKENS))
        self.start_node(store, engine)
        wait_until(lambda: len(store.results) >= 4)
        store.down = True
        wait_until(lambda: batch_running(engine) == 0)
        store.down = False
        wait_until(lambda: len(store.results) == ITEMS)
        self.assert_all_whole(store)
        self.assertEqual(store.late, [])


def time_at_fault(engine: Engine, faults: Faults) -> None:
    """Wait until the fault has hit several requests, or all streams are stuck."""
    if faults.freeze:
        wait_until(lambda: batch_running(engine) == 0)
        return
    wait_until(lambda: sum(engine.switches.injected().values()) >= 3)


if __name__ == "__main__":
    unittest.main()
