"""Streams of an engine: only complete answers to the current attempt are accepted."""

import unittest

from nose2.tools import params

from quaymill.connection.bounded_reader import AnswerPart
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.engine_client import EngineStream, token_ids, with_resumed_usage
from quaymill.request.outcome import OutcomeUnknown

ATTEMPT = "req-1.abc"
OTHER = "req-2.def"
DONE = b"data: [DONE]\n\n"


def event(text: str, attempt: str = ATTEMPT, finish: str = "null", token: int = 7) -> bytes:
    return (
        f'data: {{"id":"{attempt}","choices":[{{"index":0,"delta":{{"content":"{text}"}},'
        f'"token_ids":[{token}],"finish_reason":{finish}}}]}}\n\n'
    ).encode()


class FakeExchange:
    """Returns the given blocks, then the regular end of the body."""

    endpoint = Endpoint("127.0.0.1", 1)

    def __init__(self, blocks: list[bytes]) -> None:
        self._blocks = list(blocks)
        self.ended_by = ""

    def read_block(self) -> bytes:
        return self._blocks.pop(0) if self._blocks else b""

    def set_read_timeout(self, timeout_s: float) -> None:
        pass

    def release(self) -> None:
        self.ended_by = "release"

    def abandon(self) -> None:
        self.ended_by = "abandon"

    def abandon_endless(self, part: AnswerPart, reason: str) -> OutcomeUnknown:
        self.abandon()
        return OutcomeUnknown(502, reason, "")


def read_all(blocks: list[bytes]) -> tuple[bytes, OutcomeUnknown | None, FakeExchange]:
    """Read a stream; return the events relayed, the failure if any, and the exchange."""
    exchange = FakeExchange(blocks)
    stream = EngineStream(exchange, ATTEMPT)
    relayed = b""
    while not stream.complete:
        events = stream.next_events()
        if isinstance(events, OutcomeUnknown):
            return relayed, events, exchange
        relayed += events
    stream.finish()
    return relayed, None, exchange


class EngineStreamTest(unittest.TestCase):
    """Only complete events of this attempt are relayed, and the terminator must be last."""

    @params(
        ("event by event", [event("a"), event("b"), DONE]),
        ("all at once", [event("a") + event("b") + DONE]),
        ("byte by byte", [bytes((one,)) for one in event("a") + event("b") + DONE]),
        (
            "cut within an event",
            [
                event("a")[:20],
                event("a")[20:] + event("b")[:9],
                event("b")[9:] + DONE[:3],
                DONE[3:],
            ],
        ),
        ("with comments", [b": ping\n\n" + event("a"), b": ping\n\n", event("b") + DONE]),
    )
    def test_complete_answer(self, _, blocks):
        relayed, failure, exchange = read_all(blocks)
        self.assertIsNone(failure)
        self.assertEqual(relayed, b"".join(blocks))
        self.assertEqual(exchange.ended_by, "release")

    @params(
        ("no terminator", [event("a"), event("b")], event("a") + event("b")),
        ("end within an event", [event("a"), event("b")[:30]], event("a")),
        ("end within the terminator", [event("a"), DONE[:-2]], event("a")),
        ("event of another request", [event("a"), event("b", OTHER), DONE], event("a")),
        (
            "valid and invalid events",
            [event("a") + event("b", OTHER) + DONE],
            b"",
        ),
        ("id that contains the attempt's id", [event("a", "crossed-" + ATTEMPT), DONE], b""),
        ("error event", [event("a"), b'data: {"error":{"message":"x"}}\n\n'], event("a")),
        ("preempted", [event("a"), event("", finish='"preempted"') + DONE], event("a")),
        ("nothing", [], b""),
    )
    def test_invalid_answer(self, _, blocks, expected_events):
        relayed, failure, exchange = read_all(blocks)
        self.assertIsInstance(failure, OutcomeUnknown)
        self.assertEqual(relayed, expected_events)
        self.assertEqual(exchange.ended_by, "abandon")

    def test_preempted_within_a_text_is_ignored(self):
        blocks = [event('the word \\"preempted\\" in a text'), DONE]
        self.assertIsNone(read_all(blocks)[1])

    def test_event_over_the_size_limit_is_refused(self):
        self.assertIsInstance(read_all([b"x" * 70_000] * 40)[1], OutcomeUnknown)

    def test_token_ids_of_all_events_in_order(self):
        self.assertEqual(token_ids(event("a", token=3) + event("b", token=5) + DONE), [3, 5])

    def test_usage_includes_tokens_before_resumption(self):
        usage = (
            b'data: {"id":"x","choices":[],"usage":{"completion_tokens":4,"total_tokens":9}}\n\n'
        )
        added = with_resumed_usage(event("a") + usage + DONE, 10)
        self.assertTrue(added.startswith(event("a")))
        self.assertIn(b'"completion_tokens":14,"total_tokens":19', added)
        self.assertTrue(added.endswith(DONE))
