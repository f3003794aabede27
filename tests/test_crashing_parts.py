"""A prompt part that crashes each replica that answers it is blocked at all gateways.

Guards against requests that are all different and share such a part, and against sound requests
that are refused since they share other parts with them or ran beside them.
"""

from __future__ import annotations

import base64
import json
import threading
import time
import unittest
from unittest import mock

import urllib3

from fleet_rig import wait_until
from quaymill import boot_clock
from quaymill.request.forwarded_request import content_digest_of
from quaymill.request.poison import MAX_CRASHES, RequestIdentity
from quaymill_bench.fleet_world import HOST, job_body, prompt_headers
from quaymill_standins.fleet_replica import FleetReplica, ReplicaBehaviour, ReplicaRun
from test_crashing_requests import CrashRig

CRASHES_ALLOWED = 5
"""Replicas that requests with a part may crash before the part is blocked."""
RETRIES_ALLOWED = 3
CRASH_KNOWN_AFTER_S = 3.0
"""Time within which all gateways must know of the crashes."""
COMMON, BAD, OTHER = "aa", "bad0", "cc"
"""Parts of prompts: one that all have, one that crashes replicas, and a sound one in its place."""
REQUESTS = 10
ENGINES = 6


class PartRig(CrashRig):
    """A fleet with engines that crash at a part of a prompt."""

    BEHAVIOUR = ReplicaBehaviour(crash_part=BAD, event_s=0.03)

    def add_replica(self, service: str, zone: str, slots: int = 8):
        replica = super().add_replica(service, zone, slots)
        replica.behaviour = self.BEHAVIOUR
        return replica

    def crashing_runs(self) -> list[ReplicaRun]:
        runs = [run for replica in list(self.replicas.values()) for run in replica.runs]
        return sorted((run for run in runs if run.crashed), key=lambda run: run.started_s)

    def late_runs(self) -> list[ReplicaRun]:
        runs = self.crashing_runs()
        if len(runs) < CRASHES_ALLOWED:
            return []
        known_at = runs[CRASHES_ALLOWED - 1].started_s + CRASH_KNOWN_AFTER_S
        return [run for run in runs if run.started_s > known_at]


class PartCase(unittest.TestCase):
    """A new fleet for each test; sound requests come all the time."""

    STORAGE = 0

    def setUp(self) -> None:
        self.rig = PartRig(3, self.STORAGE, ENGINES).start()
        self.addCleanup(self.rig.stop)
        self._stop_load = threading.Event()
        self.addCleanup(self._stop_load.set)
        self.sound: list[tuple[float, int]] = []
        self.sent = 0

    def send(self, *parts: str, gateway: str = "", path: str = "/stream/x") -> int:
        """Send a request that no other one is like; return the status."""
        self.sent += 1
        number = self.sent
        headers = prompt_headers(*parts, f"last-{number}")
        answer = self.rig.ask(
            gateway or f"gateway-{number % 3}",
            path,
            f"request-{number}",
            f"body {number}".encode(),
            tokens=True,
            headers=headers,
        )
        return answer.status

    def send_bad(self, gateway: str = "", path: str = "/stream/x") -> int:
        wait_until(
            lambda: self.rig.count_running("engine") >= ENGINES - 1, "crashed engines are replaced"
        )
        return self.send(COMMON, BAD, gateway=gateway, path=path)

    def serving_engine(self) -> FleetReplica:
        """Return an engine that has not crashed; wait for one if there is none."""

        def serving() -> list[FleetReplica]:
            return [one for one in self.rig.of_service("engine") if not one.crashed]

        return wait_until(serving, "an engine serves")[0]

    def start_sound_load(self) -> None:
        """Send sound requests that share the first part with the bad ones, one after another."""

        def load() -> None:
            while not self._stop_load.wait(0.02):
                at = time.monotonic()
                try:
                    status = self.send(COMMON, OTHER)
                except urllib3.exceptions.HTTPError:  # The stream was cut by a crash.
                    status = 0
                self.sound.append((at, status))

        for _ in range(3):
            threading.Thread(target=load, daemon=True).start()
        wait_until(lambda: len(self.sound) > 10, "sound requests are answered")

    def send_until_known(self, path: str = "/stream/x") -> None:
        """Send bad requests until five replicas have crashed, and wait until this is known."""
        for _ in range(3 * REQUESTS):
            if len(self.rig.crashing_runs()) >= CRASHES_ALLOWED:
                break
            if self.send_bad(path=path) == 503:
                break
        time.sleep(CRASH_KNOWN_AFTER_S)


class PartTest(PartCase):
    """Requests with a bad part that come at any gateway, no two of them alike."""

    def test_requests_with_the_part_are_run_no_more(self) -> None:
        self.start_sound_load()
        self.send_until_known()
        for _ in range(REQUESTS):
            self.send_bad()
        self.assertLessEqual(len(self.rig.late_runs()), RETRIES_ALLOWED)
        self.assertLessEqual(len(self.rig.crashing_runs()), CRASHES_ALLOWED + RETRIES_ALLOWED)

    def test_repeatable_requests_with_the_part_are_run_no_more(self) -> None:
        self.start_sound_load()
        self.send_until_known("/resumable/x")
        for _ in range(REQUESTS):
            self.send_bad(path="/resumable/x")
        self.assertLessEqual(len(self.rig.late_runs()), RETRIES_ALLOWED)

    def test_refused_at_once_and_told_when_to_return(self) -> None:
        self.start_sound_load()
        self.send_until_known()
        for name in self.rig.gateways:
            began = time.monotonic()
            answer = self.rig.ask(
                name,
                "/stream/x",
                f"late-{name}",
                tokens=True,
                headers=prompt_headers(COMMON, BAD, f"late-{name}"),
            )
            self.assertEqual(503, answer.status)
            self.assertIn("Retry-After", answer.headers)
            self.assertLess(time.monotonic() - began, 0.5)

    def test_requests_that_share_the_other_parts_are_served(self) -> None:
        self.start_sound_load()
        self.send_until_known()
        since = time.monotonic()
        for _ in range(REQUESTS):
            self.send_bad()
        wait_until(lambda: sum(at > since for at, _ in self.sound) > 40, "more sound requests")
        statuses = [status for at, status in self.sound if at > since]
        # Streams beside the allowed runs may be cut.
        self.assertGreater(statuses.count(200) / len(statuses), 0.9)

    def test_gateway_that_starts_later_blocks_the_part(self) -> None:
        self.start_sound_load()
        self.send_until_known()
        self.rig.start_gateway("gateway-new", "zone-a")
        self.rig.wait_ready()
        time.sleep(CRASH_KNOWN_AFTER_S)
        before = len(self.rig.crashing_runs())
        for _ in range(REQUESTS):
            self.send_bad("gateway-new")
        self.assertLessEqual(len(self.rig.crashing_runs()) - before, RETRIES_ALLOWED)

    def test_crashes_for_other_reasons_bar_nobody(self) -> None:
        """All requests share parts with those that run at each replica that crashes."""
        self.start_sound_load()
        for _ in range(3 * CRASHES_ALLOWED):
            self.serving_engine().crash()
            time.sleep(0.1)
        wait_until(lambda: self.rig.count_running("engine") >= ENGINES, "engines are replaced")
        time.sleep(CRASH_KNOWN_AFTER_S)
        for name in self.rig.gateways:
            for _ in range(REQUESTS):
                self.assertEqual(200, self.send(COMMON, OTHER, gateway=name))

    def test_parts_are_judged_when_all_replicas_crashed_before_anything_was_served(self) -> None:
        """Guards against a first part that is blocked for good, as nobody may show it is sound."""
        for _ in range(ENGINES):
            self.send(COMMON, BAD)
        wait_until(lambda: self.rig.count_running("engine") >= ENGINES, "engines are replaced")
        time.sleep(CRASH_KNOWN_AFTER_S)
        statuses = [self.send(COMMON, OTHER) for _ in range(REQUESTS)]
        self.assertEqual([200] * REQUESTS, statuses)


class PartOfItemsTest(PartCase):
    """Items of a job with a content or a part that is refused to callers."""

    STORAGE = 3
    DONE_WITHIN_S = 5.0

    def submit(self, job_id: str, part: str, items: int) -> None:
        document = json.loads(job_body(job_id, items))
        for index, item in enumerate(document["items"]):
            item["headers"] |= prompt_headers(COMMON, part, f"{job_id}-{index}")
        answer = self.rig.call(
            "gateway-0", "POST", "/jobs/x", json.dumps(document).encode(), {"Request-Id": job_id}
        )
        self.assertEqual(202, answer.status)

    def check_done(self, job_id: str, items: int) -> None:
        began = time.monotonic()
        self.rig.wait_results("gateway-1", job_id, items)
        self.assertLess(time.monotonic() - began, self.DONE_WITHIN_S)

    def test_items_with_a_barred_part_are_done(self) -> None:
        self.start_sound_load()
        self.send_until_known()
        self.assertEqual(503, self.send_bad())
        for replica in list(self.rig.replicas.values()):
            replica.behaviour = ReplicaBehaviour()
        with mock.patch.object(PartRig, "BEHAVIOUR", ReplicaBehaviour()):
            self.submit("job", BAD, 12)
            self.check_done("job", 12)

    def test_item_with_a_barred_content_is_done(self) -> None:
        """The content stays barred for callers until a replica has served it."""
        item = json.loads(job_body("job", 1))["items"][0]
        content = content_digest_of(HOST, "POST", item["path"], base64.b64decode(item["body"]))
        for gateway in self.rig.gateways.values():
            for number in range(MAX_CRASHES):
                gateway._poison_records.add(content, f"replica-{number}", boot_clock.now())
            self.assertGreater(gateway._guard.barred_for_s(RequestIdentity(content)), 0)
        self.assertEqual(202, self.rig.submit("gateway-0", "job", 1).status)
        self.check_done("job", 1)

    def test_crashes_under_items_with_a_part_bar_it_for_nobody(self) -> None:
        """All items share a part, and other requests of the model are served without it."""
        self.start_sound_load()
        self.submit("job", "dd", 12)
        for _ in range(2 * CRASHES_ALLOWED):
            self.serving_engine().crash()
            time.sleep(0.1)
        wait_until(lambda: self.rig.count_running("engine") >= ENGINES, "engines are replaced")
        self.check_done("job", 12)
        time.sleep(CRASH_KNOWN_AFTER_S)
        for name in self.rig.gateways:
            self.assertEqual(200, self.send(COMMON, "dd", gateway=name))


if __name__ == "__main__":
    unittest.main()
