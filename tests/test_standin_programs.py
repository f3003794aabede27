"""The programs: ready line, flags, ordered stop, and the speed of an engine."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import unittest
from pathlib import Path

from nose2.tools import params

from standin_support import StandinClient, sse_events, wait_until

PROGRAM = str(Path(sys.executable).with_name("quaymill-standin"))
STOP_TIMEOUT_S = 10.0
FAULTS = json.dumps({"refuse": True})


class ProgramTest(unittest.TestCase):
    """Each program as its own process."""

    def start(self, *arguments: str) -> tuple[subprocess.Popen, StandinClient]:
        process = subprocess.Popen([PROGRAM, *arguments], stdout=subprocess.PIPE, text=True)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        word, _, endpoint = process.stdout.readline().strip().partition(" ")
        self.assertEqual(word, "ready")
        client = StandinClient(int(endpoint.rpartition(":")[2]))
        self.addCleanup(client.close)
        return process, client

    @params(
        ("platform", "/apis/quaymill.io/v1/machines", "GET"),
        ("engine", "/v1/completions", "POST"),
        ("application", "/any", "POST"),
    )
    def test_serves_with_faults_from_the_start_and_stops(
        self, kind: str, path: str, method: str
    ) -> None:
        process, client = self.start(kind, "--faults", FAULTS)
        self.assertEqual(client.request(method, path, b"{}").status, 503)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(STOP_TIMEOUT_S), 0)

    @params('{"unknown": 1}', "{", '{"error_probability": 2}')
    def test_bad_faults_end_the_program(self, faults: str) -> None:
        arguments = [PROGRAM, "engine", "--faults", faults]
        ended = subprocess.run(arguments, capture_output=True, text=True, timeout=STOP_TIMEOUT_S)
        self.assertEqual(ended.returncode, 1)
        self.assertIn("--faults", ended.stderr)

    def test_an_engine_stops_under_streams_held_and_running(self) -> None:
        process, client = self.start("engine", "--slots", "1", "--model", "m")
        body = {"model": "m", "prompt": "p", "max_tokens": 100_000, "stream": True}
        streams = [client.open("POST", "/v1/completions", body) for _ in range(2)]
        next(sse_events(streams[0]))
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(STOP_TIMEOUT_S), 0)

    def test_an_engine_is_killed_and_its_port_is_free_again(self) -> None:
        process, client = self.start("engine")
        port = client.base_url.rpartition(":")[2]
        client.get("/health")
        process.kill()
        process.wait()
        _, again = self.start("engine", "--port", port)
        self.assertEqual(again.get("/health"), {"draining": False})

    def test_many_streams_are_whole_and_run_at_the_same_time(self) -> None:
        _, client = self.start("engine", "--slots", "64", "--step-ms", "5")
        port = client.base_url.rpartition(":")[2]
        arguments = ["--port", port, "--streams", "64", "--tokens", "100"]
        checked = subprocess.run([PROGRAM, "check-engine", *arguments], capture_output=True)
        measured = json.loads(checked.stdout)
        self.assertEqual((measured["whole_streams"], measured["tokens"]), (64, 6400))
        wait_until(lambda: len(client.runs(outcome="finished")) == 64, "all are journalled")


if __name__ == "__main__":
    unittest.main()
