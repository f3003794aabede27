"""Answers put together from the chunks of one or several streams."""

import unittest

import msgspec
from nose2.tools import params

from quaymill.process.batch.item_stream import stream_body
from quaymill.process.batch.partial_answer import PartialAnswer, decode_events

CHAT = "/v1/chat/completions"


def chat_event(token_ids: list[int] | None = None, finish: str | None = None, **delta) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    if token_ids is not None:
        choice["token_ids"] = token_ids
    chunk = {"id": "a", "created": 7, "model": "m", "choices": [choice]}
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def add(partial: PartialAnswer, *events: bytes) -> None:
    for chunk in decode_events(b"".join(events) + b"data: [DONE]\n\n"):
        partial.add(chunk)


class PartialAnswerTest(unittest.TestCase):
    """One answer over time."""

    def test_two_streams_make_one_answer(self) -> None:
        partial = PartialAnswer()
        self.assertEqual(partial.begin_stream(), [])
        add(partial, chat_event([1], role="assistant", content="a"), chat_event([2], content="b"))
        self.assertFalse(partial.finished)
        self.assertEqual(partial.begin_stream(), [1, 2])
        add(partial, chat_event([3], content="c"), chat_event(finish="stop"))
        self.assertTrue(partial.finished)
        answer = partial.response(CHAT, "id")
        self.assertEqual(answer["choices"][0]["message"], {"role": "assistant", "content": "abc"})
        self.assertEqual((answer["created"], answer["usage"]["completion_tokens"]), (7, 3))
        self.assertEqual(answer["object"], "chat.completion")

    @params(
        ("tokens not told", [chat_event(content="a")]),
        (
            "several choices",
            [b'data: {"choices":[{"index":1,"text":"x","token_ids":[4]}]}\n\n'],
        ),
    )
    def test_what_cannot_be_continued_starts_anew(self, name: str, events: list[bytes]) -> None:
        partial = PartialAnswer()
        add(partial, *events)
        self.assertFalse(partial.resumable)
        self.assertEqual(partial.begin_stream(), [])
        add(partial, chat_event([9], content="z"), chat_event(finish="stop"))
        message = partial.response(CHAT, "id")["choices"][0]["message"]
        self.assertEqual(message["content"], "z")

    def test_tool_call_in_pieces(self) -> None:
        partial = PartialAnswer()
        pieces = (
            {"index": 0, "id": "c1", "function": {"name": "look_up", "arguments": '{"ye'}},
            {"index": 0, "function": {"arguments": 'ar":1}'}},
        )
        for piece in pieces:
            add(partial, chat_event([1], tool_calls=[piece]))
        add(partial, chat_event(finish="tool_calls"))
        message = partial.response(CHAT, "id")["choices"][0]["message"]
        self.assertIsNone(message["content"])
        call = message["tool_calls"][0]
        self.assertEqual(call["id"], "c1")
        self.assertEqual(call["function"], {"name": "look_up", "arguments": '{"year":1}'})

    def test_request_is_made_a_batch_stream(self) -> None:
        body = msgspec.Raw(b'{"model":"m","priority":0,"stream":false,"resume_token_ids":[5]}')
        sent = msgspec.json.decode(stream_body(body, []))
        self.assertEqual((sent["priority"], sent["stream"]), (10, True))
        self.assertNotIn("resume_token_ids", sent)
        self.assertEqual(msgspec.json.decode(stream_body(body, [1]))["resume_token_ids"], [1])


if __name__ == "__main__":
    unittest.main()
