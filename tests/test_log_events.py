"""Log lines: every kind is documented, their rate is limited, and writing never blocks."""

from __future__ import annotations

import io
import json
import os
import re
import threading
import time
import unittest
from pathlib import Path

from quaymill.process.log_events import EVENTS, is_ordinary
from quaymill.process.logs import LineBudget, LogWriter

SOURCES = Path(__file__).parent.parent / "src" / "quaymill"
SERVING_PARTS = (
    "platform",
    "process/front",
    "process/jobs",
    "process/job_storage",
    "process/control",
    "process/replica_set",
    "process/membership",
    "process/poison",
    "process/limits",
    "process/gateway_node.py",
    "process/storage_node.py",
    "process/node_registry.py",
    "process/regions.py",
    "request/forwarding.py",
    "connection/replica_connection.py",
    "request/answer_buffer.py",
)
SERVED = {"message_type": "request:ended", "outcome": "delivered"}
FAILED = {"message_type": "request:ended", "outcome": "not-run"}
OVER_LIMIT = {"message_type": "request:refused", "outcome": "over-limit"}
_CALL = re.compile(r"log_message\(\s*\"([a-z_]+:[a-z_]+)\"")
_EVENT_NAME = re.compile(r"\"((?:replica|request|job):[a-z_]+)\"")


class EventsTest(unittest.TestCase):
    """The table of log kinds matches the code."""

    def test_every_kind_that_is_written_is_documented(self) -> None:
        written = set()
        for part in SERVING_PARTS:
            path = SOURCES / part
            files = path.rglob("*.py") if path.is_dir() else [path]
            for file in files:
                text = file.read_text()
                written |= set(_CALL.findall(text)) | set(_EVENT_NAME.findall(text))
        self.assertGreater(len(written), 30)
        self.assertEqual(set(), written - EVENTS.keys())

    def test_only_served_and_over_limit_requests_are_ordinary(self) -> None:
        self.assertTrue(is_ordinary(SERVED))
        self.assertTrue(is_ordinary(OVER_LIMIT))
        self.assertFalse(is_ordinary(OVER_LIMIT | {"outcome": "refused"}))
        self.assertFalse(is_ordinary(FAILED))
        self.assertFalse(is_ordinary({"message_type": "job:accepted"}))


class BudgetTest(unittest.TestCase):
    """Lines are dropped, ordinary ones first, when there are too many."""

    def test_ordinary_lines_are_dropped_first_and_counted(self) -> None:
        stream = io.BytesIO()
        writer = LogWriter(stream, LineBudget(lines_per_s=0.001, burst=100))
        for _ in range(200):
            writer(dict(SERVED))
        for _ in range(60):
            writer(dict(FAILED))
        writer.stop()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        outcomes = [line.get("outcome") for line in lines]
        self.assertEqual(50, outcomes.count("delivered"))
        self.assertEqual(50, outcomes.count("not-run"))
        (dropped,) = [line for line in lines if line["message_type"] == "log:dropped"][-1:]
        self.assertEqual((150, 10), (dropped["ordinary"], dropped["other"]))

    def test_unread_stream_does_not_block_logging(self) -> None:
        reader, writer_end = os.pipe()
        stream = os.fdopen(writer_end, "wb")
        writer = LogWriter(stream, LineBudget(lines_per_s=1e9, burst=1e9))
        message = SERVED | {"filler": "x" * 200}
        began = time.monotonic()
        for _ in range(60_000):
            writer(dict(message))
        self.assertLess(time.monotonic() - began, 10.0)
        self.assertGreater(writer.dropped, 30_000)
        # Reading the pipe unblocks the writer's thread.
        draining = threading.Thread(target=_drain, args=(reader,))
        draining.start()
        writer.stop()
        stream.close()
        draining.join()
        os.close(reader)


def _drain(descriptor: int) -> None:
    while os.read(descriptor, 65536):
        pass
