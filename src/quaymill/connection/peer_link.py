"""Client of the internal protocol: JSON lines over TCP, one reply per request.

A connection carries one request at a time, so a reply cannot reach another request. A
connection whose reply did not arrive in time is closed and never reused. The client keeps a
few idle connections to each peer; the server is in ``peer_server``.

Every message is a tagged ``msgspec.Struct``; the tag field is ``kind``.
"""

from __future__ import annotations

import socket
import time
from typing import ClassVar, Protocol, TypeVar, Union

import attrs
import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.idle_connections import IdleConnections
from quaymill.connection.readable import is_readable

MAX_LINE_BYTES = 64 * 1024 * 1024
MAX_IDLE_CONNECTIONS_PER_PEER = 8
IDLE_CONNECTION_LIFETIME_S = 30.0
REUSED_CONNECTION_TIMEOUT_SHARE = 0.5
"""Share of the timeout for the reply to a repeatable message on a reused connection."""
MIN_TIMEOUT_S = 0.001
CONNECT_TIMEOUT_S = 1.0


class PeerMessage(msgspec.Struct, tag_field="kind", tag=True, frozen=True):
    """Base of every message between the processes of the system.

    Attributes
    ----------
    repeatable
        Class attribute: whether a peer may safely receive the same message twice.
    """

    repeatable: ClassVar[bool] = False


class PeerRefusal(PeerMessage, frozen=True):
    """The peer refused the request and did nothing.

    Attributes
    ----------
    retry_after_s
        Time after which the sender may retry with this peer; 0 if unknown.
    """

    reason: str
    retry_after_s: float = 0.0


class PeerUnreachable(msgspec.Struct, frozen=True):
    """The request was not sent, so the peer cannot have acted on it."""

    endpoint: Endpoint
    reason: str


class PeerNoReply(msgspec.Struct, frozen=True):
    """The request may have been sent but got no reply; the peer may have acted on it."""

    endpoint: Endpoint
    reason: str


PeerFailure = PeerUnreachable | PeerNoReply | PeerRefusal
Reply = TypeVar("Reply", bound=PeerMessage)


class CallObserver(Protocol):
    """Is notified of every call to a peer; must be fast and thread-safe."""

    def refuses(self, endpoint: Endpoint) -> bool:
        """Return whether calls to this peer are to fail immediately, without being sent."""

    def began(self, endpoint: Endpoint) -> int:
        """Record the start of a call; return the token to pass to ``ended``."""

    def ended(self, token: int, reply: object) -> None:
        """Record the result of a call: a reply, a ``PeerFailure``, or ``None`` if it raised."""


@attrs.frozen
class _Received:
    """A received line and the connection that it was received on."""

    connection: socket.socket
    line: bytes


class PeerClient:
    """Sends messages to peers over a small connection pool per peer.

    Parameters
    ----------
    observer
        Is notified of every call, and may make a call fail immediately.
    """

    def __init__(self, link_filter: LinkFilter, observer: CallObserver | None = None) -> None:
        self._link_filter = link_filter
        self._observer = observer
        # An idle connection is readable if the peer has closed it or sent unexpected bytes.
        self._idle = IdleConnections[socket.socket](
            MAX_IDLE_CONNECTIONS_PER_PEER,
            lambda connection: not is_readable(connection, 0.0),
            lambda connection: connection.close(),
        )
        self._decoders: dict[type, msgspec.json.Decoder] = {}

    def call(
        self, endpoint: Endpoint, message: PeerMessage, reply_type: type[Reply], timeout_s: float
    ) -> Reply | PeerFailure:
        """Send one message and wait for its reply.

        Returns
        -------
        The reply, or a failure: ``PeerUnreachable`` if nothing was sent, ``PeerRefusal`` if
        the peer did nothing, ``PeerNoReply`` if the peer may have acted.
        """
        observer = self._observer
        if observer is None:
            return self._call(endpoint, message, reply_type, timeout_s)
        if observer.refuses(endpoint):
            return PeerUnreachable(endpoint, "its zone cannot be reached")
        token = observer.began(endpoint)
        reply: Reply | PeerFailure | None = None
        try:
            reply = self._call(endpoint, message, reply_type, timeout_s)
            return reply
        finally:
            observer.ended(token, reply)

    def close(self) -> None:
        """Close all idle connections."""
        self._idle.close()

    def _call(
        self, endpoint: Endpoint, message: PeerMessage, reply_type: type[Reply], timeout_s: float
    ) -> Reply | PeerFailure:
        deadline = boot_clock.now() + timeout_s
        if self._link_filter.blocks(endpoint):
            time.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            return PeerUnreachable(endpoint, "blocked by the link filter")
        received = self._exchange(endpoint, message, timeout_s, deadline)
        if not isinstance(received, _Received):
            return received
        return self._decode(endpoint, received, reply_type)

    def _exchange(
        self, endpoint: Endpoint, message: PeerMessage, timeout_s: float, deadline: float
    ) -> _Received | PeerFailure:
        """Send a message and return the received line.

        A reused connection may no longer respond. The reply to a repeatable message is therefore
        awaited on it for only a share of the timeout, and the message is then sent again on a new
        connection.
        """
        line = msgspec.json.encode(message) + b"\n"
        reused = self._idle.take(endpoint, IDLE_CONNECTION_LIFETIME_S)
        if reused is not None:
            may_repeat = type(message).repeatable
            reply_timeout_s = timeout_s * (REUSED_CONNECTION_TIMEOUT_SHARE if may_repeat else 1.0)
            reply = self._send(endpoint, reused, line, boot_clock.now() + reply_timeout_s)
            if isinstance(reply, _Received):
                return reply
            # The other idle connections to this peer have probably failed as well.
            self._idle.drop(endpoint)
            log_message(
                "peer:kept_connection_failed",
                peer=str(endpoint),
                kind=type(message).__struct_config__.tag,
                reason=reply.reason,
            )
            if not may_repeat:
                return reply
        try:
            connection = self._connect(endpoint, deadline - boot_clock.now())
        except OSError as error:
            if reused is not None:
                return PeerNoReply(endpoint, f"no reply, and cannot reconnect: {error}")
            return PeerUnreachable(endpoint, f"cannot connect: {error}")
        return self._send(endpoint, connection, line, deadline)

    def _send(
        self, endpoint: Endpoint, connection: socket.socket, line: bytes, deadline: float
    ) -> _Received | PeerNoReply:
        """Send a line and wait for the reply; close the connection if there is none."""
        started_at = boot_clock.now()
        try:
            connection.settimeout(max(deadline - started_at, MIN_TIMEOUT_S))
            connection.sendall(line)
            reply = _read_line(connection, deadline)
        except OSError as error:
            connection.close()
            waited_s = boot_clock.now() - started_at
            return PeerNoReply(endpoint, f"no reply within {waited_s:.2f} s: {error}")
        if self._link_filter.blocks(endpoint):
            connection.close()
            return PeerNoReply(endpoint, "the link was blocked before the reply arrived")
        return _Received(connection, reply)

    def _connect(self, endpoint: Endpoint, timeout_s: float) -> socket.socket:
        connection = socket.create_connection(
            (endpoint.host, endpoint.port),
            timeout=max(min(timeout_s, CONNECT_TIMEOUT_S), MIN_TIMEOUT_S),
        )
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _decode(
        self, endpoint: Endpoint, received: _Received, reply_type: type[Reply]
    ) -> Reply | PeerFailure:
        """Decode a reply; keep the connection for reuse only if the reply is valid."""
        decoder = self._decoders.get(reply_type)
        if decoder is None:
            decoder = msgspec.json.Decoder(Union[reply_type, PeerRefusal])  # noqa: UP007
            self._decoders[reply_type] = decoder
        try:
            reply = decoder.decode(received.line)
        except msgspec.MsgspecError as error:
            received.connection.close()
            return PeerNoReply(endpoint, f"invalid reply: {error}")
        self._idle.put(endpoint, received.connection, IDLE_CONNECTION_LIFETIME_S)
        return reply


def _read_line(connection: socket.socket, deadline: float) -> bytes:
    """Read until the bytes end with a newline; raises ``OSError`` at the deadline or stream end."""
    chunks: list[bytes] = []
    received_bytes = 0
    while True:
        remaining_s = deadline - boot_clock.now()
        if remaining_s <= 0:
            raise TimeoutError("deadline exceeded")
        connection.settimeout(remaining_s)
        chunk = connection.recv(65536)
        if not chunk:
            raise ConnectionError("the peer closed the connection")
        chunks.append(chunk)
        if chunk.endswith(b"\n"):
            return b"".join(chunks)
        received_bytes += len(chunk)
        if received_bytes > MAX_LINE_BYTES:
            raise ConnectionError(f"the reply is longer than {MAX_LINE_BYTES} bytes")
