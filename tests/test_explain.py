"""From the id of a failed request to its cause: the fault is injected, the lines name it."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from quaymill.process.commands import explain
from quaymill_bench.fleet_processes import LocalFleet, wait_until
from quaymill_bench.fleet_world import item_id
from quaymill_standins.fleet_replica import ReplicaBehaviour


def story_of(wanted: str, folder: Path) -> str:
    """Return what ``quaymill explain`` prints."""
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        explain.explain(wanted, *sorted(folder.glob("*.log")))
    return printed.getvalue()


class FailedRequestTest(unittest.TestCase):
    """Real processes; only their logs and the id are used."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = Path(tempfile.mkdtemp(prefix="quaymill-explain-"))
        cls.fleet = LocalFleet(cls.folder, gateways=2, storage=3, engines=2).start()
        cls.addClassCleanup(cls.fleet.stop)

    def setUp(self) -> None:
        for replica in self.fleet.replicas.values():
            replica.behaviour = ReplicaBehaviour()

    def behave(self, service: str, behaviour: ReplicaBehaviour) -> None:
        for replica in self.fleet.replicas.values():
            if replica.service == service:
                replica.behaviour = behaviour

    def wait_for_story(self, wanted: str, *texts: str) -> str:
        def story() -> str:
            told = story_of(wanted, self.folder)
            return told if all(text in told for text in texts) else ""

        try:
            return wait_until(story, f"the logs tell {texts} of {wanted}", 10.0)
        except TimeoutError as error:
            raise AssertionError(f"{error}: {story_of(wanted, self.folder)}") from error

    def test_refused_although_replicas_are_free(self) -> None:
        self.behave("application", ReplicaBehaviour(shed=True))
        gateway = self.fleet.gateways[0]
        answer = self.fleet.call(gateway, "POST", "/write/x", b"", {"Request-Id": "shed-1"})
        self.assertEqual(503, answer.status)
        self.wait_for_story(
            "shed-1",
            "request:attempt",
            "outcome=Refused",
            "the replica answered 503 and did not run the request",
            "request:refused",
            "status=503",
        )

    def test_stream_cut_midway(self) -> None:
        self.behave("engine", ReplicaBehaviour(cut_at_event=2))
        gateway = self.fleet.gateways[0]
        headers = {"Request-Id": "cut-1", "Token-Count": "50,10"}
        with contextlib.suppress(Exception):
            self.fleet.call(gateway, "POST", "/stream/x", b"", headers)
        story = self.wait_for_story("cut-1", "outcome=Broken", "request:ended", "outcome=unknown")
        self.assertIn("replica=engine-", story)

    def test_batch_item_that_ended_as_dead(self) -> None:
        self.behave("engine", ReplicaBehaviour(status_by_suffix={"ok": 500}))
        self.assertEqual(202, self.fleet.submit(self.fleet.gateways[0], "dead-job", 2).status)
        story = self.wait_for_story(
            item_id("dead-job", 1), "outcome=ItemFailed", "job:accepted", "job:over"
        )
        self.assertEqual(3, story.count("outcome=ItemFailed"))
        self.assertIn("the replica answered 500", story)

    def test_late_item_whose_coordinator_died(self) -> None:
        self.behave("engine", ReplicaBehaviour(events=20, event_s=0.2))
        gateway = self.fleet.gateways[1]
        self.assertEqual(202, self.fleet.submit(gateway, "late-job", 2).status)
        gateway.kill()
        self.behave("engine", ReplicaBehaviour())
        self.wait_for_story("late-job", "job:given_away", "job:adopted", "job:over")
        gateway.start()
        self.fleet.wait_ready()

    def test_unknown_id_is_said_to_be_unknown(self) -> None:
        self.assertIn("nothing is logged of no-such-id", story_of("no-such-id", self.folder))


class ClockTest(unittest.TestCase):
    """Machines whose clocks differ."""

    def test_effect_before_its_cause_moves_the_clock(self) -> None:
        folder = Path(tempfile.mkdtemp(prefix="quaymill-clock-"))
        lines = (
            ("storage", 105.0, "job:stored"),
            ("gateway", 100.1, "job:accepted"),
            ("gateway", 101.0, "job:over"),
        )
        for node, time_s, kind in lines:
            fields = {"node": node, "timestamp": time_s, "message_type": kind, "job": "j"}
            with (folder / f"{node}.log").open("a") as log:
                log.write(json.dumps(fields) + "\n")
        told = story_of("j", folder).splitlines()
        self.assertEqual(
            ["job:stored", "job:accepted", "job:over"], [line.split()[3] for line in told[:3]]
        )
        self.assertIn("clock of gateway moved by +4.901 s", told[3])
