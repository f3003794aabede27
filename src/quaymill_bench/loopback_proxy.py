"""A TCP proxy on loopback that disturbs the connections through it."""

from __future__ import annotations

import contextlib
import enum
import socket
import threading
import time

BLOCK_BYTES = 65536
BACKLOG = 128
POLL_S = 0.1


class LinkState(enum.Enum):
    """What the proxy does to connections."""

    OPEN = enum.auto()
    DELAYED = enum.auto()
    RESET = enum.auto()
    SILENT = enum.auto()
    ANSWERS_LATE = enum.auto()
    ANSWERS_LOST = enum.auto()


class LoopbackProxy:
    """Forwards connections to one target, from the loopback address that a client came from.

    States may be changed at any time: DELAYED holds each block back, RESET ends all
    connections and new ones at once, SILENT passes nothing on, ANSWERS_LATE holds only answers
    back, ANSWERS_LOST passes on only what clients send. ``silence_open`` makes those that are
    open silent for good, without a reset, while new ones work.
    """

    def __init__(self, target: tuple[str, int], address: str = "127.0.0.1") -> None:
        self._target = target
        self._listener = socket.create_server((address, 0), backlog=BACKLOG)
        self._state = LinkState.OPEN
        self._delay_s = 0.0
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self._silenced: set[socket.socket] = set()
        self._resetting: set[socket.socket] = set()
        self._stopping = False
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, name="proxy", daemon=True).start()

    def set_state(self, state: LinkState, delay_s: float = 0.0) -> None:
        """Disturb, or heal, all connections from now on."""
        self._delay_s = delay_s
        self._state = state
        if state is LinkState.RESET:
            self._reset_all()

    def silence_open(self) -> None:
        """Pass nothing on any more of the connections that are open now, in either direction."""
        with self._lock:
            self._silenced |= self._sockets

    def stop(self) -> None:
        """Close everything."""
        self._stopping = True
        self._listener.close()
        self._reset_all()

    def _reset_all(self) -> None:
        with self._lock:
            sockets = list(self._sockets)
            self._resetting |= self._sockets
        for one in sockets:
            _reset(one)

    def _accept(self) -> None:
        while not self._stopping:
            try:
                client, (host, _) = self._listener.accept()
            except OSError:
                return
            if self._state is LinkState.RESET:
                _reset(client)
                continue
            threading.Thread(target=self._serve, args=(client, host), daemon=True).start()

    def _serve(self, client: socket.socket, host: str) -> None:
        try:
            server = socket.create_connection(self._target, timeout=5.0, source_address=(host, 0))
        except OSError:
            _reset(client)
            return
        with self._lock:
            self._sockets |= {client, server}
        pairs = ((client, server, False), (server, client, True))
        for source, sink, is_answer in pairs:
            threading.Thread(
                target=self._pump, args=(source, sink, is_answer), name="proxy-pump", daemon=True
            ).start()

    def _pump(self, source: socket.socket, sink: socket.socket, is_answer: bool) -> None:
        try:
            while block := source.recv(BLOCK_BYTES):
                passes = self._wait_to_pass(is_answer)
                if passes and source not in self._silenced:
                    sink.sendall(block)
            # Nobody learns of the end of a connection that is silent.
            if source not in self._silenced and source not in self._resetting:
                with contextlib.suppress(OSError):
                    sink.shutdown(socket.SHUT_WR)
        except OSError:
            if source not in self._silenced:
                _reset(sink)
        finally:
            with self._lock:
                self._sockets.discard(source)
                self._silenced.discard(source)
                self._resetting.discard(source)
            if is_answer:
                source.close()

    def _wait_to_pass(self, is_answer: bool) -> bool:
        """Hold a block back as the state says; return whether it is passed on at all."""
        if self._state is LinkState.ANSWERS_LOST and is_answer:
            return False
        if self._state is LinkState.DELAYED or (
            self._state is LinkState.ANSWERS_LATE and is_answer
        ):
            time.sleep(self._delay_s)
        while self._state is LinkState.SILENT and not self._stopping:
            time.sleep(POLL_S)
        return True


def _reset(connection: socket.socket) -> None:
    """End a connection so that the other side sees a reset."""
    with contextlib.suppress(OSError):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    with contextlib.suppress(OSError):
        # Wakes the thread that reads; shutting down the other direction would send an end first.
        connection.shutdown(socket.SHUT_RD)
    connection.close()
