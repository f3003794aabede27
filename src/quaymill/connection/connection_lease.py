"""The right of one exchange to use and to close a connection.

A connection carries one exchange after the other. Other threads may cancel an exchange at any
time, also after its connection has passed to the next exchange. Each exchange therefore holds a
lease, whose states change under a lock; once a lease has ended, it cannot close the connection.

========== ============================================= =========== =========== ========
state      the connection is                             ``cancel``  ``release`` ``close``
========== ============================================= =========== =========== ========
HELD       used by the exchange                          CANCELLED   RELEASED    CLOSED
CANCELLED  shut down; the exchange has yet to notice     --          --          CLOSED
RELEASED   idle or used by a later exchange              --          --          --
CLOSED     closed                                        --          --          --
========== ============================================= =========== =========== ========

``cancel`` may be called by any thread, the other two only by the thread of the exchange.
"""

from __future__ import annotations

import contextlib
import enum
import socket
import threading

from quaymill.connection.strict_http import StrictHTTPConnection


class LeaseState(enum.Enum):
    """States of a lease; see the table in this module's description."""

    HELD = "held"
    CANCELLED = "cancelled"
    RELEASED = "released"
    CLOSED = "closed"


_PREDECESSORS = {
    LeaseState.CANCELLED: {LeaseState.HELD},
    LeaseState.RELEASED: {LeaseState.HELD},
    LeaseState.CLOSED: {LeaseState.HELD, LeaseState.CANCELLED},
}


class ConnectionLease:
    """One exchange's lease of an open connection.

    Attributes
    ----------
    number
        Which exchange of the connection holds the lease; the first one is 1.
    """

    def __init__(self, connection: StrictHTTPConnection) -> None:
        connection.exchange_count += 1
        self.number = connection.exchange_count
        self._connection = connection
        # ``http.client`` drops its reference while an answer is still being read.
        self._socket = connection.sock
        self._lock = threading.Lock()
        self._state = LeaseState.HELD

    @property
    def state(self) -> LeaseState:
        """The current state; other threads may cancel the lease at any time."""
        return self._state

    @property
    def connection_number(self) -> int:
        """Number of the connection in the log lines of this process."""
        return self._connection.number

    def cancel(self) -> bool:
        """Shut the connection down, so that a blocked read or write fails at once.

        Returns
        -------
        Whether the lease was held. Otherwise nothing was done.
        """
        with self._lock:
            if not self._enter(LeaseState.CANCELLED):
                return False
            self._shut_down()
            return True

    def release(self) -> bool:
        """Give up the connection, so that another exchange may lease it.

        Returns
        -------
        Whether the connection may be used again; not after a cancel, and not if it is closed.
        """
        with self._lock:
            return self._connection.sock is not None and self._enter(LeaseState.RELEASED)

    def close(self) -> None:
        """Close the connection, unless it has been released."""
        with self._lock:
            if not self._enter(LeaseState.CLOSED):
                return
            self._shut_down()
            self._connection.close()
            with contextlib.suppress(OSError):
                self._socket.close()

    def _enter(self, state: LeaseState) -> bool:
        """Change the state if the current one allows it; the lock must be held."""
        if self._state not in _PREDECESSORS[state]:
            return False
        self._state = state
        return True

    def _shut_down(self) -> None:
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
