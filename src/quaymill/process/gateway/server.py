"""The HTTP server under the gateway: cheroot, with what the gateway needs to know."""

from __future__ import annotations

import logging
import socket

from cheroot import server, wsgi
from eliot import log_message

from quaymill.connection.endpoint import Endpoint

HTTP_REQUEST_KEY = "quaymill.http_request"
LISTEN_BACKLOG = 512
SOCKET_TIMEOUT_S = 15.0
SEND_BUFFER_BYTES = 128 * 1024
STOP_TIMEOUT_S = 2.0
MAX_HEADER_BYTES = 64 * 1024
MAX_KEPT_CONNECTIONS = 4096
SERVER_NAME = "quaymill"


class _HeaderReader(server.HeaderReader):
    """Refuses a header block that begins with a continuation line; cheroot fails at it."""

    def __call__(self, rfile, hdict=None):
        try:
            return super().__call__(rfile, hdict)
        except UnboundLocalError as error:
            raise ValueError("Illegal continuation line.") from error


class _HttpRequest(server.HTTPRequest):
    header_reader = _HeaderReader()

    def read_request_line(self) -> bool:
        """Refuse a target that is no URL; cheroot fails at some of them."""
        try:
            return super().read_request_line()
        except ValueError:
            self.simple_response("400 Bad Request", "Malformed Request-URI")
            return False


class _HttpConnection(server.HTTPConnection):
    RequestHandlerClass = _HttpRequest


class _Gateway(wsgi.Gateway_10):
    """Hands cheroot's request to the application: its socket, and whether to keep it."""

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[HTTP_REQUEST_KEY] = self.req
        return environ


class HttpServer(wsgi.Server):
    """Cheroot's server; errors go to the log as one line each, without tracebacks."""

    ConnectionClass = _HttpConnection

    def __init__(self, endpoint: Endpoint, application, threads: int) -> None:
        super().__init__(
            (endpoint.host, endpoint.port),
            application,
            numthreads=threads,
            server_name=SERVER_NAME,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self.gateway = _Gateway
        self.keep_alive_conn_limit = MAX_KEPT_CONNECTIONS
        self.max_request_header_size = MAX_HEADER_BYTES

    def prepare(self) -> None:
        """Bind and listen; accepted connections inherit the bound on unsent bytes."""
        super().prepare()
        # A caller that reads slowly holds back its engine stream, not memory of the kernel.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Log what the server could not handle."""
        log_message("gateway:http_error", message=msg, level=logging.getLevelName(level))
