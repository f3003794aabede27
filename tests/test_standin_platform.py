"""Contract of the platform stand-in: objects, watches, lag, restore and faults."""

from __future__ import annotations

import json
import threading
import unittest
from collections.abc import Iterator

import urllib3
from nose2.tools import params

from quaymill_standins.object_store import ObjectStore, Refusal
from quaymill_standins.platform import Platform, PlatformSettings
from standin_support import StandinClient, read_raw, wait_until

ROOT = "/apis/quaymill.io/v1"
CONFIGURATIONS = f"{ROOT}/servingconfigurations"
SERVING = f"{CONFIGURATIONS}/serving"
MACHINES = f"{ROOT}/machines"
HISTORY_LIMIT = 20
MACHINE_LAG_S = 1.0
BOOKMARK_INTERVAL_S = 0.2


def configuration(generation: int, version: str = "") -> dict:
    metadata = {"name": "serving", "resourceVersion": version}
    return {"metadata": metadata, "spec": {"generation": generation}}


def machine(name: str) -> dict:
    return {"metadata": {"name": name}, "spec": {"name": name}}


class PlatformCase(unittest.TestCase):
    """One platform for a class of tests, brought back to empty before each."""

    @classmethod
    def setUpClass(cls) -> None:
        settings = PlatformSettings(
            machine_lag_s=MACHINE_LAG_S,
            history_limit=HISTORY_LIMIT,
            bookmark_interval_s=BOOKMARK_INTERVAL_S,
        )
        cls.platform = Platform(settings)
        cls.platform.start()
        cls.addClassCleanup(cls.platform.stop)
        cls.client = StandinClient(cls.platform.port)
        cls.addClassCleanup(cls.client.close)
        cls.client.request("POST", "/standin/snapshot", {"name": "empty"})

    def setUp(self) -> None:
        self.client.set_faults()
        self.client.request("POST", "/standin/restore", {"name": "empty"})
        wait_until(lambda: self.client.get("/standin/state")["open_watches"] == 0, "none is open")

    def create(self, path: str, content: dict) -> str:
        answer = self.client.request("POST", path, content)
        self.assertEqual(answer.status, 201, answer.data)
        return answer.json()["metadata"]["resourceVersion"]

    def put(self, generation: int, version: str) -> urllib3.BaseHTTPResponse:
        return self.client.request("PUT", SERVING, configuration(generation, version))

    def generations(self) -> list[int]:
        """Return the generations that really are in the store."""
        objects = self.client.get("/standin/state")["objects"]["servingconfigurations"]
        return [found["spec"]["generation"] for found in objects.values()]

    def watch(self, path: str, version: str, timeout_s: float = 10.0) -> Iterator[dict]:
        query = f"?watch=true&resourceVersion={version}&timeoutSeconds={timeout_s}"
        response = self.client.open("GET", path + query)
        self.addCleanup(response.close)
        self.assertEqual(response.status, 200)
        return _events(response)


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[dict]:
    rest = b""
    for piece in response.stream():
        *lines, rest = (rest + piece).split(b"\n")
        yield from map(json.loads, lines)


class ObjectTest(PlatformCase):
    """Create, read, replace and remove."""

    def test_life_of_an_object(self) -> None:
        version = self.create(CONFIGURATIONS, configuration(1))
        self.assertEqual(self.client.get(SERVING)["spec"], {"generation": 1})
        replaced = self.put(2, version).json()
        self.assertGreater(int(replaced["metadata"]["resourceVersion"]), int(version))
        listing = self.client.get(CONFIGURATIONS)
        self.assertEqual(listing["items"], [replaced])
        self.assertEqual(
            listing["metadata"]["resourceVersion"], replaced["metadata"]["resourceVersion"]
        )
        self.assertEqual(self.client.request("DELETE", SERVING).status, 200)
        self.assertEqual(self.client.request("GET", SERVING).status, 404)

    @params(
        ("POST", CONFIGURATIONS, configuration(2), 409, "AlreadyExists"),
        ("PUT", SERVING, configuration(2, "999"), 409, "Conflict"),
        ("PUT", SERVING, configuration(2), 409, "Conflict"),
        ("PUT", SERVING, {"metadata": {"name": "other"}}, 400, "BadRequest"),
        ("PUT", f"{CONFIGURATIONS}/none", {"metadata": {"name": "none"}}, 404, "NotFound"),
        ("DELETE", f"{CONFIGURATIONS}/none", None, 404, "NotFound"),
        ("POST", CONFIGURATIONS, {"spec": {}}, 422, "Invalid"),
        ("POST", CONFIGURATIONS, b"[", 400, "BadRequest"),
        ("GET", f"{ROOT}/pods", None, 404, "NotFound"),
        ("GET", f"{CONFIGURATIONS}?watch=true&resourceVersion=x", None, 400, "BadRequest"),
        ("PATCH", SERVING, configuration(2), 405, "MethodNotAllowed"),
    )
    def test_refusals(self, method: str, path: str, body: object, status: int, reason: str) -> None:
        self.create(CONFIGURATIONS, configuration(1))
        answer = self.client.request(method, path, body)
        self.assertEqual((answer.status, answer.json()["reason"]), (status, reason))
        self.assertEqual(answer.json()["code"], status)
        self.assertEqual(self.generations(), [1])

    def test_of_many_writers_with_one_version_one_wins(self) -> None:
        version = self.create(CONFIGURATIONS, configuration(0))
        statuses: list[int] = []
        writers = [
            threading.Thread(target=lambda n=n: statuses.append(self.put(n, version).status))
            for n in range(1, 9)
        ]
        for writer in writers:
            writer.start()
        for writer in writers:
            writer.join()
        self.assertEqual(sorted(statuses), [200] + [409] * 7)


class WatchTest(PlatformCase):
    """Watches, their versions and their end."""

    def test_changes_come_in_order_and_only_of_the_kind(self) -> None:
        version = self.create(CONFIGURATIONS, configuration(1))
        events = self.watch(CONFIGURATIONS, version)
        self.create(f"{ROOT}/storegroups", {"metadata": {"name": "group-0"}})
        latest = self.put(2, version).json()["metadata"]["resourceVersion"]
        self.client.request("DELETE", SERVING)
        changes = [event for event in _take_changes(events, 2)]
        self.assertEqual([change["type"] for change in changes], ["MODIFIED", "DELETED"])
        self.assertEqual(changes[0]["object"]["metadata"]["resourceVersion"], latest)

    def test_watch_without_version_tells_what_exists_first(self) -> None:
        self.create(CONFIGURATIONS, configuration(1))
        events = self.watch(CONFIGURATIONS, "0")
        self.assertEqual(next(events)["type"], "ADDED")

    def test_quiet_watch_sends_bookmarks_and_ends_in_time(self) -> None:
        version = self.create(CONFIGURATIONS, configuration(1))
        events = list(self.watch(CONFIGURATIONS, version, timeout_s=3 * BOOKMARK_INTERVAL_S))
        self.assertEqual({event["type"] for event in events}, {"BOOKMARK"})
        self.assertEqual(events[0]["object"]["metadata"]["resourceVersion"], version)

    @params("history", "forgotten", "future", "restored")
    def test_versions_that_are_gone(self, cause: str) -> None:
        version = self.create(CONFIGURATIONS, configuration(0))
        self.client.request("POST", "/standin/snapshot")
        latest = version
        for generation in range(1, HISTORY_LIMIT + 2 if cause == "history" else 2):
            latest = self.put(generation, latest).json()["metadata"]["resourceVersion"]
        if cause == "forgotten":
            self.client.request("POST", "/standin/forget-history")
        if cause == "restored":
            self.client.request("POST", "/standin/restore")
            version = latest
        if cause == "future":
            version = str(int(latest) + 1)
        path = f"{CONFIGURATIONS}?watch=true&resourceVersion={version}&timeoutSeconds=1"
        answer = self.client.request("GET", path)
        self.assertEqual((answer.status, answer.json()["reason"]), (410, "Expired"))

    def test_restore_brings_the_old_copy_back_and_ends_watches(self) -> None:
        version = self.create(CONFIGURATIONS, configuration(1))
        self.client.request("POST", "/standin/snapshot", {"name": "old"})
        latest = self.put(2, version).json()["metadata"]["resourceVersion"]
        events = self.watch(CONFIGURATIONS, latest)
        answer = self.client.request("POST", "/standin/restore", {"name": "old"})
        self.assertEqual(answer.json()["resourceVersion"], version)
        last = [event for event in events if event["type"] != "BOOKMARK"][-1]
        self.assertEqual((last["type"], last["object"]["code"]), ("ERROR", 410))
        self.assertEqual(self.client.get(SERVING)["spec"], {"generation": 1})
        self.assertEqual(self.client.request("POST", "/standin/restore", {"name": "?"}).status, 404)

    def test_a_watch_from_before_a_restore_never_sees_the_new_history(self) -> None:
        store = ObjectStore(HISTORY_LIMIT, lags_s={})
        epoch = store.epoch()
        saved = store.snapshot()
        for _ in range(2):
            store.restore(saved)
            store.create("servingconfigurations", configuration(1))
        seen = store.changes_after("servingconfigurations", 0, epoch, timeout_s=0.0)
        self.assertIsInstance(seen, Refusal)
        self.assertEqual(seen.code, 410)

    def test_a_watcher_that_leaves_is_noticed(self) -> None:
        response = self.client.open("GET", f"{CONFIGURATIONS}?watch=true")
        wait_until(lambda: self.client.get("/standin/state")["open_watches"] == 1, "it is open")
        response.close()
        wait_until(lambda: self.client.get("/standin/state")["open_watches"] == 0, "it is closed")


class MachineLagTest(PlatformCase):
    """Reads of machines are late; those of other kinds are not."""

    def test_list_get_and_watch_are_late(self) -> None:
        events = self.watch(MACHINES, "0")
        self.create(CONFIGURATIONS, configuration(1))
        self.create(MACHINES, machine("engine-1"))
        self.assertEqual(self.client.get(MACHINES)["items"], [])
        self.assertEqual(self.client.request("GET", f"{MACHINES}/engine-1").status, 404)
        self.assertEqual(len(self.client.get(CONFIGURATIONS)["items"]), 1)
        wait_until(lambda: self.client.get(MACHINES)["items"], "the list shows it")
        self.assertEqual(_take_changes(events, 1)[0]["object"]["spec"]["name"], "engine-1")

    def test_list_and_watch_join_without_a_gap(self) -> None:
        self.create(MACHINES, machine("engine-1"))
        listed_version = self.client.get(MACHINES)["metadata"]["resourceVersion"]
        events = self.watch(MACHINES, listed_version or "0")
        self.create(MACHINES, machine("engine-2"))
        names = [change["object"]["spec"]["name"] for change in _take_changes(events, 2)]
        self.assertEqual(names, ["engine-1", "engine-2"])


class FaultTest(PlatformCase):
    """Each row: switches, status of a PUT or none, whether it took effect."""

    @params(
        ("refuse", {"refuse": True}, 503, False),
        ("error", {"error_probability": 1}, 500, False),
        ("drop", {"drop_probability": 1}, None, False),
        ("down", {"down": True}, None, False),
        ("lose_answer", {"lose_answer_probability": 1}, None, True),
        ("truncate", {"truncate_probability": 1}, None, True),
        ("delay", {"delay_s": 0.1}, 200, True),
    )
    def test_replace(self, name: str, faults: dict, status: int | None, effect: bool) -> None:
        version = self.create(CONFIGURATIONS, configuration(1))
        injected_before = self.client.injected().get(name, 0)
        self.client.set_faults(**faults)
        try:
            answered = self.put(2, version).status
        except urllib3.exceptions.HTTPError:
            answered = None
        self.assertEqual(answered, status)
        self.assertEqual(self.client.injected()[name], injected_before + 1)
        self.assertEqual(self.generations(), [2 if effect else 1])
        self.client.set_faults()
        self.assertEqual(self.put(3, version).status, 409 if effect else 200)

    def test_half_of_the_draws_hit_and_the_seed_decides_which(self) -> None:
        def outcomes(seed: int) -> list[int]:
            self.client.set_faults(error_probability=0.5, seed=seed)
            return [self.client.request("GET", CONFIGURATIONS).status for _ in range(40)]

        first = outcomes(1)
        self.assertEqual(first, outcomes(1))
        self.assertNotEqual(first, outcomes(2))
        self.assertEqual(set(first), {200, 500})

    def test_silent_watch_says_nothing_past_its_end_then_catches_up(self) -> None:
        version = self.create(CONFIGURATIONS, configuration(1))
        events = self.watch(CONFIGURATIONS, version)
        self.client.set_faults(watch_silent=True)
        version = self.put(2, version).json()["metadata"]["resourceVersion"]
        received: list[dict] = []
        reader = threading.Thread(target=lambda: received.extend(_take_changes(events, 1)))
        reader.start()
        reader.join(3 * BOOKMARK_INTERVAL_S)
        self.assertEqual(received, [])
        self.client.set_faults()
        reader.join()
        self.assertEqual(received[0]["object"]["metadata"]["resourceVersion"], version)

    def test_freeze_holds_requests_until_it_is_off(self) -> None:
        version = self.create(CONFIGURATIONS, configuration(1))
        self.client.set_faults(freeze=True)
        statuses: list[int] = []
        writer = threading.Thread(target=lambda: statuses.append(self.put(2, version).status))
        writer.start()
        wait_until(lambda: self.client.injected().get("freeze"), "the request is held")
        self.assertEqual((statuses, self.generations()), ([], [1]))
        self.client.set_faults()
        writer.join()
        self.assertEqual((statuses, self.generations()), ([200], [2]))

    def test_down_cuts_watches(self) -> None:
        events = self.watch(CONFIGURATIONS, "0")
        wait_until(lambda: self.client.get("/standin/state")["open_watches"] == 1, "it is open")
        self.client.set_faults(down=True)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            list(events)

    def test_truncated_watch_ends_inside_a_line(self) -> None:
        self.create(CONFIGURATIONS, configuration(1))
        self.client.set_faults(truncate_probability=1)
        path = f"{CONFIGURATIONS}?watch=true&resourceVersion=0"
        received = read_raw(self.platform.port, "GET", path, None, {})
        self.assertIn(b'{"type":"ADDED"', received)
        self.assertNotIn(b'"generation":1}}}', received)


def _take_changes(events: Iterator[dict], count: int) -> list[dict]:
    """Return the next ``count`` events that are not bookmarks."""
    taken = []
    while len(taken) < count:
        event = next(events)
        if event["type"] != "BOOKMARK":
            taken.append(event)
    return taken


if __name__ == "__main__":
    unittest.main()
