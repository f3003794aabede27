"""End-to-end tests of requests, streams and batch jobs on a small fleet."""

from __future__ import annotations

import json
import threading

from fleet_case import FleetCase
from fleet_rig import wait_until
from quaymill.process.gateway_node import GatewayFeatures
from quaymill_bench.fleet_world import (
    HOST,
    ROUTES,
    configuration,
    item_id,
    job_body,
    route,
    whole_text,
)
from quaymill_standins.fleet_replica import ReplicaBehaviour, event_bytes


class RequestTest(FleetCase):
    """Opaque requests and their responses pass unchanged and within their time limits."""

    def test_request_reaches_a_replica_unchanged(self) -> None:
        answer = self.rig.ask(
            "gateway-0",
            "/read/some%20path?q=1&q=2",
            "r-1",
            b"bytes\x00",
            headers={"X-Own": "kept", "Connection": "keep-alive, X-Hop", "X-Hop": "dropped"},
        )
        self.assertEqual(200, answer.status)
        self.assertEqual(b"answer to r-1", answer.data)
        self.assertTrue(answer.headers["Response-Seal"].startswith("seal-application"))
        (run,) = self.runs("r-1")
        self.assertEqual(("POST", b"bytes\x00"), (run.method, run.body))
        self.assertEqual(HOST, run.headers["host"])
        self.assertEqual("kept", run.headers["x-own"])
        self.assertNotIn("x-hop", run.headers)
        self.assertLessEqual(int(run.headers["deadline-ms"]), 8000)

    def test_events_are_relayed_in_order(self) -> None:
        answer = self.rig.ask("gateway-1", "/stream/x", "r-2", tokens=True)
        self.assertEqual(b"".join(event_bytes("r-2", n) for n in (1, 2, 3)), answer.data)

    def test_longest_prefix_wins_and_unknown_paths_are_404(self) -> None:
        for path, status in (("/read/x", 200), ("/reading/x", 404), ("/other/", 404)):
            with self.subTest(path):
                self.assertEqual(status, self.rig.ask("gateway-0", path, "r-3").status)

    def test_route_timeout_limits_the_total_time(self) -> None:
        short = route("short", "/short/", "idempotent", service="application", timeout_ms=300)
        self.rig.store.put("config", "main", configuration(50, (*ROUTES, short)))
        wait_until(
            lambda: self.rig.ask("gateway-0", "/short/x", "r-4").status == 200, "the new route"
        )
        for replica in self.rig.of_service("application"):
            replica.behaviour = ReplicaBehaviour(answer_s=5.0)
        self.assertEqual(504, self.rig.ask("gateway-0", "/short/x", "r-5").status)
        wait_until(lambda: all(run.cancelled for run in self.runs("r-5")), "the run is cancelled")


class BufferedAnswersTest(RequestTest):
    """The same tests with buffered answers for callers that read slowly."""

    features = GatewayFeatures(callers_may_read_slowly=True)


class MalformedTest(FleetCase):
    """Malformed requests get a 4xx response with a reason."""

    def test_bad_input_is_refused_with_a_reason(self) -> None:
        cases = (
            ("/jobs/x", b"{", {"Request-Id": "j"}, 400),
            ("/jobs/x", b'{"items":[{"id":"a"}]}', {"Request-Id": "j"}, 400),
            ("/jobs/x", job_body("j", 201), {"Request-Id": "j"}, 400),
            ("/jobs/x", job_body("j", 1), {}, 400),
            ("/read/x", b"", {"Request-Id": "r", "Deadline-Ms": "soon"}, 400),
            ("/read/x", b"", {"Request-Id": "r" * 300}, 400),
            ("/read/x", b"", {"Request-Id": "r", "Resumes": "s" * 300}, 400),
            ("/read/x", b"x" * (4 * 1024 * 1024 + 1), {"Request-Id": "r"}, 413),
        )
        for path, body, headers, status in cases:
            with self.subTest(path=path, body=body[:20], headers=str(headers)[:40]):
                answer = self.rig.call("gateway-0", "POST", path, body, headers)
                self.assertEqual(status, answer.status)
                self.assertTrue(answer.data.strip())
        self.assertEqual([], self.runs("r"))

    def test_positions_must_be_numbers(self) -> None:
        self.assertEqual(400, self.rig.get("gateway-0", "/v1/lots/j?since_rev=x").status)


class JobTest(FleetCase):
    """Batch jobs give the same results at every gateway, and each item runs once."""

    def test_results_are_identical_at_every_gateway(self) -> None:
        self.assertEqual(202, self.rig.submit("gateway-0", "job-a", 5).status)
        first = self.rig.wait_results("gateway-0", "job-a", 5)
        self.assertEqual(first, self.rig.wait_results("gateway-1", "job-a", 5))
        by_id = {result["id"]: result for result in first}
        for index in range(5):
            result = by_id[item_id("job-a", index)]
            self.assertEqual("succeeded", result["state"])
            self.assertEqual(whole_text(result["id"]), result["message"])
        page = json.loads(self.rig.read_results("gateway-1", "job-a", since=3).data)
        self.assertEqual((5, 5), (page["total"], page["next_token"]))
        self.assertEqual(first[3:], page["results"])

    def test_same_job_submitted_again_runs_once(self) -> None:
        for gateway in ("gateway-0", "gateway-1", "gateway-0"):
            self.assertEqual(202, self.rig.submit(gateway, "job-b", 2).status)
        self.rig.wait_results("gateway-1", "job-b", 2)
        for index in range(2):
            self.assertEqual(1, len(self.runs(item_id("job-b", index))))

    def test_bodies_are_read_at_any_gateway(self) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.5)
        self.rig.submit("gateway-0", "job-c", 2)
        for gateway in ("gateway-0", "gateway-1"):
            answer = self.rig.get(gateway, f"/v1/items/job-c?id={item_id('job-c', 1)}")
            self.assertEqual((200, b"body 1"), (answer.status, answer.data))
        self.assertEqual(404, self.rig.get("gateway-1", "/v1/items/job-c?id=none").status)

    def test_impossible_and_failing_items_end_as_dead(self) -> None:
        for suffix, status, runs in (("impossible", 422, 1), ("failing", 500, 3)):
            with self.subTest(suffix):
                for replica in self.rig.of_service("engine"):
                    replica.behaviour = ReplicaBehaviour(status_by_suffix={suffix: status})
                self.rig.submit("gateway-0", f"job-{suffix}", 1, suffix)
                (result,) = self.rig.wait_results("gateway-1", f"job-{suffix}", 1)
                self.assertEqual("dead_letter", result["state"])
                self.assertEqual(runs, len(self.runs(result["id"])))

    def test_ended_job_starts_no_more_items(self) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.3)
        self.rig.submit("gateway-0", "job-d", 30)
        wait_until(lambda: self.runs(item_id("job-d", 0)), "an item runs")
        for gateway in ("gateway-1", "gateway-0"):
            answer = self.rig.call(gateway, "DELETE", "/v1/lots/job-d")
            self.assertEqual(200, answer.status)
        wait_until(
            lambda: not any(replica.running for replica in self.rig.of_service("engine")),
            "nothing runs",
        )
        runs = sum(len(replica.runs) for replica in self.rig.of_service("engine"))
        self.rig.submit("gateway-1", "job-d", 30)
        self.assertEqual(200, self.rig.read_results("gateway-1", "job-d", wait_ms=300).status)
        after = sum(len(replica.runs) for replica in self.rig.of_service("engine"))
        self.assertEqual(runs, after)

    def test_unknown_job_is_404(self) -> None:
        # Shortly after its start a gateway answers 503, as it may not know all storage nodes.
        self.rig.gateways["gateway-0"].jobs._lookup._started_at -= 60.0
        self.assertEqual(404, self.rig.read_results("gateway-0", "none").status)
        self.assertEqual(404, self.rig.call("gateway-0", "DELETE", "/v1/lots/none").status)

    def test_waiting_read_returns_with_the_first_result(self) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.15)
        self.rig.submit("gateway-0", "job-e", 1)
        answer = self.rig.read_results("gateway-1", "job-e", wait_ms=1000)
        self.assertEqual(1, len(json.loads(answer.data)["results"]))


class BatchCapacityTest(FleetCase):
    """Batch items leave capacity to online requests."""

    def test_batch_leaves_a_slot_for_online_requests(self) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.2, events=10)
        self.rig.submit("gateway-0", "job-f", 30)
        wait_until(lambda: self.runs(item_id("job-f", 0)), "an item runs")
        most = 0
        done = threading.Event()

        def watch() -> None:
            nonlocal most
            while not done.wait(0.01):
                most = max(most, *(one.running for one in self.rig.of_service("engine")))

        watcher = threading.Thread(target=watch)
        watcher.start()
        self.rig.read_results("gateway-0", "job-f", wait_ms=1000)
        done.set()
        watcher.join()
        self.rig.call("gateway-0", "DELETE", "/v1/lots/job-f")
        self.assertGreater(most, 0)
        self.assertLessEqual(most, replica.slots - 1)

    def test_items_are_preempted_for_online_requests_above_the_slots(self) -> None:
        engines = self.rig.of_service("engine")
        for replica in engines:
            replica.behaviour = ReplicaBehaviour(event_s=0.3, events=60)
        self.rig.submit("gateway-0", "job-h", 30)
        full = len(engines) * (engines[0].slots - 1)
        wait_until(lambda: sum(one.running for one in engines) >= full, "engines full of items")
        for replica in engines:
            replica.behaviour = ReplicaBehaviour(event_s=0.1, events=20)
        # The stand-in accepts more requests than it has slots; the excess must be preempted.
        threads = [
            threading.Thread(
                target=self.rig.ask,
                args=("gateway-1", "/stream/x", f"online-{index}"),
                kwargs={"tokens": True},
            )
            for index in range(full)
        ]
        for thread in threads:
            thread.start()
        wait_until(
            lambda: any(run.cancelled for one in engines for run in one.runs),
            "an item is preempted",
        )
        self.rig.call("gateway-0", "DELETE", "/v1/lots/job-h")
        for thread in threads:
            thread.join()

    def test_items_are_preempted_when_requests_wait(self) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.3, events=20)
        self.rig.submit("gateway-0", "job-g", 4)
        engines = self.rig.of_service("engine")
        wait_until(
            lambda: all(any(run.events_made for run in engine.runs) for engine in engines),
            "events of running items",
        )
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.3, events=20, waiting=6)
        wait_until(
            lambda: any(run.cancelled for r in self.rig.of_service("engine") for run in r.runs),
            "an item is preempted",
        )
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(event_s=0.01, events=20)
        results = self.rig.wait_results("gateway-1", "job-g", 4)
        for result in results:
            self.assertEqual(whole_text(result["id"], 20), result["message"])
        resumed = [run for r in self.rig.of_service("engine") for run in r.runs if run.after_event]
        self.assertTrue(resumed)
