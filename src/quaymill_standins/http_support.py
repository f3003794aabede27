"""HTTP server of the stand-ins: cheroot, with control requests apart and faults brought about.

Control requests (``/standin/...``, ``/load``, ``/health`` and the like) are never faulted
and always find a free thread, because requests of the data plane may take all threads but
``CONTROL_THREADS``; beyond that they are refused as not run.
"""

from __future__ import annotations

import contextlib
import logging
import os
import select
import socket
import struct
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from http import HTTPStatus
from urllib.parse import parse_qsl

import msgspec
from cheroot import wsgi
from cheroot.server import HTTPRequest
from sentinels import Sentinel

from quaymill_standins.faults import Faults, FaultSwitches, RequestFaults

CONTROL_THREADS = 32
DEFAULT_THREADS = 256
LISTEN_BACKLOG = 1024
KEEP_ALIVE_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 2.0
STOP_CHECK_INTERVAL_S = 0.2
RETRY_AFTER_S = 1
JSON_CONTENT = ("Content-Type", "application/json")
NOT_RUN_HEADERS = (("Quaymill-Outcome", "not-run"), ("Retry-After", str(RETRY_AFTER_S)))
FAULTS_PATH = "/standin/faults"

CLOSED = Sentinel("CLOSED")
"""Result of a handler that wants the connection closed without an answer."""

_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
_CONNECTION_KEY = "quaymill_standins.connection"


class ClientConnection:
    """The connection that a request came on."""

    def __init__(self, http_request: HTTPRequest) -> None:
        self._http_request = http_request
        self._socket: socket.socket = http_request.conn.socket
        self._framed = True

    def fileno(self) -> int:
        """Return the file descriptor, which is in non-blocking mode."""
        return self._socket.fileno()

    def omit_framing(self) -> None:
        """Send neither a length nor chunks: the answer ends with its connection.

        Has no effect on an answer that states its length.
        """
        # Cheroot frames a body of unknown length in chunks only for HTTP/1.1.
        self._http_request.response_protocol = "HTTP/1.0"
        self._framed = False

    def send_headers(self) -> None:
        """Send the status line and the headers, unless they are sent."""
        self._http_request.ensure_headers_sent()

    def send(self, data: bytes) -> None:
        """Send a piece of the body at once, as one chunk if the body is chunked."""
        self._http_request.write(data)

    def send_raw(self, data: bytes) -> None:
        """Send bytes that are already framed."""
        self._http_request.conn.wfile.write(data)

    def abort(self) -> None:
        """Close the connection now; whatever is written afterwards is lost."""
        self._http_request.close_connection = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def break_off(self) -> None:
        """End the answer early, so that the client notices it whatever it has received."""
        if self._framed:
            self.abort()
        else:
            self.reset()

    def reset(self) -> None:
        """Reset the connection; the client gets an error instead of the end of the answer."""
        self._http_request.close_connection = True
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
            # Closes the connection while its descriptor stays valid for the server.
            closed, other_end = socket.socketpair()
            other_end.close()
            os.dup2(closed.fileno(), self._socket.fileno())
            closed.close()

    def is_closed_by_peer(self) -> bool:
        """Return whether the client has closed the connection; nothing is read."""
        poller = select.poll()
        poller.register(self._socket, select.POLLRDHUP)
        return bool(poller.poll(0))


class Request(msgspec.Struct, frozen=True):
    """A request as handlers see it."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    environ: dict[str, object]
    connection: ClientConnection

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return str(self.environ.get("HTTP_" + name.upper().replace("-", "_"), ""))


class Response(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


def _nothing_to_abandon() -> None:
    """Do nothing: no work goes on behind the answer."""


class StreamedResponse(msgspec.Struct, frozen=True):
    """An answer in pieces, sent by the thread of the request.

    Attributes
    ----------
    produce
        Sends the body; the headers are sent.
    abandon
        Called in place of ``produce`` if the client is gone before the headers are sent; it
        returns once nothing uses the connection any more.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    produce: Callable[[ClientConnection], None]
    abandon: Callable[[], None] = _nothing_to_abandon


Answer = Response | StreamedResponse | Sentinel
DataHandler = Callable[[Request, RequestFaults], Answer]
ControlHandler = Callable[[Request], Response]


def json_response(
    status: int, content: object, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Return an answer with a JSON body."""
    return Response(status, msgspec.json.encode(content), (JSON_CONTENT, *headers))


def error_response(
    status: int, message: str, kind: str, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Return an error in OpenAI's format."""
    content = {"error": {"message": message, "type": kind, "param": None, "code": None}}
    return json_response(status, content, headers)


def dispatch(
    handlers: Mapping[tuple[str, str], Callable[[Request], Response]], request: Request
) -> Response:
    """Answer by the handler of a method and a path; 404 if there is none."""
    handler = handlers.get((request.method, request.path))
    if handler is None:
        message = f"no {request.method} {request.path} here; see docs/INTERFACES.md"
        return error_response(404, message, "invalid_request_error")
    return handler(request)


def not_run_response(reason: str) -> Response:
    """Return a refusal that promises that nothing was executed."""
    return error_response(503, reason, "not_run", NOT_RUN_HEADERS)


class _Gateway(wsgi.Gateway_10):
    """Hands the connection of the request to the application."""

    def get_environ(self) -> dict[str, object]:
        environ = super().get_environ()
        environ[_CONNECTION_KEY] = ClientConnection(self.req)
        return environ


class _Server(wsgi.Server):
    """Cheroot's server, quiet about connections that end early."""

    keep_alive_conn_limit = LISTEN_BACKLOG
    expiration_interval = STOP_CHECK_INTERVAL_S
    crashed = False
    """Whether the listening socket was shut down; accepting fails until the server has ended."""

    @staticmethod
    def bind_socket(socket_: socket.socket, bind_addr: tuple[str, int]) -> socket.socket:
        """Bind, and let a successor bind the port while old connections linger.

        Cheroot leaves ``SO_REUSEADDR`` off for port 0, because the system might then choose
        a port in use; set after ``bind`` it has no part in that choice.
        """
        socket_.bind(bind_addr)
        socket_.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return socket_

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        if level >= logging.ERROR and not self.crashed:
            super().error_log(msg, level, traceback)


class StandinServer:
    """Serves one stand-in.

    Parameters
    ----------
    is_control
        Whether a path belongs to the control requests.
    error_after_effect
        Whether an injected 500 is answered after the handler has run.
    """

    def __init__(
        self,
        address: str,
        port: int,
        switches: FaultSwitches,
        handle_data: DataHandler,
        handle_control: ControlHandler,
        is_control: Callable[[str], bool],
        threads: int = DEFAULT_THREADS,
        error_after_effect: bool = False,
    ) -> None:
        self._switches = switches
        self._handle_data = handle_data
        self._handle_control = handle_control
        self._is_control = is_control
        self._error_after_effect = error_after_effect
        self._data_threads = threading.Semaphore(threads - CONTROL_THREADS)
        self._in_service: set[ClientConnection] = set()
        self._in_service_lock = threading.Lock()
        self._server = _Server(
            (address, port),
            self._application,
            numthreads=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=KEEP_ALIVE_TIMEOUT_S,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        switches.subscribe(self._close_if_down)
        self._thread = threading.Thread(target=self._server.serve, name="accept", daemon=True)
        self._crashing: threading.Thread | None = None

    @property
    def port(self) -> int:
        """The port in use; known once ``start`` has returned."""
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Bind, and serve on threads of its own."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Close all connections and end all threads."""
        self._switches.stop()
        self._abort_in_service()
        self._server.stop()
        self._thread.join()

    def crash(self) -> None:
        """Refuse connections from now on and break all there are, as when the process ends.

        Returns at once; may be called by a handler.
        """
        self._server.crashed = True
        # A listening socket that is shut down refuses; closing it takes the server's own thread.
        with contextlib.suppress(OSError):
            self._server.socket.shutdown(socket.SHUT_RDWR)
        self._abort_in_service()
        self._crashing = threading.Thread(target=self.stop, name="crash", daemon=True)
        self._crashing.start()

    def has_ended(self) -> bool:
        """Return whether a crash has freed the port."""
        return self._crashing is not None and not self._crashing.is_alive()

    def _application(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request, as a WSGI application."""
        request = Request(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=dict(parse_qsl(environ["QUERY_STRING"])),
            body=environ["wsgi.input"].read(),
            environ=environ,
            connection=environ[_CONNECTION_KEY],
        )
        if request.path == FAULTS_PATH:
            return _send(request, self._faults(request), start_response)
        if self._is_control(request.path):
            return _send(request, self._handle_control(request), start_response)
        if not self._data_threads.acquire(blocking=False):
            refusal = not_run_response("all threads are busy; try again later")
            return _send(request, refusal, start_response)
        return self._data_request(request, start_response)

    def _data_request(self, request: Request, start_response: Callable) -> Iterator[bytes]:
        """Answer one request of the data plane; its thread is given back at the end."""
        with self._in_service_lock:
            self._in_service.add(request.connection)
        try:
            faults = self._switches.draw()
            answer = self._faulted_answer(request, faults)
            if isinstance(answer, Response) and faults.truncate:
                self._switches.count("truncate")
                yield from _send_truncated(request, answer, faults.cut_at, start_response)
            else:
                yield from _send(request, answer, start_response)
        finally:
            with self._in_service_lock:
                self._in_service.discard(request.connection)
            self._data_threads.release()

    def _faulted_answer(self, request: Request, faults: RequestFaults) -> Answer:
        """Bring the faults about that come before and after the handler."""
        early = self._fault_before_effect(request, faults)
        if early is not None:
            return early
        answer = self._handle_data(request, faults)
        if faults.lose_answer and isinstance(answer, Response):
            self._switches.count("lose_answer")
            return CLOSED
        if faults.error and self._error_after_effect:
            self._switches.count("error")
            return error_response(500, "injected error after the run", "injected")
        return answer

    def _fault_before_effect(self, request: Request, faults: RequestFaults) -> Answer | None:
        self._switches.wait_while_frozen()
        if self._switches.current().down:
            self._switches.count("down")
            return CLOSED
        if faults.drop:
            self._switches.count("drop")
            return CLOSED
        if self._switches.current().refuse:
            self._switches.count("refuse")
            return not_run_response("refused by the fault switch; switch it off")
        if faults.error and not self._error_after_effect:
            self._switches.count("error")
            return error_response(500, "injected error", "injected")
        if faults.delay_s:
            self._switches.count("delay")
            self._switches.wait(faults.delay_s)
        return None

    def _faults(self, request: Request) -> Response:
        """Show or replace the fault switches."""
        if request.method == "POST":
            try:
                faults = msgspec.json.decode(request.body or b"{}", type=Faults)
            except msgspec.DecodeError as error:
                return error_response(400, f"not fault switches: {error}", "invalid_request_error")
            self._switches.replace(faults)
        content = {"faults": self._switches.current(), "injected": self._switches.injected()}
        return json_response(200, content)

    def _close_if_down(self, faults: Faults) -> None:
        if faults.down:
            self._abort_in_service()

    def _abort_in_service(self) -> None:
        with self._in_service_lock:
            connections = tuple(self._in_service)
        for connection in connections:
            connection.break_off()


def _send(request: Request, answer: Answer, start_response: Callable) -> Iterator[bytes]:
    """Send an answer, or close the connection."""
    if answer is CLOSED:
        request.connection.abort()
        start_response(_status_line(500), [])
        return
    if isinstance(answer, Response):
        length = ("Content-Length", str(len(answer.body)))
        start_response(_status_line(answer.status), [*answer.headers, length])
        yield answer.body
        return
    start_response(_status_line(answer.status), list(answer.headers))
    try:
        request.connection.send_headers()
    except OSError:
        answer.abandon()
        raise
    answer.produce(request.connection)


def _send_truncated(
    request: Request, answer: Response, cut_at: float, start_response: Callable
) -> Iterator[bytes]:
    """Send the headers and a part of the body, then close the connection."""
    length = ("Content-Length", str(len(answer.body)))
    start_response(_status_line(answer.status), [*answer.headers, length])
    request.connection.send_headers()
    yield answer.body[: int(len(answer.body) * cut_at)]
    request.connection.abort()


def _status_line(status: int) -> str:
    return f"{status} {HTTPStatus(status).phrase}"
