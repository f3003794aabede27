"""HTTP connections to replicas, each of which carries one request at a time.

``NotRun`` is returned only if no byte of the request was sent: the link is blocked, or the
connection could not be opened. Once a byte may have been sent, the failure is
``OutcomeUnknown``. A connection that is abandoned in the middle of an answer is closed and never
reused, so a late answer cannot reach another request. The ``ConnectionLease`` of an exchange keeps
it from closing the connection of a later one.
"""

from __future__ import annotations

import contextlib
import math
import socket
import threading
import time
from collections.abc import Callable
from http.client import HTTPException

import attrs
import msgspec
from eliot import log_message
from urllib3._collections import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError, ReadTimeoutError
from urllib3.response import BaseHTTPResponse

from quaymill import boot_clock
from quaymill.connection.bounded_reader import AnswerPart, BoundedReader, PartTooLongError
from quaymill.connection.connection_lease import ConnectionLease, LeaseState
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.idle_connections import IdleConnections
from quaymill.connection.readable import is_readable
from quaymill.connection.replica_answer import BodyFraming, read_framing
from quaymill.connection.strict_http import StrictHTTPConnection
from quaymill.request.outcome import NotRun, OutcomeUnknown

CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 5.0
IDLE_CONNECTION_LIFETIME_S = 20.0
IDLE_CHECK_INTERVAL_S = 0.5
MAX_IDLE_CONNECTIONS_PER_REPLICA = 64
READ_BLOCK_BYTES = 64 * 1024
MAX_LATE_BYTES = 1024 * 1024
"""Maximum number of bytes that are read after the time for an answer has passed.

An answer that had arrived by then is complete, although this process has not read it in time."""
MAX_LATE_READ_S = 0.5
"""Maximum time for reading them."""
RETRY_AFTER_UNREACHABLE_S = 1.0
PROBE_CONNECT_TIMEOUT_S = 0.1
"""A machine without a listening process refuses the connection within a round trip of some
milliseconds; no response for this long means a lost packet, a full accept queue or a cut link."""
PROBE_ANSWER_TIMEOUT_S = 0.25
PROBE_CLOSE_TIMEOUT_S = 0.02
"""A proxy that accepts connections for a stopped process closes them within this time."""

_READ_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class ReplicaRequest(msgspec.Struct, frozen=True):
    """An HTTP request to a replica.

    Attributes
    ----------
    id
        Identifies the request in log lines; empty if it has no id.
    """

    method: str
    path: str
    headers: dict[str, str] | HTTPHeaderDict
    body: bytes = b""
    id: str = ""


@attrs.frozen
class EndlessAnswer:
    """An answer of which a part was too long, or did not end in time although bytes kept coming.

    Attributes
    ----------
    received_bytes
        Size of what was received.
    took_s
        Time since the request was sent.
    """

    request_id: str
    endpoint: Endpoint
    part: AnswerPart
    received_bytes: int = 0
    took_s: float = 0.0


class Exchange:
    """A request that has been sent, and its answer.

    The states are sent -> answered (``read_head``) -> ended (``release`` after the whole
    body, or ``abandon`` at any time). After its end, ``cancel`` and ``abandon`` do nothing.

    Attributes
    ----------
    lease
        The right to use the connection, which ends with the exchange.
    reused
        Whether the connection has carried an earlier request; the replica may then have closed it
        just before this one was sent.
    """

    def __init__(
        self,
        pool: ReplicaConnections,
        endpoint: Endpoint,
        connection: StrictHTTPConnection,
        reused: bool,
        request_id: str = "",
    ) -> None:
        self._request_id = request_id
        self.lease = ConnectionLease(connection)
        self.endpoint = endpoint
        self.reused = reused
        self._pool = pool
        self._connection = connection
        self._socket = connection.sock
        self._response: BaseHTTPResponse | None = None
        self._reader: BoundedReader | None = None
        self._bounds = connection.read_bounds
        self._began = boot_clock.now()
        self._received_before = self._bounds.received_bytes
        self._lookahead_error: Exception | None = None
        self._read_timeout_s = 0.0
        self._late_bytes = 0
        self._late_since = math.inf

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
        """Headers of the answer; repeated headers are not merged."""
        return self._response.headers

    @property
    def framing(self) -> BodyFraming:
        """How the end of the answer's body is marked."""
        return read_framing(self._response.status, self._response.headers)

    def header(self, name: str) -> str:
        """Return a header of the answer; empty if it is missing."""
        return self._response.headers.get(name, "")

    def wait_readable(self, timeout_s: float) -> bool:
        """Return whether the replica sends data or closes the connection within the timeout."""
        return is_readable(self._socket, timeout_s)

    @property
    def descriptor(self) -> int:
        """File descriptor of the connection; negative once it is closed."""
        return self._socket.fileno()

    def is_read_ready(self) -> bool:
        """Return whether a read of the body returns at once, with data, its end or an error.

        This may leave the socket non-blocking until the next read.
        """
        if is_readable(self._socket, 0.0):
            return True
        # urllib3 may have buffered bytes, which polling the socket does not show.
        try:
            return bool(self._reader.look_ahead())
        except (OSError, ValueError) as error:
            # The system reports an error only once; the next read would find the end of the body.
            self._lookahead_error = error
            return True

    def read_head(self, timeout_s: float) -> OutcomeUnknown | None:
        """Read the status line and the headers of the answer."""
        self.set_read_timeout(timeout_s)
        self._bounds.end_after(timeout_s)
        try:
            self._response = self._connection.getresponse()
        except TimeoutError as error:
            self._record_unfinished_part(self._received_before)
            self.abandon_unresponsive()
            return self._no_answer(error)
        except _READ_ERRORS as error:
            self.abandon()
            return self._broken_answer(error)
        self._reader = self._response._fp.fp
        if self.framing is BodyFraming.INVALID:
            self.abandon()
            return self._no_answer("the length or the transfer coding of the answer is invalid")
        return None

    def set_read_timeout(self, timeout_s: float) -> None:
        """Set the time within which each following ``read_block`` must return.

        If it is zero or negative, ``read_block`` returns only what has arrived, up to
        ``MAX_LATE_BYTES`` in total and for ``MAX_LATE_READ_S``.
        """
        self._read_timeout_s = timeout_s

    def read_block(self) -> bytes | OutcomeUnknown:
        """Read the next available part of the body; empty at its regular end."""
        if self._pool.link_filter.blocks(self.endpoint):
            self.abandon()
            return self._no_answer("the link was blocked")
        if self._lookahead_error is not None:
            self.abandon()
            return self._no_answer(self._lookahead_error, connection_closed=True)
        received_before = self._bounds.received_bytes
        self._bounds.end_after(self._read_timeout_s)
        try:
            block = self._response.read1(READ_BLOCK_BYTES, decode_content=False)
        except (TimeoutError, ReadTimeoutError) as error:
            self._record_unfinished_part(received_before)
            self.abandon()
            return self._no_answer(error)
        except _READ_ERRORS as error:
            self.abandon()
            return self._broken_answer(error)
        if not block and self._was_closed_here():
            self.abandon()
            return self._no_answer("this process has closed the connection")
        if self._is_too_late(len(block)):
            return self.abandon_endless(AnswerPart.BODY, "went on after its time had passed")
        return block

    def _is_too_late(self, received_bytes: int) -> bool:
        """Count a block that was read after its time; return whether to stop."""
        if self._read_timeout_s > 0:
            self._late_bytes = 0
            self._late_since = math.inf
            return False
        now = boot_clock.now()
        self._late_since = min(self._late_since, now)
        self._late_bytes += received_bytes
        return self._late_bytes > MAX_LATE_BYTES or now - self._late_since > MAX_LATE_READ_S

    def _was_closed_here(self) -> bool:
        """Return whether the body may have ended because this process closed the connection."""
        state = self.lease.state
        if state is LeaseState.CANCELLED:
            return self.framing is BodyFraming.CONNECTION_CLOSE
        return state is LeaseState.CLOSED

    def read_body(self, limit_bytes: int, deadline: float) -> bytes | OutcomeUnknown:
        """Read the whole body; a truncated or too long body is an ``OutcomeUnknown``."""
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
                return self.abandon_endless(AnswerPart.BODY, f"is longer than {limit_bytes} bytes")

    def release(self, keep_alive_s: float = IDLE_CONNECTION_LIFETIME_S) -> bool:
        """Make the connection available for other requests, after the whole body has been read.

        Parameters
        ----------
        keep_alive_s
            How long the connection may stay idle; the replica may have announced it.

        Returns
        -------
        Whether nothing came after the answer; otherwise the connection is closed.
        """
        self._response.close()
        if self._reader.has_surplus:
            self._pool.record_endless(self._fault(AnswerPart.SURPLUS))
            self.lease.close()
            return False
        if self.lease.release():
            self._pool.keep_idle(self.endpoint, self._connection, keep_alive_s)
        else:
            self.lease.close()
        return True

    def cancel(self) -> None:
        """Shut the connection down from another thread; a blocked read fails immediately.

        Does nothing once the exchange has ended, as the connection may carry another one by then.
        """
        state = self.lease.state.value
        if self.lease.cancel():
            state = "sent" if self._response is None else "answered"
        log_message(
            "exchange:cancelled",
            connection=self.lease.connection_number,
            exchange=self.lease.number,
            state=state,
        )

    def abandon(self) -> None:
        """Close the connection, which lets the replica notice that its answer is not needed.

        Does nothing after ``release``, as the connection may carry another exchange by then.
        """
        self.lease.close()
        if self._response is not None:
            with contextlib.suppress(*_READ_ERRORS):
                self._response.close()

    def abandon_unresponsive(self) -> None:
        """Close the connection after a timeout.

        If the connection was reused, the replica may be healthy and only its existing connections
        dead. All idle connections to the endpoint are then closed as well, so that the next
        request opens a new one.
        """
        self.abandon()
        if self.reused:
            self._pool.drop_idle(self.endpoint)

    def abandon_endless(self, part: AnswerPart, reason: str) -> OutcomeUnknown:
        """Close the connection, as a part of the answer is too long or goes on for too long."""
        self.abandon()
        self._pool.record_endless(self._fault(part))
        return self._no_answer(f"part '{part.value}' of the answer {reason}")

    def _broken_answer(self, error: Exception) -> OutcomeUnknown:
        cause = error if isinstance(error, PartTooLongError) else error.__cause__
        if isinstance(cause, PartTooLongError):
            self._pool.record_endless(self._fault(cause.part))
            return self._no_answer(cause)
        return self._no_answer(error, connection_closed=True)

    def _record_unfinished_part(self, received_before: int) -> None:
        """Record after a timeout that a part did not end although its bytes kept coming."""
        # A body may be slow: its bytes are read as they come.
        if self._bounds.inside_line and self._bounds.received_bytes > received_before:
            self._pool.record_endless(self._fault(self._bounds.part))

    def _fault(self, part: AnswerPart) -> EndlessAnswer:
        return EndlessAnswer(
            self._request_id,
            self.endpoint,
            part,
            self._bounds.received_bytes - self._received_before,
            boot_clock.now() - self._began,
        )

    def _no_answer(self, error: object, *, connection_closed: bool = False) -> OutcomeUnknown:
        return OutcomeUnknown(
            502,
            f"no complete answer from {self.endpoint}: {error}",
            "look up the request before you send it again, unless it may be repeated",
            connection_closed=connection_closed,
        )


class ReplicaConnections:
    """Sends requests to replicas and keeps idle connections to them.

    Parameters
    ----------
    connect_timeout_s
        Timeout for opening a connection.
    socket_options
        Options set on each new connection, in addition to the defaults of urllib3.
    """

    def __init__(
        self,
        link_filter: LinkFilter,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        socket_options: tuple[tuple[int, int, int], ...] = (),
    ) -> None:
        self.link_filter = link_filter
        self.opened_count = 0
        self._closed = threading.Event()
        self._idle_check: threading.Thread | None = None
        self._idle_check_lock = threading.Lock()
        self.endless_by_part: dict[AnswerPart, int] = dict.fromkeys(AnswerPart, 0)
        self._connect_timeout_s = connect_timeout_s
        self._socket_options = [*HTTPConnection.default_socket_options, *socket_options]
        # ``is_connected`` is false if the replica has closed the connection.
        self._idle = IdleConnections[StrictHTTPConnection](
            MAX_IDLE_CONNECTIONS_PER_REPLICA,
            lambda connection: connection.is_connected,
            lambda connection: connection.close(),
        )

    def send(
        self,
        endpoint: Endpoint,
        request: ReplicaRequest,
        *,
        new_connection: bool = False,
        max_idle_s: float = IDLE_CONNECTION_LIFETIME_S,
        send_timeout_s: float = SEND_TIMEOUT_S,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Exchange | NotRun | OutcomeUnknown:
        """Send one request.

        Parameters
        ----------
        new_connection
            Use a new connection. Needed for requests that must not be repeated, since a replica
            may close an idle connection while the request is being sent.
        max_idle_s
            Longest idle time of a connection that is reused.
        send_timeout_s
            Timeout for sending the request.
        may_send
            Asked once a new connection is open, as opening it may take long; nothing is sent if it
            returns ``False``.

        Returns
        -------
        The exchange; ``NotRun`` if nothing was sent; ``OutcomeUnknown`` if a part may have been.
        """
        if self.link_filter.blocks(endpoint):
            # Simulates a connection attempt that times out.
            time.sleep(CONNECT_TIMEOUT_S)
            return _unreachable(endpoint, "blocked by the link filter")
        connection = None if new_connection else self._idle.take(endpoint, max_idle_s)
        reused = connection is not None
        if connection is None:
            connection = self._new_connection(endpoint)
            try:
                connection.connect()
            except (HTTPError, OSError) as error:
                connection.close()
                return _unreachable(endpoint, str(error))
            self.opened_count += 1
            if not may_send():
                connection.close()
                return NotRun(503, f"{endpoint} must not get the request", "send it elsewhere")
        connection.timeout = send_timeout_s
        connection.sock.settimeout(send_timeout_s)
        exchange = Exchange(self, endpoint, connection, reused, request.id)
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
                f"the connection to {endpoint} failed while the request was sent: {error}",
                "look up the request before you send it again, unless it may be repeated",
            )
        return exchange

    def accepts_connections(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may be in service, judged by opening a connection.

        A timeout counts as in service, since it may be due to a lost packet. A connection on
        which the endpoint closes or sends data immediately counts as not in service.
        """
        try:
            address = (endpoint.host, endpoint.port)
            probe = socket.create_connection(address, timeout=PROBE_CONNECT_TIMEOUT_S)
        except TimeoutError:
            return True
        except OSError:
            return False
        with contextlib.closing(probe):
            return not is_readable(probe, PROBE_CLOSE_TIMEOUT_S)

    def responds(self, endpoint: Endpoint, request: ReplicaRequest) -> bool:
        """Return whether an endpoint answers a request, or refuses the connection.

        An accepted connection does not suffice, as a proxy on this side of a network partition may
        have accepted it. Any answer with a complete head counts, whatever its status.
        """
        connection = StrictHTTPConnection(
            endpoint.host, endpoint.port, timeout=PROBE_CONNECT_TIMEOUT_S
        )
        with contextlib.closing(connection):
            try:
                connection.connect()
                connection.request(
                    request.method,
                    request.path,
                    body=request.body,
                    headers=request.headers,
                    preload_content=False,
                )
                connection.read_bounds.end_after(PROBE_ANSWER_TIMEOUT_S)
                connection.getresponse().close()
                return True
            except NewConnectionError as error:
                return isinstance(error.__cause__, ConnectionRefusedError)
            except _READ_ERRORS:
                return False

    def _new_connection(self, endpoint: Endpoint) -> StrictHTTPConnection:
        return StrictHTTPConnection(
            endpoint.host,
            endpoint.port,
            timeout=self._connect_timeout_s,
            socket_options=self._socket_options,
        )

    def record_endless(self, answer: EndlessAnswer) -> None:
        """Count and log an answer that was given up because it did not end."""
        self.endless_by_part[answer.part] += 1
        log_message(
            "replica:endless_answer",
            request_id=answer.request_id,
            address=str(answer.endpoint),
            part=answer.part.value,
            received_bytes=answer.received_bytes,
            took_s=round(answer.took_s, 3),
        )

    def keep_idle(
        self, endpoint: Endpoint, connection: StrictHTTPConnection, keep_alive_s: float
    ) -> None:
        """Keep an idle connection for the next request; close it after ``close``."""
        self._idle.put(endpoint, connection, keep_alive_s)
        if self._closed.is_set():
            self._idle.close()
        elif self._idle_check is None:
            self._start_idle_check()

    def _start_idle_check(self) -> None:
        with self._idle_check_lock:
            if self._idle_check is not None:
                return
            check = threading.Thread(target=self._check_idle, name="idle-connections", daemon=True)
            # Without a thread to spare, the connection is used all the same.
            with contextlib.suppress(RuntimeError):
                check.start()
                self._idle_check = check

    def _check_idle(self) -> None:
        """Close idle connections that their replica has closed, or sends data on.

        Ends when no connection is idle, so that a pool that is no longer used keeps no thread.
        """
        while not self._closed.wait(IDLE_CHECK_INTERVAL_S):
            for endpoint, connection in self._idle.remove_readable(_descriptor_of):
                if _has_data(connection):
                    self.record_endless(EndlessAnswer("", endpoint, AnswerPart.SURPLUS))
                connection.close()
            if self._idle.is_empty and self._end_idle_check():
                return

    def _end_idle_check(self) -> bool:
        """Let the next idle connection start a new check; ``False`` if there is one already."""
        with self._idle_check_lock:
            # Looks again after the reset: ``keep_idle`` adds its connection before it reads the
            # attribute, so either it finds no check or the connection is found here.
            check, self._idle_check = self._idle_check, None
            if self._idle.is_empty:
                return True
            self._idle_check = check
            return False

    def drop_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint that has stopped or no longer responds."""
        self._idle.drop(endpoint)

    def close(self) -> None:
        """Close all idle connections."""
        self._closed.set()
        self._idle.close()


def _descriptor_of(connection: StrictHTTPConnection) -> int:
    return connection.sock.fileno()


def _has_data(connection: StrictHTTPConnection) -> bool:
    """Return whether data can be read, as opposed to the end of the connection."""
    try:
        return bool(connection.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def _unreachable(endpoint: Endpoint, reason: str) -> NotRun:
    return NotRun(
        503,
        f"{endpoint} cannot be reached: {reason}",
        "send the request again",
        RETRY_AFTER_UNREACHABLE_S,
    )
