"""The HTTP server for callers: cheroot without WSGI, so that requests are not altered.

Target, headers and body reach the handler as received. A handler writes its answer through an
``AnswerWriter``; an answer that cannot be completed is aborted so that the caller detects that
it is incomplete.
"""

from __future__ import annotations

import contextlib
import logging
import math
import os
import socket
import struct
import threading
import time
from collections.abc import Callable
from http import HTTPStatus

from cheroot import server
from cheroot.workers.threadpool import ThreadPool
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.process.early_listener import LISTEN_BACKLOG
from quaymill.process.front.body_reader import (
    BodyTooLargeError,
    BodyTooSlowError,
    BoundedStreamReader,
    BrokenBodyError,
    read_chunked,
    read_with_length,
)
from quaymill.process.front.head_watch import HeadWatch
from quaymill.process.front.read_gate import ReadGate
from quaymill.request.answer_buffer import BufferedAnswer, BufferedAnswers
from quaymill.request.forwarded_request import Headers
from quaymill.request.presence import CallerPresence

SEND_BUFFER_BYTES = 128 * 1024
STOP_TIMEOUT_S = 0.5
MIN_THREADS = 4
IDLE_WORKERS_INTERVAL_S = 10.0
MAX_KEEP_ALIVE_CONNECTIONS = 2000
IDLE_CHECK_MARGIN_S = 10.0
"""Added to the idle timeout given to cheroot, which measures it with the wall clock: without the
margin, a forward jump of the clock could close connections too early."""
DEFAULT_BODY_TIMEOUT_S = 60.0
"""How long the body of a request may take whose caller states no deadline."""
DISCARDED_BODY_TIMEOUT_S = 1.0
"""How long the body of a request may take that is refused."""
SERVER_NAME = "quaymill"
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a time of 0 s: closing the connection sends a reset."""
DEFAULT_HEADER_TIMEOUT_S = 3.0
"""Used until a configuration sets the time that a head may take."""


class _LineRecorder:
    """Records the lines that are read through it."""

    def __init__(self, rfile) -> None:
        self._rfile = rfile
        self.lines: list[bytes] = []

    def readline(self, size=None) -> bytes:
        line = self._rfile.readline(size)
        self.lines.append(line)
        return line


class _HeaderReader(server.HeaderReader):
    """Keeps the header lines as sent in addition to cheroot's folded headers."""

    def __call__(self, rfile, hdict=None):
        recorder = _LineRecorder(rfile)
        try:
            folded = super().__call__(recorder, hdict)
        except UnboundLocalError as error:
            # Raised by cheroot if the first header line is a continuation line.
            raise ValueError("Illegal continuation line.") from error
        folded[b":lines"] = recorder.lines
        return folded


class _HttpRequest(server.HTTPRequest):
    header_reader = _HeaderReader()

    def read_request_line(self) -> bool:
        """Refuse a target that is not a URL; for some of them cheroot raises ``ValueError``."""
        try:
            return super().read_request_line()
        except ValueError:
            self.simple_response("400 Bad Request", "Malformed Request-URI")
            return False

    def read_request_headers(self) -> bool:
        """Refuse requests with an ambiguous body length or a space after a header name."""
        if not super().read_request_headers():
            return False
        pairs = self.header_pairs()
        lengths = [value for name, value in pairs if name.lower() == "content-length"]
        if len(lengths) > 1 or (lengths and self.chunked_read):
            self.simple_response("400 Bad Request", "Ambiguous body length")
            return False
        if any(name != name.strip() for name, _ in pairs):
            # A replica might strip the space and accept a header that must not reach it.
            self.simple_response("400 Bad Request", "Space after a header name")
            return False
        return True

    def header_pairs(self) -> Headers:
        """Return names and values as sent."""
        pairs = []
        for line in self.inheaders.get(b":lines", ()):
            name, colon, value = line.decode("latin-1").partition(":")
            if colon and name and not name[0].isspace():
                pairs.append((name, value.strip()))
        return tuple(pairs)


class _HttpConnection(server.HTTPConnection):
    """A caller's connection.

    Attributes
    ----------
    is_new
        Whether no worker has read from it yet.
    passed_at
        Time by ``boot_clock`` at which it was last passed to the workers.
    """

    RequestHandlerClass = _HttpRequest
    is_new = True
    passed_at = 0.0

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.rfile = BoundedStreamReader(self.socket, self.rbufsize)

    def communicate(self) -> bool:
        """Read and answer one request; return whether the connection stays open."""
        if self.is_new:
            self.is_new = False
            self.server.read_gate.record_wait(boot_clock.now() - self.passed_at)
        return super().communicate()


class FrontRequest:
    """One request of a caller.

    Attributes
    ----------
    target
        Path and query as sent.
    path, query
        The two parts of the target, still percent-encoded.
    presence
        Whether the caller is still connected.
    body_was_read
        Whether the whole body has been read, so that another request may follow.
    """

    def __init__(self, request: _HttpRequest, presence: CallerPresence) -> None:
        self._request = request
        self.presence = presence
        self.method = request.method.decode("latin-1")
        self.target = request.uri.decode("latin-1")
        self.path, _, self.query = self.target.partition("?")
        self.headers = request.header_pairs()
        self._by_name = {name.lower(): value for name, value in self.headers}
        content_length = self._by_name.get("content-length", "0")
        self.body_was_read = content_length == "0" and not request.chunked_read

    def header(self, name: str) -> str | None:
        """Return a header; the last one if it is repeated."""
        return self._by_name.get(name.lower())

    def header_values(self, name: str) -> list[str]:
        """Return the values of all headers with a name, in the order sent."""
        wanted = name.lower()
        return [value for sent, value in self.headers if sent.lower() == wanted]

    @property
    def host(self) -> str:
        """The ``Host`` header without a port, in lower case."""
        return (self.header("Host") or "").partition(":")[0].lower()

    def read_body(self, limit_bytes: int, timeout_s: float = DEFAULT_BODY_TIMEOUT_S) -> bytes:
        """Read the whole body.

        Raises
        ------
        BrokenBodyError, BodyTooLargeError, BodyTooSlowError
            It is incomplete, longer than the limit, or not there in time; the connection must be
            closed.
        """
        if self.body_was_read:
            return b""
        length = int(self.header("Content-Length") or 0)
        if length > limit_bytes:
            raise BodyTooLargeError
        connection = self._request.conn
        file = connection.rfile
        file.bounds.end_after(timeout_s)
        try:
            if self._request.chunked_read:
                body = read_chunked(file, limit_bytes)
            else:
                body = read_with_length(file, length)
        except TimeoutError as error:
            raise BodyTooSlowError(f"it did not arrive within {timeout_s:.1f} s") from error
        except OSError as error:
            raise BrokenBodyError(str(error)) from error
        finally:
            file.bounds.deadline = math.inf
            connection.socket.settimeout(connection.server.timeout)
        if not self._request.chunked_read:
            self._request.rfile.remaining = 0
        self.body_was_read = True
        return body

    def end_reading(self) -> None:
        """Let a body that is being read by another thread end, as if its sender had left."""
        with contextlib.suppress(OSError):
            self._request.conn.socket.shutdown(socket.SHUT_RD)

    def discard_body(self, limit_bytes: int) -> None:
        """Read and discard a body up to ``limit_bytes``; a longer or slow one is left unread."""
        if self.body_was_read:
            return
        with contextlib.suppress(BrokenBodyError, BodyTooLargeError, BodyTooSlowError):
            self.read_body(limit_bytes, DISCARDED_BODY_TIMEOUT_S)


class AnswerWriter:
    """Writes one answer.

    Attributes
    ----------
    started
        Whether the head has been sent.
    status
        Status code sent; 0 before that.

    Parameters
    ----------
    buffered
        Buffers data for a slow caller; ``None`` where writing waits for the caller.
    """

    def __init__(self, request: _HttpRequest, buffered: BufferedAnswer | None = None) -> None:
        self._request = request
        self._buffered = buffered
        self.started = False
        self.status = 0
        self._framed = True

    def start(self, status: int, reason: str, headers: Headers, length: int | None = None) -> None:
        """Send the head; without ``length`` the body is sent in chunked encoding."""
        self.started = True
        self.status = status
        text = reason or _default_reason(status)
        self._request.status = f"{status} {text}".encode("latin-1")
        pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        if length is not None:
            pairs.append((b"Content-Length", str(length).encode()))
        self._request.outheaders = pairs
        self._request.ensure_headers_sent()
        self._framed = length is not None or self._request.chunked_write

    def write(self, block: bytes) -> None:
        """Send a part of the body; raises ``OSError`` when the caller has disconnected."""
        if not block:
            return
        if self._buffered is None:
            self._request.write(block)
        elif self._request.chunked_write:
            self._buffered.send(b"%x\r\n%b\r\n" % (len(block), block))
        else:
            self._buffered.send(block)

    def name_request(self, request_id: str) -> None:
        """Set the id of the request for log lines."""
        if self._buffered is not None:
            self._buffered.request_id = request_id

    @property
    def pending(self) -> bool:
        """Whether there is buffered data that the caller has not read yet."""
        return self._buffered is not None and self._buffered.pending

    def send_buffered(self, timeout_s: float, readable: int = -1) -> bool:
        """Send buffered data; return early once the descriptor ``readable`` has data to read."""
        return self._buffered.send_buffered(timeout_s, readable)

    def finish(self) -> None:
        """Wait until the caller has read everything; raises ``OSError`` if it does not."""
        if self._buffered is not None:
            self._buffered.finish()

    def discard_buffered(self) -> None:
        """Discard the buffered data that the caller has not read."""
        if self._buffered is not None:
            self._buffered.drop()

    def answer(self, status: int, headers: Headers, body: bytes, reason: str = "") -> None:
        """Send a complete answer."""
        self.start(status, reason, headers, len(body))
        if self._request.method != b"HEAD":
            self.write(body)

    def abort(self) -> None:
        """Close the connection without completing the answer, so that the caller detects it.

        An answer with neither a length nor chunks is complete for its caller when the connection
        is closed; the connection is then reset.
        """
        if not self._framed:
            _reset(self._request.conn.socket)
        self._request.chunked_write = False
        self._request.sent_headers = True
        self._request.close_connection = True

    def close_after(self) -> None:
        """Close the connection once the answer has been sent; call before ``start``."""
        self._request.close_connection = True


Handler = Callable[[FrontRequest, AnswerWriter], None]
"""Answers one request; an exception from it closes the connection."""


class _ElasticThreadPool(ThreadPool):
    """Starts workers on demand and ends idle ones; cheroot's pool has a fixed size."""

    def put(self, obj) -> None:
        """Queue a connection; start a worker for it if none is idle."""
        if isinstance(obj, _HttpConnection):
            obj.passed_at = boot_clock.now()
        if self.idle <= self.qsize and len(self._threads) < self.max:
            self._threads.append(self._spawn_worker())
        super().put(obj)

    def end_idle(self) -> None:
        """End idle workers except for the configured minimum."""
        spare = self.idle - self.min
        if spare > 0:
            self.shrink(spare)

    @property
    def busy(self) -> bool:
        """Whether a worker serves a connection or a connection waits for a worker."""
        return self.qsize > 0 or any(worker.conn is not None for worker in self._threads)


class HttpServer(server.HTTPServer):
    """Serves requests with a handler; each error is logged as one line.

    Parameters
    ----------
    threads
        Most workers; limits the requests that are read or answered at once.
    idle_threads
        Workers that are kept while they are idle.
    watch
        Begins to watch a connection and returns its caller's presence; ``unwatch`` ends that.
    listener
        A socket that listens already; without it the server opens its own.
    buffered_answers
        Buffers answers for callers that read slowly; without it writing waits for them.
    has_room
        Returns whether another request may be taken into service; while it may not, new connections
        are closed unread.

    Attributes
    ----------
    read_gate
        Decides whether a new connection is read.
    """

    ConnectionClass = _HttpConnection

    def __init__(
        self,
        endpoint: Endpoint,
        handler: Handler,
        threads: int,
        watch: Callable[[socket.socket], CallerPresence] = lambda connection: CallerPresence(),
        unwatch: Callable[[socket.socket], None] = lambda connection: None,
        idle_threads: int = MIN_THREADS,
        listener: socket.socket | None = None,
        buffered_answers: BufferedAnswers | None = None,
        has_room: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(
            (endpoint.host, endpoint.port),
            _gateway_class(handler, watch, unwatch, buffered_answers),
            server_name=SERVER_NAME,
        )
        self.requests = _ElasticThreadPool(self, min=min(idle_threads, threads), max=threads)
        self.request_queue_size = LISTEN_BACKLOG
        self.shutdown_timeout = STOP_TIMEOUT_S
        self.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        self.max_request_header_size = 64 * 1024
        self.idle_timeout_s = 15.0
        self.header_timeout_s = DEFAULT_HEADER_TIMEOUT_S
        self._heads = HeadWatch(
            super().process_conn, lambda: self.header_timeout_s, lambda: self.idle_timeout_s
        )
        self.read_gate = ReadGate(has_room)
        self._prepare_error: OSError | None = None
        self._listener = listener

    @property
    def idle_timeout_s(self) -> float:
        """How long a new connection may send nothing.

        Connections that wait for a further request, reads and writes have a timeout that is
        longer by ``IDLE_CHECK_MARGIN_S``.
        """
        return self.timeout - IDLE_CHECK_MARGIN_S

    @idle_timeout_s.setter
    def idle_timeout_s(self, seconds: float) -> None:
        self.timeout = seconds + IDLE_CHECK_MARGIN_S

    def start_serving(self) -> None:
        """Listen, and start the threads that serve.

        Raises
        ------
        OSError
            The server cannot listen on the address.
        """
        # Worker threads inherit the daemon flag of the thread that creates them.
        preparing = threading.Thread(target=self._prepare, name="front-prepare", daemon=True)
        preparing.start()
        preparing.join()
        if self._prepare_error is not None:
            raise self._prepare_error
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._heads.start()
        for name, target in (("front", self.serve), ("front-workers", self._end_idle_workers)):
            threading.Thread(target=target, name=name, daemon=True).start()

    def bind(self, family: int, type: int, proto: int = 0) -> socket.socket:
        """Return the socket to listen on: the given listener or a new one."""
        if self._listener is None:
            return super().bind(family, type, proto)
        self.socket = self._listener
        return self.socket

    def process_conn(self, conn: server.HTTPConnection) -> None:
        """Pass a connection to a worker when the head of a request has arrived.

        A new connection that cannot be read soon is closed.
        """
        if conn.is_new and not self.read_gate.admits():
            conn.close()
            return
        if conn.rfile.has_data():
            super().process_conn(conn)
        else:
            self._heads.add(conn)

    def _end_idle_workers(self) -> None:
        while self.ready:
            time.sleep(IDLE_WORKERS_INTERVAL_S)
            self.requests.end_idle()

    def _prepare(self) -> None:
        try:
            self.prepare()
        except OSError as error:
            self._prepare_error = error

    @property
    def busy(self) -> bool:
        """Whether a request is being received or answered, or waits for a worker."""
        return self.requests.busy or self._heads.busy

    def stop_accepting(self) -> None:
        """Accept no more connections and close idle ones; requests in service continue."""
        self.ready = False
        self._connections.stop()
        self.socket.close()
        self._connections.close()
        self._heads.stop()

    def stop(self) -> None:
        """Close all connections immediately."""
        self._heads.stop()
        super().stop()

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Log an error of the HTTP server."""
        log_message("front:http_error", message=msg, level=logging.getLevelName(level))


def _gateway_class(
    handler: Handler, watch, unwatch, buffered_answers: BufferedAnswers | None
) -> type[server.Gateway]:
    """Return the gateway class through which cheroot calls ``handler``."""

    class FrontGateway(server.Gateway):
        def respond(self) -> None:
            connection = self.req.conn.socket
            presence = watch(connection)
            # A buffered answer may be ended with a close, which only a framed one survives.
            buffers = buffered_answers if self.req.response_protocol == "HTTP/1.1" else None
            buffered = buffers and BufferedAnswer(buffers, connection)
            writer = AnswerWriter(self.req, buffered)
            try:
                handler(FrontRequest(self.req, presence), writer)
                writer.finish()
            except OSError:
                writer.abort()  # The caller has disconnected.
            except Exception as error:  # A bug must not end the worker.
                log_message("front:handler_error", error=repr(error))
                writer.abort()
            finally:
                writer.discard_buffered()
                unwatch(connection)

    return FrontGateway


def _reset(connection: socket.socket) -> None:
    """Reset a connection; its descriptor stays valid for the server, which closes it later."""
    # An error means that the caller has closed the connection, so nobody takes the answer as whole.
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
        closed, other_end = socket.socketpair()
        other_end.close()
        os.dup2(closed.fileno(), connection.fileno())
        closed.close()


def _default_reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
