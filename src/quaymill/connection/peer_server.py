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
"""Longest wait for a peer to accept more of its reply. No call waits longer for one."""
READ_BLOCK_BYTES = 256 * 1024
SPARE_WORKERS = 2
"""Idle threads that are kept."""
MAX_WORKERS = 128
"""Maximum number of messages handled at once. Handlers may wait for other peers for seconds.
Further messages stay unread in their connections, and their senders may time out."""
POLL_TIMEOUT_S = 5.0
"""Interval at which an idle thread closes idle connections and checks whether it should end."""
_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT

Handler = Callable[[Any], PeerMessage]


@attrs.define(eq=False)
class _Served:
    """A peer's connection.

    Attributes
    ----------
    received
        Bytes received that have not been taken as lines yet.
    searched
        Number of bytes at their start that are known to hold no newline.
    quiet_since
        Monotonic time at which the connection last became idle.
    """

    connection: socket.socket
    received: bytearray = attrs.field(factory=bytearray)
    searched: int = 0
    quiet_since: float = 0.0

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

    def next_line(self) -> bytes | None:
        """Remove and return the first complete line; ``None`` if there is none."""
        end = self.received.find(b"\n", self.searched)
        if end < 0:
            self.searched = len(self.received)
            return None
        line = bytes(self.received[: end + 1])
        del self.received[: end + 1]
        self.searched = 0
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
        self._connections: set[_Served] = set()
        self._resting_by_fd: dict[int, _Served] = {}
        self._workers = 0
        self._waiting = 0
        self._stopping = False

    def register(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Handle messages of ``message_type`` with ``handler``; call this before ``start``."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Start accepting peers."""
        # A union of one type is that type, which msgspec decodes without a tag; so add a second.
        self._decoder = msgspec.json.Decoder(Union[tuple([*self._handlers, PeerRefusal])])  # noqa: UP007
        threading.Thread(target=self._accept_peers, name="peer-accept", daemon=True).start()
        self._start_worker()

    def stop(self) -> None:
        """Close the listener and every connection."""
        with self._lock:
            self._stopping = True
            resting, self._resting_by_fd = self._resting_by_fd, {}
            in_service = self._connections - set(resting.values())
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._wake_writer.close()
        for served in resting.values():
            self._close(served)
        for served in in_service:
            with contextlib.suppress(OSError):
                served.connection.shutdown(socket.SHUT_RDWR)

    def _accept_peers(self) -> None:
        while not self._stopping:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.setblocking(False)
            served = _Served(connection)
            with self._lock:
                self._connections.add(served)
                self._poll.register(connection, 0)
            self._put_to_rest(served)

    def _put_to_rest(self, served: _Served) -> None:
        """Register an idle connection, so that a thread is woken when a message arrives."""
        with self._lock:
            if not self._stopping:
                served.quiet_since = boot_clock.now()
                descriptor = served.connection.fileno()
                self._resting_by_fd[descriptor] = served
                self._poll.modify(descriptor, _EVENTS)
                return
        self._close(served)

    def _start_worker(self) -> None:
        self._workers += 1
        threading.Thread(target=self._work, name="peer", daemon=True).start()

    def _work(self) -> None:
        """Serve one connection after another until this thread is no longer needed."""
        while (served := self._next_ready()) is not None:
            self._serve(served)
        with self._lock:
            self._workers -= 1

    def _next_ready(self) -> _Served | None:
        """Wait for a readable connection; ``None`` if this thread is to end."""
        with self._lock:
            self._waiting += 1
        served = None
        while served is None and not self._stopping:
            events = self._poll.poll(POLL_TIMEOUT_S, 1)
            with self._lock:
                if events:
                    # The connection may have been closed as idle in the meantime.
                    served = self._resting_by_fd.pop(events[0][0], None)
                elif self._waiting > SPARE_WORKERS:
                    break
            if not events:
                self._close_quiet()
        with self._lock:
            self._waiting -= 1
            nobody_waits = not self._waiting and self._workers < MAX_WORKERS
            if served is not None and nobody_waits and not self._stopping:
                self._start_worker()
        return served

    def _close_quiet(self) -> None:
        """Close the connections that have been idle for ``SERVED_CONNECTION_LIFETIME_S``."""
        horizon = boot_clock.now() - SERVED_CONNECTION_LIFETIME_S
        with self._lock:
            quiet = [
                descriptor
                for descriptor, served in self._resting_by_fd.items()
                if served.quiet_since < horizon
            ]
            closing = [self._resting_by_fd.pop(descriptor) for descriptor in quiet]
        for served in closing:
            self._close(served)

    def _serve(self, served: _Served) -> None:
        """Answer the messages received on a connection, then mark it idle or close it."""
        try:
            stays_open = self._answer_lines(served)
        except OSError:
            stays_open = False  # The peer has disconnected, so it cannot be notified.
        except Exception as error:  # An unencodable reply must not end the thread.
            log_message("peer:reply_error", error=repr(error))
            stays_open = False
        if stays_open:
            self._put_to_rest(served)
        else:
            self._close(served)

    def _answer_lines(self, served: _Served) -> bool:
        """Answer all complete lines; return whether the connection can stay open.

        Raises ``OSError`` if the connection fails.
        """
        may_go_on = served.receive()
        while (line := served.next_line()) is not None:
            reply = self._answer(line)
            if reply is None:
                return False
            served.send(msgspec.json.encode(reply) + b"\n")
        if len(served.received) > MAX_LINE_BYTES:
            log_message("peer:line_too_long", received_bytes=len(served.received))
            return False
        return may_go_on

    def _close(self, served: _Served) -> None:
        with self._lock:
            self._connections.discard(served)
        # Closing a socket also removes it from the epoll object.
        served.connection.close()

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
