"""Batch items of applications: repeatable ones, and those that run at most once."""

import json
import unittest

import urllib3
from nose2.tools import params

from batch_support import (
    APPLICATION,
    JOB_ID,
    MemoryJobStore,
    Node,
    application_items,
    configuration,
    view_of,
    wait_until,
)
from quaymill.connection.call_record_messages import (
    BeginCall,
    CallRecord,
    CallState,
    FinishCall,
    StoredAnswer,
)
from quaymill.connection.job_messages import CompleteItems
from quaymill.connection.member import MachineRole
from quaymill_standins.application import Application, ApplicationSettings
from quaymill_standins.faults import Faults

ITEMS = 12
UNKNOWN = "outcome_unknown"


class ApplicationItemTest(unittest.TestCase):
    """Items at one application, whose journal shows every run."""

    def setUp(self) -> None:
        self.application = Application(
            ApplicationSettings(service=APPLICATION, run_ms=20.0, load_lag_s=0.05)
        )
        self.application.start()
        self.addCleanup(self.application.stop)
        self.store = MemoryJobStore(application_items(ITEMS))

    def run_all(self, idempotent: bool, until_items: int = ITEMS, **batch) -> None:
        view = view_of("application", self.application.port, MachineRole.APPLICATION)
        node = Node(self.store, [view], configuration(idempotent=idempotent), **batch)
        with node:
            wait_until(lambda: len(self.store.results) >= until_items)

    def runs_by_key(self) -> dict[str, int]:
        url = f"http://127.0.0.1:{self.application.port}/standin/journal"
        counts: dict[str, int] = {}
        for run in json.loads(urllib3.request("GET", url).data)["runs"]:
            counts[run["key"]] = counts.get(run["key"], 0) + 1
        return counts

    def error_codes(self) -> list[str]:
        failed = [done for done in self.store.results.values() if done.status != 200]
        return [json.loads(bytes(done.response))["error"]["code"] for done in failed]

    @params((True,), (False,))
    def test_each_item_runs_once(self, idempotent: bool) -> None:
        self.run_all(idempotent)
        expected = {f"{JOB_ID}/{index}": 1 for index in range(ITEMS)}
        self.assertEqual(self.runs_by_key(), expected)
        answers = [json.loads(bytes(done.response)) for done in self.store.results.values()]
        self.assertEqual(sorted(a["key"] for a in answers), sorted(expected))

    @params(
        ("answer lost after the effect", Faults(lose_answer_probability=0.5), True),
        ("answer truncated", Faults(truncate_probability=0.5), True),
        ("dropped before the effect", Faults(drop_probability=0.5), False),
        ("slow beyond the limit", Faults(delay_s=1.5, delay_probability=0.5), False),
    )
    def test_at_most_once(self, name: str, faults: Faults, ran: bool) -> None:
        """Without an answer the outcome is unknown: the item fails and never runs again."""
        self.application.switches.replace(faults)
        self.run_all(idempotent=False, application_timeout_s=0.5)
        wait_until(lambda: True)
        counts = self.runs_by_key()
        self.assertLessEqual(max(counts.values()), 1)
        codes = self.error_codes()
        self.assertGreaterEqual(len(codes), 1)
        self.assertEqual(set(codes), {UNKNOWN})
        if ran:
            self.assertEqual(len(counts), ITEMS)
        self.assertEqual(self.store.retries, [])

    def test_crossed_answer_is_unknown(self) -> None:
        self.application.switches.replace(Faults(cross_probability=0.5))
        self.run_all(idempotent=False)
        self.assertEqual(set(self.error_codes()), {UNKNOWN})
        for index, done in self.store.results.items():
            if done.status == 200:
                self.assertEqual(json.loads(bytes(done.response))["key"], f"{JOB_ID}/{index}")

    def test_refused_calls_run_later(self) -> None:
        """A refusal that says not-run frees the claim; the item runs once afterwards."""
        self.application.switches.replace(Faults(refuse=True))
        view = view_of("application", self.application.port, MachineRole.APPLICATION)
        with Node(self.store, [view], configuration(idempotent=False)):
            wait_until(lambda: self.application.switches.injected().get("refuse", 0) >= 2)
            self.application.switches.replace(Faults())
            wait_until(lambda: len(self.store.results) == ITEMS)
        self.assertEqual(set(self.runs_by_key().values()), {1})
        self.assertEqual(self.error_codes(), [])

    @params(
        ("by a node that died between begin and finish", CallState.BEGUN, 502),
        ("and finished by a node that died before it reported", CallState.FINISHED, 200),
    )
    def test_call_begun_before(self, name: str, state: CallState, status: int) -> None:
        answer = StoredAnswer(200, "application/json", b'{"run": 1}')
        finished = answer if state == CallState.FINISHED else None
        self.store.calls[f"{JOB_ID}/3"] = CallRecord(state, "other", "dead-node", finished)
        self.run_all(idempotent=False)
        self.assertNotIn(f"{JOB_ID}/3", self.runs_by_key())
        self.assertEqual(self.store.results[3].status, status)

    @params((BeginCall,), (FinishCall,), (CompleteItems,))
    def test_answer_of_the_store_lost(self, message: type) -> None:
        self.store.lose_answers.add(message)
        self.run_all(idempotent=False)
        self.assertEqual(set(self.runs_by_key().values()), {1})
        self.assertEqual(self.error_codes(), [])

    def test_repeatable_items_run_again_after_a_lost_answer(self) -> None:
        self.application.switches.replace(Faults(lose_answer_probability=0.3, seed=3))
        self.run_all(idempotent=True)
        self.assertEqual(self.error_codes(), [])
        self.assertEqual(len(self.runs_by_key()), ITEMS)

    def test_store_down_means_not_run(self) -> None:
        view = view_of("application", self.application.port, MachineRole.APPLICATION)
        node = Node(self.store, [view], configuration(batch_limit=2, idempotent=False))
        with node:
            wait_until(lambda: self.store.calls)
            self.store.down = True
            wait_until(lambda: self.store.down)
            self.store.down = False
            wait_until(lambda: len(self.store.results) == ITEMS)
        self.assertEqual(set(self.runs_by_key().values()), {1})


if __name__ == "__main__":
    unittest.main()
