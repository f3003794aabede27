"""HTTP connections to replicas: one request at a time on each, with exact failure kinds.

``NotRun`` is returned only when no byte of the request left: the link is cut, or the
connection could not be made. Once a byte may have left, the failure is ``OutcomeUnknown``.
A connection that is given up in the middle of an answer is closed and never used again, so
a late answer cannot reach another request.
"""

from __future__ import annotations

import contextlib
import socket
import time
from http.client import HTTPException

import msgspec
from urllib3._collections import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.response import BaseHTTPResponse

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.idle_connections import IdleConnections
from quaymill.connection.readable import is_readable
from quaymill.request.outcome import NotRun, OutcomeUnknown

CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 5.0
IDLE_CONNECTION_LIFETIME_S = 20.0
MAX_IDLE_CONNECTIONS_PER_REPLICA = 64
READ_BLOCK_BYTES = 64 * 1024
RETRY_AFTER_UNREACHABLE_S = 1.0
PROBE_CONNECT_TIMEOUT_S = 0.1
"""A process that has ended is known by a reset, which comes within a round trip of some
milliseconds; nothing at all for so long tells of a lost packet or a full queue instead."""
PROBE_STAYS_OPEN_S = 0.02
"""A connection that something in between took for a process that has ended is closed sooner."""

_READ_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class ReplicaRequest(msgspec.Struct, frozen=True):
    """What is sent to a replica."""

    method: str
    path: str
    headers: dict[str, str] | HTTPHeaderDict
    body: bytes = b""


class Exchange:
    """One request that has been sent, and the answer to it.

    The states are sent -> answered (``read_head``) -> ended (``release`` after the whole
    body, or ``abandon`` at any time). ``reused`` tells that the connection had carried an
    earlier request, so that the replica may have closed it just as this one went out.
    """

    def __init__(
        self,
        pool: ReplicaConnections,
        endpoint: Endpoint,
        connection: HTTPConnection,
        reused: bool,
    ) -> None:
        self.endpoint = endpoint
        self.reused = reused
        self._pool = pool
        self._connection = connection
        self._socket = connection.sock
        self._response: BaseHTTPResponse | None = None

    @property
    def status(self) -> int:
        """Status code of the answer."""
        return self._response.status

    @property
    def reason(self) -> str:
        """Reason phrase of the answer."""
        return self._response.reason or ""

    @property
    def headers(self) -> HTTPHeaderDict:
        """Headers of the answer, repeated ones kept apart."""
        return self._response.headers

    def header(self, name: str) -> str:
        """Return a header of the answer; empty if it is not there."""
        return self._response.headers.get(name, "")

    def wait_readable(self, timeout_s: float) -> bool:
        """Return whether the replica has sent something, or closed, within the timeout."""
        return is_readable(self._socket, timeout_s)

    @property
    def descriptor(self) -> int:
        """Descriptor of the connection; negative once it is closed."""
        return self._socket.fileno()

    def has_arrived(self) -> bool:
        """Return whether a read of the body would not wait: there is more, its end, or an error.

        Leaves the connection without a timeout: ``set_read_timeout`` is to be called before the
        next read.
        """
        if is_readable(self._socket, 0.0):
            return True
        # The library's reader may hold bytes that it has read ahead; the socket does not show them.
        ahead = getattr(getattr(self._response, "_fp", None), "fp", None)
        if ahead is None:
            return True
        try:
            self._socket.setblocking(False)
            return bool(ahead.peek(1))
        except (OSError, ValueError):
            return True  # The read that follows meets the same error, and reports it.

    def read_head(self, timeout_s: float) -> OutcomeUnknown | None:
        """Read the status line and the headers of the answer."""
        # The library sets the socket's timeout anew from the connection's.
        self._connection.timeout = max(timeout_s, 0.001)
        try:
            self._response = self._connection.getresponse()
        except TimeoutError as error:
            self.give_up()
            return self._no_answer(error)
        except _READ_ERRORS as error:
            self.abandon()
            return self._no_answer(error, connection_closed=True)
        return None

    def set_read_timeout(self, timeout_s: float) -> None:
        """Bound the wait of each later read."""
        # A socket whose answer has been read to its end may be closed already.
        with contextlib.suppress(OSError):
            self._socket.settimeout(max(timeout_s, 0.001))

    def read_block(self) -> bytes | OutcomeUnknown:
        """Read what has arrived of the body; empty at its proper end."""
        if self._pool.link_filter.blocks(self.endpoint):
            self.abandon()
            return self._no_answer("the link was cut")
        try:
            return self._response.read1(READ_BLOCK_BYTES, decode_content=False)
        except _READ_ERRORS as error:
            self.abandon()
            timed_out = isinstance(error, TimeoutError | ReadTimeoutError)
            return self._no_answer(error, connection_closed=not timed_out)

    def read_body(self, limit_bytes: int, deadline: float) -> bytes | OutcomeUnknown:
        """Read the whole body; a body cut short or over the limit is no answer."""
        blocks: list[bytes] = []
        total_bytes = 0
        while True:
            self.set_read_timeout(deadline - boot_clock.now())
            block = self.read_block()
            if isinstance(block, OutcomeUnknown):
                return block
            if not block:
                return b"".join(blocks)
            blocks.append(block)
            total_bytes += len(block)
            if total_bytes > limit_bytes:
                self.abandon()
                return self._no_answer(f"the answer is longer than {limit_bytes} bytes")

    def release(self, keep_s: float = IDLE_CONNECTION_LIFETIME_S) -> None:
        """Give the connection back for other requests; the body has been read to its end.

        Parameters
        ----------
        keep_s
            How long the connection may lie idle; the other end may have told.
        """
        self._response.close()
        if self._connection.sock is not None:
            self._pool.keep(self.endpoint, self._connection, keep_s)

    def cancel(self) -> None:
        """End the connection from another thread; a read that waits fails at once."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def abandon(self) -> None:
        """Close the connection; the replica sees that its answer is not wanted any more."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        if self._response is not None:
            with contextlib.suppress(*_READ_ERRORS):
                self._response.close()
        self._connection.close()
        with contextlib.suppress(OSError):
            self._socket.close()

    def give_up(self) -> None:
        """Close the connection after nothing came for long; it may have gone silent for good.

        A connection that carried a request before is then no proof against the replica. What
        lies idle to the same endpoint is closed with it: the next request takes a new one.
        """
        self.abandon()
        if self.reused:
            self._pool.forget(self.endpoint)

    def _no_answer(self, error: object, *, connection_closed: bool = False) -> OutcomeUnknown:
        return OutcomeUnknown(
            502,
            f"no whole answer came from {self.endpoint}: {error}",
            "look up the request before you send it again, unless it may be repeated",
            connection_closed=connection_closed,
        )


class ReplicaConnections:
    """Sends requests to replicas and keeps idle connections to them.

    Parameters
    ----------
    connect_timeout_s
        Longest wait for a new connection to come up.
    socket_options
        Set on each new connection, beside the library's own.
    """

    def __init__(
        self,
        link_filter: LinkFilter,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        socket_options: tuple[tuple[int, int, int], ...] = (),
    ) -> None:
        self.link_filter = link_filter
        self.opened = 0
        self._connect_timeout_s = connect_timeout_s
        self._socket_options = [*HTTPConnection.default_socket_options, *socket_options]
        # A connection that holds an end of stream is not connected: the replica has closed it.
        self._idle = IdleConnections[HTTPConnection](
            MAX_IDLE_CONNECTIONS_PER_REPLICA,
            lambda connection: connection.is_connected,
            lambda connection: connection.close(),
        )

    def send(
        self,
        endpoint: Endpoint,
        request: ReplicaRequest,
        *,
        fresh: bool = False,
        max_idle_s: float = IDLE_CONNECTION_LIFETIME_S,
        send_timeout_s: float = SEND_TIMEOUT_S,
    ) -> Exchange | NotRun | OutcomeUnknown:
        """Send one request.

        Parameters
        ----------
        fresh
            Use a new connection. Needed where a repeat is not allowed: on an idle one the
            replica may close just as the request goes out.
        max_idle_s
            Use no connection that has been idle for longer.
        send_timeout_s
            Longest wait until the replica has taken the request.

        Returns
        -------
        The exchange; ``NotRun`` if nothing was sent; ``OutcomeUnknown`` if a part was.
        """
        if self.link_filter.blocks(endpoint):
            time.sleep(CONNECT_TIMEOUT_S)
            return _unreachable(endpoint, "the link is cut by the fault switch")
        connection = None if fresh else self._idle.take(endpoint, max_idle_s)
        reused = connection is not None
        if connection is None:
            connection = self._new_connection(endpoint)
            try:
                connection.connect()
            except (HTTPError, OSError) as error:
                connection.close()
                return _unreachable(endpoint, str(error))
            self.opened += 1
        connection.timeout = send_timeout_s
        connection.sock.settimeout(send_timeout_s)
        exchange = Exchange(self, endpoint, connection, reused)
        try:
            connection.request(
                request.method,
                request.path,
                body=request.body,
                headers=request.headers,
                preload_content=False,
                decode_content=False,
            )
        except (HTTPError, OSError) as error:
            exchange.abandon()
            return OutcomeUnknown(
                502,
                f"the connection to {endpoint} broke while the request was sent: {error}",
                "look up the request before you send it again, unless it may be repeated",
            )
        return exchange

    def takes_connection(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may be in service: it does not refuse a new connection.

        No answer at all counts as in service: a lost packet looks the same.
        """
        try:
            address = (endpoint.host, endpoint.port)
            probe = socket.create_connection(address, timeout=PROBE_CONNECT_TIMEOUT_S)
        except TimeoutError:
            return True
        except OSError:
            return False
        with contextlib.closing(probe):
            return not is_readable(probe, PROBE_STAYS_OPEN_S)

    def is_reached(self, endpoint: Endpoint) -> bool:
        """Return whether anything comes back from an endpoint, a refused connection included."""
        try:
            socket.create_connection(
                (endpoint.host, endpoint.port), timeout=PROBE_CONNECT_TIMEOUT_S
            ).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return True

    def _new_connection(self, endpoint: Endpoint) -> HTTPConnection:
        return HTTPConnection(
            endpoint.host,
            endpoint.port,
            timeout=self._connect_timeout_s,
            socket_options=self._socket_options,
        )

    def keep(self, endpoint: Endpoint, connection: HTTPConnection, keep_s: float) -> None:
        """Put a connection aside for the next request."""
        self._idle.put(endpoint, connection, keep_s)

    def forget(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint: its replica is gone, or they are silent."""
        self._idle.drop(endpoint)

    def close(self) -> None:
        """Close all idle connections."""
        self._idle.close()


def _unreachable(endpoint: Endpoint, reason: str) -> NotRun:
    return NotRun(
        503,
        f"{endpoint} cannot be reached: {reason}",
        "send the request again",
        RETRY_AFTER_UNREACHABLE_S,
    )
