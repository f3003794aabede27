"""The internal protocol: one JSON document a line over TCP, one reply for each request.

A connection carries one request at a time, so answers cannot cross. A connection whose
reply did not arrive in time is closed and never used again. The server runs one thread
for each connection, and the client keeps a few idle connections to each peer.

Every message is a tagged ``msgspec.Struct``; the tag field is ``kind``.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, TypeVar, Union

import msgspec
from eliot import log_message

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.readable import is_readable

MAX_LINE_BYTES = 64 * 1024 * 1024
MAX_IDLE_CONNECTIONS_PER_PEER = 8
IDLE_CONNECTION_LIFETIME_S = 30.0
CONNECT_TIMEOUT_S = 1.0
ACCEPT_BACKLOG = 128


class PeerMessage(msgspec.Struct, tag_field="kind", tag=True, frozen=True):
    """Base of every message between the processes of the system."""


class PeerRefusal(PeerMessage, frozen=True):
    """The peer understood the request, did nothing, and says why."""

    reason: str


class PeerUnreachable(msgspec.Struct, frozen=True):
    """The request was not sent: the peer cannot have acted on it."""

    endpoint: Endpoint
    reason: str


class PeerNoReply(msgspec.Struct, frozen=True):
    """The request may have been sent and no reply came: the peer may have acted on it."""

    endpoint: Endpoint
    reason: str


PeerFailure = PeerUnreachable | PeerNoReply | PeerRefusal
Reply = TypeVar("Reply", bound=PeerMessage)
Handler = Callable[[Any], PeerMessage]


class PeerServer:
    """Accepts peers on a TCP port and hands each message to the handler of its type.

    Parameters
    ----------
    endpoint
        Where to listen; port 0 takes a free port, read back from ``endpoint``.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self._listener = socket.create_server(
            (endpoint.host, endpoint.port), backlog=ACCEPT_BACKLOG, reuse_port=False
        )
        self.endpoint = Endpoint(endpoint.host, self._listener.getsockname()[1])
        self._handlers: dict[type, Handler] = {}
        self._decoder: msgspec.json.Decoder | None = None
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._stopping = False

    def register(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Answer messages of ``message_type`` with ``handler``; call before ``start``."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Begin to accept peers."""
        # A union with one member is the member itself; the padding keeps the tag decoding on.
        self._decoder = msgspec.json.Decoder(Union[tuple([*self._handlers, PeerRefusal])])  # noqa: UP007
        threading.Thread(target=self._accept_peers, name="peer-accept", daemon=True).start()

    def stop(self) -> None:
        """Close the listener and every connection."""
        self._stopping = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept_peers(self) -> None:
        while not self._stopping:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(
                target=self._serve_connection, args=(connection,), name="peer", daemon=True
            ).start()

    def _serve_connection(self, connection: socket.socket) -> None:
        try:
            with connection, connection.makefile("rb") as lines:
                while line := lines.readline(MAX_LINE_BYTES):
                    reply = self._answer(line)
                    if reply is None:
                        return
                    connection.sendall(msgspec.json.encode(reply) + b"\n")
        except OSError:
            pass  # The peer went away; it learns nothing from this connection any more.
        finally:
            with self._lock:
                self._connections.discard(connection)

    def _answer(self, line: bytes) -> PeerMessage | None:
        """Return the reply; ``None`` if the handler failed midway, perhaps after an effect."""
        try:
            message = self._decoder.decode(line)
        except msgspec.MsgspecError as error:
            return PeerRefusal(reason=f"message not understood: {error}")
        handler = self._handlers.get(type(message))
        if handler is None:
            return PeerRefusal(reason=f"no handler for {type(message).__name__} on this node")
        try:
            return handler(message)
        except Exception as error:  # A bug in one handler must not end the other peers' service.
            log_message("peer:handler_error", kind=type(message).__name__, error=repr(error))
            # A refusal would promise that nothing was done; without a reply the peer knows less.
            return None


class _IdleConnection(msgspec.Struct):
    connection: socket.socket
    idle_since: float


class PeerClient:
    """Sends messages to peers over a small pool of connections for each of them."""

    def __init__(self, link_filter: LinkFilter) -> None:
        self._link_filter = link_filter
        self._lock = threading.Lock()
        self._idle: dict[Endpoint, list[_IdleConnection]] = {}
        self._decoders: dict[type, msgspec.json.Decoder] = {}
        self._next_sweep = 0.0

    def call(
        self, endpoint: Endpoint, message: PeerMessage, reply_type: type[Reply], timeout_s: float
    ) -> Reply | PeerFailure:
        """Send one message and wait for its reply.

        Returns
        -------
        The reply, or a failure: ``PeerUnreachable`` if nothing was sent, ``PeerRefusal`` if
        the peer did nothing, ``PeerNoReply`` if the peer may have acted.
        """
        deadline = time.monotonic() + timeout_s
        if self._link_filter.blocks(endpoint):
            time.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            return PeerUnreachable(endpoint, "the link is cut by the fault switch")
        line = msgspec.json.encode(message) + b"\n"
        try:
            connection = self._take_connection(endpoint, timeout_s)
        except OSError as error:
            return PeerUnreachable(endpoint, f"cannot connect: {error}")
        try:
            connection.settimeout(max(deadline - time.monotonic(), 0.001))
            connection.sendall(line)
            reply_line = _read_line(connection, deadline)
        except OSError as error:
            connection.close()
            return PeerNoReply(endpoint, f"no reply within {timeout_s} s: {error}")
        if self._link_filter.blocks(endpoint):
            connection.close()
            return PeerNoReply(endpoint, "the link was cut while the request was under way")
        return self._decode(endpoint, connection, reply_line, reply_type)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            pools, self._idle = self._idle, {}
        for pool in pools.values():
            for idle in pool:
                idle.connection.close()

    def _decode(
        self,
        endpoint: Endpoint,
        connection: socket.socket,
        line: bytes,
        reply_type: type[Reply],
    ) -> Reply | PeerFailure:
        decoder = self._decoders.get(reply_type)
        if decoder is None:
            decoder = msgspec.json.Decoder(Union[reply_type, PeerRefusal])  # noqa: UP007
            self._decoders[reply_type] = decoder
        try:
            reply = decoder.decode(line)
        except msgspec.MsgspecError as error:
            connection.close()
            return PeerNoReply(endpoint, f"reply not understood: {error}")
        self._keep_connection(endpoint, connection)
        return reply

    def _take_connection(self, endpoint: Endpoint, timeout_s: float) -> socket.socket:
        while True:
            with self._lock:
                pool = self._idle.get(endpoint)
                idle = pool.pop() if pool else None
            if idle is None:
                break
            expired = time.monotonic() - idle.idle_since > IDLE_CONNECTION_LIFETIME_S
            # A readable idle connection holds an end of stream: the peer has closed it.
            if not expired and not is_readable(idle.connection, 0.0):
                return idle.connection
            idle.connection.close()
        connection = socket.create_connection(
            (endpoint.host, endpoint.port), timeout=min(timeout_s, CONNECT_TIMEOUT_S)
        )
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _keep_connection(self, endpoint: Endpoint, connection: socket.socket) -> None:
        now = time.monotonic()
        with self._lock:
            closing = self._take_expired(now)
            pool = self._idle.setdefault(endpoint, [])
            if len(pool) < MAX_IDLE_CONNECTIONS_PER_PEER:
                pool.append(_IdleConnection(connection, now))
            else:
                closing.append(connection)
        for closed in closing:
            closed.close()

    def _take_expired(self, now: float) -> list[socket.socket]:
        """Take the expired connections of all peers out; the caller holds the lock.

        Peers that are called once and never again would otherwise keep a connection, and a
        thread at the other end, for good: a full mesh in the end.
        """
        if now < self._next_sweep:
            return []
        self._next_sweep = now + IDLE_CONNECTION_LIFETIME_S
        expired = []
        for endpoint, pool in list(self._idle.items()):
            kept = [idle for idle in pool if now - idle.idle_since <= IDLE_CONNECTION_LIFETIME_S]
            expired += [idle.connection for idle in pool if idle not in kept]
            if kept:
                self._idle[endpoint] = kept
            else:
                del self._idle[endpoint]
        return expired


def _read_line(connection: socket.socket, deadline: float) -> bytes:
    """Read up to the newline; raises ``OSError`` at the deadline or the end of the stream."""
    chunks: list[bytes] = []
    while True:
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("deadline passed")
        connection.settimeout(remaining_s)
        chunk = connection.recv(65536)
        if not chunk:
            raise ConnectionError("the peer closed the connection")
        chunks.append(chunk)
        if chunk.endswith(b"\n"):
            return b"".join(chunks)
