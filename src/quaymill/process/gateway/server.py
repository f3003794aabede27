"""The HTTP server under the gateway: cheroot, with what the gateway needs to know."""

from __future__ import annotations

import logging

from cheroot import wsgi
from eliot import log_message

from quaymill.connection.endpoint import Endpoint

CONNECTION_KEY = "quaymill.connection"
LISTEN_BACKLOG = 512
SOCKET_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 2.0
MAX_HEADER_BYTES = 64 * 1024
MAX_KEPT_CONNECTIONS = 4096
SERVER_NAME = "quaymill"


class _ConnectionGateway(wsgi.Gateway_10):
    """Hands the caller's socket to the application, which watches for its end."""

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


class HttpServer(wsgi.Server):
    """Cheroot's server; errors go to the log as one line each, without tracebacks."""

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
        self.gateway = _ConnectionGateway
        self.keep_alive_conn_limit = MAX_KEPT_CONNECTIONS
        self.max_request_header_size = MAX_HEADER_BYTES

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Log what the server could not handle."""
        log_message("gateway:http_error", message=msg, level=logging.getLevelName(level))
