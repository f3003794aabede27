"""A planned stop cuts no request; a replica that is leaving gets no new work."""

import http.client
import threading
import time
import unittest

import msgspec
from nose2.tools import params

from gateway_rig import MODEL, GatewayRig, begin, chat, send, streamed_text, wait_until
from quaymill.process.machine_list import MachineList
from quaymill.process.settings import GatewaySettings
from quaymill_bench.caller import Caller
from quaymill_bench.cluster import LocalCluster
from quaymill_bench.cluster_shape import TENANT_KEY, ClusterShape
from quaymill_standins.text import chat_prompt, expected_text

PATH = "/v1/chat/completions"
STREAMS = 50
TOKENS = 300
LEAVING_TIME_S = 3.0


def expected(model: str, prompt: str, tokens: int) -> str:
    return expected_text(model, chat_prompt([("user", prompt)]), tokens)


class GatewayDrainTest(unittest.TestCase):
    """The gateway's own part of a planned stop."""

    def setUp(self):
        self.rig = GatewayRig(gateway=GatewaySettings(threads=80, admission_limit=64))
        self.rig.add_engine(slots=64, step_ms=5.0)
        self.rig.start()
        self.addCleanup(self.rig.stop)

    def test_streams_end_whole_and_late_requests_are_served(self):
        replies: dict[int, bytes] = {}
        begun = threading.Semaphore(0)

        def stream(number: int) -> None:
            connection = self.rig.connect()
            response = begin(connection, "POST", PATH, chat(f"q{number}", TOKENS, stream=True))
            first = response.read1(1)
            begun.release()
            replies[number] = first + response.read()
            connection.close()

        threads = [threading.Thread(target=stream, args=(number,)) for number in range(STREAMS)]
        kept = self.rig.connect()
        send(kept, "GET", "/healthz")
        for thread in threads:
            thread.start()
        for _ in threads:
            begun.acquire()
        drained: list[bool] = []

        def leave() -> None:
            drained.append(self.rig.gateway.drain(30.0))
            self.rig.gateway.stop()

        drainer = threading.Thread(target=leave)
        drainer.start()
        wait_until(lambda: self.rig.request("GET", "/readyz", key="").status == 503)
        late = send(kept, "POST", PATH, chat("late", 4))
        self.assertEqual((late.status, late.headers["connection"]), (200, "close"))
        drainer.join()
        for thread in threads:
            thread.join()
        self.assertEqual(drained, [True])
        for number in range(STREAMS):
            text, ended, errors = streamed_text(replies[number])
            self.assertEqual((ended, errors), (True, []))
            self.assertEqual(text, expected(MODEL, f"q{number}", TOKENS))

    def test_stop_does_not_wait_for_streams_longer_than_the_drain(self):
        connection = self.rig.connect()
        response = begin(connection, "POST", PATH, chat("endless", 100_000, stream=True))
        first = response.read1(1)
        self.assertFalse(self.rig.gateway.drain(0.6))
        started_at = time.monotonic()
        self.rig.gateway.stop()
        self.assertLess(time.monotonic() - started_at, 5.0)
        _, ended, errors = streamed_text(first + response.read())
        self.assertEqual((ended, len(errors)), (False, 1))
        self.assertIn("the node is stopping", errors[0])


class LeavingReplicaTest(unittest.TestCase):
    """No new work within three seconds, whichever source is first to know."""

    def setUp(self):
        self.rig = GatewayRig()
        self.rig.add_engine()
        self.rig.add_engine()
        self.rig.start()
        self.addCleanup(self.rig.stop)

    def by_machine_list(self) -> None:
        current = self.rig.machine_list.current()
        machines = [
            msgspec.structs.replace(one, draining=one.name == "engine-1")
            for one in current.machines
        ]
        self.rig.machine_list.offer(MachineList(current.version + 1, tuple(machines)))

    def by_engine(self) -> None:
        port = self.rig.engines["engine-1"].port
        connection = http.client.HTTPConnection("127.0.0.1", port)
        connection.request("POST", "/drain", b'{"draining": true}')
        self.assertEqual(connection.getresponse().status, 200)
        connection.close()

    @params(("machine list", by_machine_list), ("engine's own answer", by_engine))
    def test_no_new_work(self, _, leave):
        leave(self)
        left_at = time.time()
        while time.time() - left_at < LEAVING_TIME_S + 1.0:
            self.assertEqual(self.rig.request("POST", PATH, chat("q", 2)).status, 200)
            time.sleep(0.02)
        late = [
            run
            for run in self.rig.runs()
            if run["replica"] == "engine-1" and run["started_unix_s"] > left_at + LEAVING_TIME_S
        ]
        self.assertEqual(late, [])


class RollingRestartTest(unittest.TestCase):
    """Real nodes are stopped by SIGTERM and started again, one by one, under streams."""

    def test_no_request_is_cut(self):
        shape = ClusterShape()
        with LocalCluster(shape) as cluster:
            load = _Load(cluster)
            load.start()
            try:
                for node in cluster.nodes:
                    wait_until(lambda: load.answered_since_change(8), 20.0)
                    load.leave(node.name)
                    node.process.terminate()
                    self.assertEqual(node.process.wait(40.0), 0)
                    node.process.start()
                    cluster.wait_for_node(node)
                    load.come_back(node.name)
            finally:
                load.stop()
            self.assertEqual(load.faults, [])
            self.assertGreater(load.answered, 24)


class _Load:
    """Streams through all nodes; a client leaves a node that says it is draining."""

    THREADS_PER_NODE = 2

    def __init__(self, cluster: LocalCluster) -> None:
        self.faults: list[str] = []
        self.answered = 0
        self._answered_at_change = 0
        self._left: set[str] = set()
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._ask, args=(node.name, node.base_url, number))
            for node in cluster.nodes
            for number in range(self.THREADS_PER_NODE)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def leave(self, name: str) -> None:
        """Send no new requests to a node; those in service go on."""
        self._left.add(name)

    def come_back(self, name: str) -> None:
        self._left.discard(name)
        self._answered_at_change = self.answered

    def answered_since_change(self, count: int) -> bool:
        return self.answered - self._answered_at_change >= count

    def _ask(self, name: str, base_url: str, number: int) -> None:
        caller = Caller(base_url, TENANT_KEY)
        count = 0
        while not self._stopping.is_set():
            if name in self._left:
                time.sleep(0.02)
                continue
            count += 1
            prompt = f"{name} {number} {count}"
            body = chat(prompt, TOKENS) | {"model": MODEL}
            answer = caller.stream(PATH, body)
            whole = answer.whole and answer.text == expected(MODEL, prompt, TOKENS)
            with self._lock:
                if answer.status == 200 and whole:
                    self.answered += 1
                else:
                    self.faults.append(f"{prompt}: {answer}")
        caller.close()
