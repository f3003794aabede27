"""Ten thousand malformed requests: each is refused, none leaves a traceback or a hang."""

import io
import random
import socket
import threading
import unittest
from contextlib import redirect_stderr

from gateway_rig import HOST, KEY, GatewayRig, chat, wait_until

PATH = "/v1/chat/completions"
MALFORMED_REQUESTS = 10_000
MALFORMED_THREADS = 4


class MalformedRequestTest(unittest.TestCase):
    """Nonsense is refused without a traceback, and nobody hangs."""

    def test_malformed_requests(self):
        rig = GatewayRig()
        rig.add_engine()
        rig.start()
        self.addCleanup(rig.stop)
        errors = io.StringIO()
        unanswered: list[bytes] = []
        answers: list[bytes] = []
        with redirect_stderr(errors):
            threads = [
                threading.Thread(target=self._send_many, args=(rig, seed, unanswered, answers))
                for seed in range(MALFORMED_THREADS)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        self.assertEqual(unanswered, [])
        self.assertEqual(errors.getvalue(), "")
        for answer in answers:
            # A second answer would be to bytes of a body that were taken for a request.
            self.assertLessEqual(answer.count(b"HTTP/1.1 "), 1, answer)
            self.assertNotIn(b"HTTP/1.1 500", answer)
        reply = rig.request("POST", PATH, chat("after"))
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(rig.runs()), 1)
        wait_until(lambda: rig.gateway.admission.in_service == 0)

    def _send_many(
        self, rig: GatewayRig, seed: int, unanswered: list[bytes], answers: list[bytes]
    ) -> None:
        generator = random.Random(seed)
        for _ in range(MALFORMED_REQUESTS // MALFORMED_THREADS):
            request = malformed(generator)
            answer = b""
            with socket.create_connection((HOST, rig.gateway.endpoint.port), timeout=10.0) as sent:
                try:
                    sent.sendall(request)
                    sent.shutdown(socket.SHUT_WR)
                    while block := sent.recv(65536):
                        answer += block
                except ConnectionError:
                    pass
                except TimeoutError:
                    unanswered.append(request)
            answers.append(answer)


def malformed(generator: random.Random) -> bytes:
    """Return bytes that are no good request, in one of several ways."""
    noise = generator.randbytes(generator.randrange(1, 60))
    word = bytes(generator.choice(b'abcXYZ019 :/%{}[]"\\\x00\xff') for _ in range(12))
    key = f"Authorization: Bearer {KEY}\r\n".encode()
    body = generator.choice(
        [
            b"{",
            b"[]",
            b"null",
            b'{"model":1}',
            b'{"model":"drafting"}',
            b"\xff\xfe",
            b"[" * 5000,
            b'{"model":"drafting","messages":[]}',
            b'{"model":"drafting","messages":[{"role":{}}]}',
            b'{"model":"drafting","messages":[{"role":"u"}],"max_tokens":1e400}',
            b'{"model":"drafting","messages":[{"role":"u"}],"max_tokens":-1}',
            b'{"model":"drafting","messages":[{"role":"u"}],"stream":"yes"}',
            noise,
            word,
        ]
    )
    whole = b"POST %b HTTP/1.1\r\nHost: x\r\n%bContent-Length: %d\r\n\r\n%b"
    path = generator.choice([b"/v1/chat/completions", b"/v1/completions"])
    return generator.choice(
        [
            noise,
            noise + b"\r\n\r\n",
            b"GET\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"GET " + word + b" HTTP/1.1\r\n\r\n",
            b"GET /%ff%00 HTTP/1.1\r\n" + word + b"\r\n\r\n",
            b"POST " + path + b" HTTP/1.1\r\nContent-Length: abc\r\n\r\n",
            b"POST " + path + b" HTTP/1.1\r\nContent-Length: -5\r\n" + key + b"\r\n",
            b"POST "
            + path
            + b" HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
            + key
            + b"\r\nzz\r\n"
            + noise,
            b"POST " + path + b" HTTP/1.1\r\nContent-Length: 500\r\n" + key + b"\r\n" + body[:100],
            b"POST "
            + path
            + b" HTTP/1.1\r\nAuthorization: Bearer "
            + noise.hex().encode()
            + b"\r\n\r\n",
            whole % (path, key, len(body), body),
            whole % (path, key + b"Quaymill-Timeout-S: nan\r\n", len(body), body),
            whole % (b"/services/filing/x", key, len(body), body),
            whole % (b"/" + word.replace(b" ", b""), key, len(body), body),
        ]
    )
