"""Server of the internal protocol: a small pool of threads for many, mostly idle connections.

All idle connections are registered with one epoll object, which every idle thread polls. The
thread that is woken for a connection reads it, answers its messages and registers it again, so
that no message is handed from one thread to another. When the last idle thread takes a
connection, a new thread is started; threads that are idle for too long end. The number of
threads therefore depends on the messages handled at the same time, not on the number of peers.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading
from collections.abc import Callable
from typing import Any, Union

import attrs
import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.peer_link import (
    IDLE_CONNECTION_LIFETIME_S,
    MAX_LINE_BYTES,
    PeerMessage,
    PeerRefusal,
)

ACCEPT_BACKLOG = 512
"""Maximum number of connections waiting to be accepted; all peers may connect at once."""
SERVED_CONNECTION_LIFETIME_S = 2 * IDLE_CONNECTION_LIFETIME_S
"""Idle time after which a connection is closed; the peer has stopped using it before that."""
SEND_TIMEOUT_S = 10.0
"""Maximum time for sending a reply; a peer that does not accept it in time is disconnected."""
READ_BLOCK_BYTES = 256 * 1024
MIN_IDLE_WORKERS = 2
"""Number of idle threads that do not end: one may be reading a message that another follows."""
MAX_WORKERS = 128
"""Maximum number of messages handled at once. Handlers may wait for other peers for seconds.
Further messages stay unread in their connections, and their senders may time out."""
POLL_TIMEOUT_S = 5.0
"""Interval at which an idle thread closes idle connections and checks whether it should end."""
_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT

Handler = Callable[[Any], PeerMessage]


@attrs.define(eq=False)
class _PeerConnection:
    """A peer's connection.

    Attributes
    ----------
    received
        Bytes received that have not been taken as lines yet.
    searched_bytes
        Number of bytes at the start of ``received`` that are known to contain no newline.
    idle_since
        Monotonic time at which the connection last became idle.
    """

    connection: socket.socket
    received: bytearray = attrs.field(factory=bytearray)
    searched_bytes: int = 0
    idle_since: float = 0.0

    def receive(self) -> bool:
        """Read all available bytes; return whether the peer may send more."""
        while True:
            try:
                block = self.connection.recv(READ_BLOCK_BYTES)
            except BlockingIOError:
                return True
            self.received += block
            if len(block) < READ_BLOCK_BYTES:
                return bool(block)
            if len(self.received) > MAX_LINE_BYTES:
                # The sender may be faster than this loop, which would then never end.
                return True

    def next_line(self) -> bytes | None:
        """Remove and return the first complete line; ``None`` if there is none."""
        end = self.received.find(b"\n", self.searched_bytes)
        if end < 0:
            self.searched_bytes = len(self.received)
            return None
        line = bytes(self.received[: end + 1])
        del self.received[: end + 1]
        self.searched_bytes = 0
        return line

    def send(self, line: bytes) -> None:
        """Send a reply; raises ``OSError`` if the peer does not accept it in time."""
        try:
            sent = self.connection.send(line)
        except BlockingIOError:
            sent = 0
        if sent < len(line):
            self.connection.settimeout(SEND_TIMEOUT_S)
            self.connection.sendall(line[sent:])
            self.connection.setblocking(False)


class PeerServer:
    """Accepts peers on a TCP port and passes each message to the handler for its type.

    Parameters
    ----------
    endpoint
        Address to listen on; with port 0 the attribute ``endpoint`` holds the port chosen.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self._listener = socket.create_server(
            (endpoint.host, endpoint.port), backlog=ACCEPT_BACKLOG, reuse_port=False
        )
        self.endpoint = Endpoint(endpoint.host, self._listener.getsockname()[1])
        self._handlers: dict[type, Handler] = {}
        self._decoder: msgspec.json.Decoder | None = None
        self._poll = select.epoll()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._poll.register(self._wake_reader, select.EPOLLIN)
        self._lock = threading.Lock()
        self._connections: set[_PeerConnection] = set()
        self._idle_by_fd: dict[int, _PeerConnection] = {}
        self._workers = 0
        self._idle_workers = 0
        self._stopping = False

    def register(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Handle messages of ``message_type`` with ``handler``; call this before ``start``."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Start accepting peers."""
        # msgspec requires the tag only in a union of several types, so a second type is added.
        self._decoder = msgspec.json.Decoder(Union[tuple([*self._handlers, PeerRefusal])])  # noqa: UP007
        threading.Thread(target=self._accept_peers, name="peer-accept", daemon=True).start()
        self._start_worker()

    def stop(self) -> None:
        """Close the listener and every connection."""
        with self._lock:
            self._stopping = True
            idle, self._idle_by_fd = self._idle_by_fd, {}
            active = self._connections - set(idle.values())
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._wake_writer.close()
        for peer in idle.values():
            self._close(peer)
        for peer in active:
            with contextlib.suppress(OSError):
                peer.connection.shutdown(socket.SHUT_RDWR)

    def _accept_peers(self) -> None:
        while not self._stopping:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.setblocking(False)
            peer = _PeerConnection(connection)
            with self._lock:
                self._connections.add(peer)
                self._poll.register(connection, 0)
            self._register_idle(peer)

    def _register_idle(self, peer: _PeerConnection) -> None:
        """Register an idle connection, so that a thread is woken when a message arrives."""
        with self._lock:
            if not self._stopping:
                peer.idle_since = boot_clock.now()
                descriptor = peer.connection.fileno()
                self._idle_by_fd[descriptor] = peer
                self._poll.modify(descriptor, _EVENTS)
                return
        self._close(peer)

    def _start_worker(self) -> None:
        self._workers += 1
        threading.Thread(target=self._work, name="peer", daemon=True).start()

    def _work(self) -> None:
        """Serve one connection after another until this thread is no longer needed."""
        while (peer := self._next_ready()) is not None:
            self._serve(peer)
        with self._lock:
            self._workers -= 1

    def _next_ready(self) -> _PeerConnection | None:
        """Wait for a readable connection; ``None`` if this thread is to end."""
        with self._lock:
            self._idle_workers += 1
        peer = None
        while peer is None and not self._stopping:
            ready = self._poll.poll(POLL_TIMEOUT_S, 1)
            with self._lock:
                if ready:
                    # The connection may have been closed as idle in the meantime.
                    peer = self._idle_by_fd.pop(ready[0][0], None)
                elif self._idle_workers > MIN_IDLE_WORKERS:
                    break
            if not ready:
                self._close_idle()
        with self._lock:
            self._idle_workers -= 1
            needs_worker = not self._idle_workers and self._workers < MAX_WORKERS
            if peer is not None and needs_worker and not self._stopping:
                self._start_worker()
        return peer

    def _close_idle(self) -> None:
        """Close the connections that have been idle for ``SERVED_CONNECTION_LIFETIME_S``."""
        oldest_idle_since = boot_clock.now() - SERVED_CONNECTION_LIFETIME_S
        with self._lock:
            expired_descriptors = [
                descriptor
                for descriptor, peer in self._idle_by_fd.items()
                if peer.idle_since < oldest_idle_since
            ]
            closing = [self._idle_by_fd.pop(descriptor) for descriptor in expired_descriptors]
        for peer in closing:
            self._close(peer)

    def _serve(self, peer: _PeerConnection) -> None:
        """Answer the messages received on a connection, then mark it idle or close it."""
        try:
            stays_open = self._answer_lines(peer)
        except OSError:
            stays_open = False  # The peer has disconnected, so it cannot be notified.
        except Exception as error:  # An unencodable reply must not end the thread.
            log_message("peer:reply_error", error=repr(error))
            stays_open = False
        if stays_open:
            self._register_idle(peer)
        else:
            self._close(peer)

    def _answer_lines(self, peer: _PeerConnection) -> bool:
        """Answer all complete lines; return whether the connection can stay open.

        Raises ``OSError`` if the connection fails.
        """
        can_receive_more = peer.receive()
        while (line := peer.next_line()) is not None:
            reply = self._answer(line)
            if reply is None:
                return False
            peer.send(msgspec.json.encode(reply) + b"\n")
        if len(peer.received) > MAX_LINE_BYTES:
            log_message("peer:line_too_long", received_bytes=len(peer.received))
            return False
        return can_receive_more

    def _close(self, peer: _PeerConnection) -> None:
        with self._lock:
            self._connections.discard(peer)
        # Closing a socket also removes it from the epoll object.
        peer.connection.close()

    def _answer(self, line: bytes) -> PeerMessage | None:
        """Return the reply to a line; ``None`` if the handler raised an exception."""
        try:
            message = self._decoder.decode(line)
        except msgspec.MsgspecError as error:
            return PeerRefusal(reason=f"invalid message: {error}")
        handler = self._handlers.get(type(message))
        if handler is None:
            return PeerRefusal(
                reason=f"no handler for {type(message).__struct_config__.tag} on this node"
            )
        try:
            return handler(message)
        except Exception as error:  # A bug in a handler must not stop the server.
            log_message(
                "peer:handler_error", kind=type(message).__struct_config__.tag, error=repr(error)
            )
            # A refusal would promise that nothing was done, which is not known here.
            return None
