"""Why batch stands still: the reason in the status and the metrics."""

import unittest

from nose2.tools import params
from prometheus_client import CollectorRegistry, generate_latest

from batch_support import (
    MemoryJobStore,
    Node,
    SchedulerCase,
    configuration,
    model_items,
    view_of,
    wait_until,
)
from quaymill.process.batch.report import BatchCollector, status_rows
from quaymill_standins.faults import Faults


class BatchReportTest(SchedulerCase):
    """Each cause has its own words."""

    @params(
        ("nothing to do", {"items": 0}, "no item of model waits"),
        ("cell is 0", {"batch_limit": 0}, "the cell batch_limit is 0"),
        ("all slots reserved", {"reserve": 8}, "leave 0 of 8 slots"),
        ("no load report", {"faults": Faults(load_lies="none")}, "load report is missing"),
        ("replica refuses", {"faults": Faults(refuse=True)}, "backing off after a failure"),
        ("draining", {"draining": True}, "the replica is draining"),
        ("store down", {"down": True}, "log group 0 gives no leases"),
    )
    def test_reason(self, name: str, cause: dict, words: str) -> None:
        engine = self.start_engine()
        engine.switches.replace(cause.get("faults", Faults()))
        store = MemoryJobStore(model_items(cause.get("items", 50), 1000))
        store.down = cause.get("down", False)
        view = view_of("engine", engine.port)
        view.draining = cause.get("draining", False)
        holder = configuration(cause.get("batch_limit", 8), cause.get("reserve", 1))
        with Node(store, [view], holder) as node:
            wait_until(lambda: words in self.note(node), 5.0)

    def note(self, node: Node) -> str:
        notes = status_rows(node.schedulers.replicas()).notes
        return notes[0].text if notes else ""

    def test_metrics(self) -> None:
        engine = self.start_engine()
        store = MemoryJobStore(model_items(5, 10))
        registry = CollectorRegistry()
        with Node(store, [view_of("engine", engine.port)], configuration()) as node:
            registry.register(BatchCollector(node.schedulers.replicas, node.schedulers.leases_held))
            wait_until(lambda: len(store.results) == 5)
            text = generate_latest(registry).decode()
        labels = 'replica="engine",service="model"'
        self.assertIn(f'quaymill_batch_runs_total{{outcome="finished",{labels}}} 5.0', text)
        self.assertIn(f"quaymill_batch_allowed{{{labels}}}", text)


if __name__ == "__main__":
    unittest.main()
