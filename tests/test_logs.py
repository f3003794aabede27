"""The log writer writes every message as one line, whatever it contains."""

import io
import json
import threading
import unittest

from quaymill.process.logs import LogWriter

MESSAGES_EACH = 200
THREADS = 8


class LogWriterTest(unittest.TestCase):
    """A log writer with an in-memory stream."""

    def setUp(self):
        self.stream = io.BytesIO()
        self.writer = LogWriter(self.stream)

    def _lines(self) -> list[dict]:
        self.writer.stop()
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_each_message_is_a_whole_line_in_order(self):
        def log(name: int) -> None:
            for number in range(MESSAGES_EACH):
                self.writer({"thread": name, "number": number})

        threads = [threading.Thread(target=log, args=(name,)) for name in range(THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        lines = self._lines()
        self.assertEqual(len(lines), THREADS * MESSAGES_EACH)
        for name in range(THREADS):
            numbers = [line["number"] for line in lines if line["thread"] == name]
            self.assertEqual(numbers, list(range(MESSAGES_EACH)))

    def test_value_that_cannot_be_encoded_does_not_end_the_log(self):
        self.writer({"value": object()})
        recursive: dict = {}
        recursive["again"] = recursive
        self.writer(recursive)
        self.writer({"after": True})
        lines = self._lines()
        self.assertIn("object", lines[0]["value"])
        self.assertIn("log_error", lines[1])
        self.assertEqual(lines[2], {"after": True})
