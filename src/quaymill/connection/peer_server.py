"""Answers peers: a few threads for many connections, most of which rest.

All resting connections lie in one poll set, which every waiting thread polls. The thread that
gets a connection reads what has come, answers it, and puts the connection back. As the last
waiting thread takes one, another is started; threads that find nothing to do end. Threads grow
with the messages that are answered at the same time, not with the peers: with a thread for each
connection a fleet of 195 nodes had 15,900, a storage node 170 to 211 of them.

Answering needs no hand-over between threads: the thread that is woken reads by itself.
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
"""Connections that wait to be accepted: all peers of some hundred may connect at once."""
SERVED_CONNECTION_LIFETIME_S = 2 * IDLE_CONNECTION_LIFETIME_S
"""After this a served connection on which nothing came is closed: its peer has dropped it."""
SEND_TIMEOUT_S = 10.0
"""A peer that takes nothing of its answer for so long is gone; no call waits for longer."""
READ_BLOCK_BYTES = 256 * 1024
SPARE_WORKERS = 2
"""Threads that wait although nothing comes: one may read a message that is followed by another."""
MAX_WORKERS = 128
"""Messages answered at once. Some handlers call other peers and wait for them for seconds; what
is beyond waits in its connection, and the caller's time-out holds."""
POLL_TIMEOUT_S = 5.0
"""Time after which a waiting thread looks for connections to close, and whether it is needed."""
_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT

Handler = Callable[[Any], PeerMessage]


@attrs.define(eq=False)
class _Served:
    """A peer's connection.

    Attributes
    ----------
    received
        What has come of a line that is not whole.
    searched
        Bytes of it that hold no end of a line.
    quiet_since
        Monotonic time at which it was last put to rest.
    """

    connection: socket.socket
    received: bytearray = attrs.field(factory=bytearray)
    searched: int = 0
    quiet_since: float = 0.0

    def receive(self) -> bool:
        """Take what has come; return whether more may come."""
        while True:
            try:
                block = self.connection.recv(READ_BLOCK_BYTES)
            except BlockingIOError:
                return True
            self.received += block
            if len(block) < READ_BLOCK_BYTES:
                return bool(block)

    def next_line(self) -> bytes | None:
        """Take a whole line from what was received; ``None`` if there is none."""
        end = self.received.find(b"\n", self.searched)
        if end < 0:
            self.searched = len(self.received)
            return None
        line = bytes(self.received[: end + 1])
        del self.received[: end + 1]
        self.searched = 0
        return line

    def send(self, line: bytes) -> None:
        """Send an answer; raises ``OSError`` if the peer does not take it."""
        try:
            sent = self.connection.send(line)
        except BlockingIOError:
            sent = 0
        if sent < len(line):
            self.connection.settimeout(SEND_TIMEOUT_S)
            self.connection.sendall(line[sent:])
            self.connection.setblocking(False)


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
        """Answer messages of ``message_type`` with ``handler``; call before ``start``."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Begin to accept peers."""
        # A union with one member is the member itself; the padding keeps the tag decoding on.
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
        """Let the next thread that polls have a connection once something comes on it."""
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
        """Answer one connection after another, until there are threads to spare."""
        while (served := self._next_ready()) is not None:
            self._serve(served)
        with self._lock:
            self._workers -= 1

    def _next_ready(self) -> _Served | None:
        """Wait for a connection that has something to read; ``None`` if this thread is to end."""
        with self._lock:
            self._waiting += 1
        served = None
        while served is None and not self._stopping:
            events = self._poll.poll(POLL_TIMEOUT_S, 1)
            with self._lock:
                if events:
                    # One whose time was over meanwhile is not there any more.
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
        """Close the connections on which nothing has come for long."""
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
        """Answer what has come on a connection, then put it to rest or close it."""
        try:
            stays_open = self._answer_lines(served)
        except OSError:
            stays_open = False  # The peer went away; it learns nothing from this connection.
        except Exception as error:  # A reply that cannot be sent must not end this thread.
            log_message("peer:reply_error", error=repr(error))
            stays_open = False
        if stays_open:
            self._put_to_rest(served)
        else:
            self._close(served)

    def _answer_lines(self, served: _Served) -> bool:
        """Return whether the connection can be used on; raises ``OSError`` if it broke."""
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
        # Closing takes it out of the poll set.
        served.connection.close()

    def _answer(self, line: bytes) -> PeerMessage | None:
        """Return the reply; ``None`` if the handler failed midway, perhaps after an effect."""
        try:
            message = self._decoder.decode(line)
        except msgspec.MsgspecError as error:
            return PeerRefusal(reason=f"message not understood: {error}")
        handler = self._handlers.get(type(message))
        if handler is None:
            return PeerRefusal(
                reason=f"no handler for {type(message).__struct_config__.tag} on this node"
            )
        try:
            return handler(message)
        except Exception as error:  # A bug in one handler must not end the other peers' service.
            log_message(
                "peer:handler_error", kind=type(message).__struct_config__.tag, error=repr(error)
            )
            # A refusal would promise that nothing was done; without a reply the peer knows less.
            return None
