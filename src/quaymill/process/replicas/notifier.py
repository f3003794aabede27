"""Notifies batch schedulers of online requests that are sent to their replicas.

A notice is sent at the same time as the request and does not delay it. A lost notice is not sent
again: the engine's priorities and the next load report then have the same effect, only later.
"""

from __future__ import annotations

import threading

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.load_messages import Noted, OnlineStarts
from quaymill.connection.peer_link import PeerClient
from quaymill.process.replicas.load_view import LoadView
from quaymill.process.replicas.replica import ReplicaView

NOTICE_TIMEOUT_S = 1.0


class _Mailbox:
    """Pending notices for one scheduler node."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._replicas: list[str] = []
        self._closed = False

    def put(self, replica: str) -> None:
        with self._changed:
            self._replicas.append(replica)
            self._changed.notify()

    def take_all(self) -> tuple[str, ...]:
        """Wait for notices and return them; return an empty tuple after ``close``."""
        with self._changed:
            self._changed.wait_for(lambda: self._closed or self._replicas)
            replicas, self._replicas = self._replicas, []
            return () if self._closed else tuple(replicas)

    def close(self) -> None:
        with self._changed:
            self._closed = True
            self._changed.notify()


class PreemptionNotifier:
    """Sends notices on one thread per scheduler node; pending notices are sent together."""

    def __init__(self, load_view: LoadView, peer_client: PeerClient) -> None:
        self._load_view = load_view
        self._peer_client = peer_client
        self._lock = threading.Lock()
        self._mailboxes: dict[Endpoint, _Mailbox] = {}

    def notify(self, replica: ReplicaView) -> None:
        """Queue a notice for one replica."""
        scheduler = self._load_view.scheduler_of(replica)
        if scheduler is not None:
            self._mailbox_of(scheduler.peer).put(replica.name)

    def stop(self) -> None:
        """Discard pending notices and end the threads."""
        with self._lock:
            for mailbox in self._mailboxes.values():
                mailbox.close()

    def _mailbox_of(self, peer: Endpoint) -> _Mailbox:
        with self._lock:
            mailbox = self._mailboxes.get(peer)
            if mailbox is None:
                mailbox = _Mailbox()
                self._mailboxes[peer] = mailbox
                threading.Thread(
                    target=self._serve_peer,
                    args=(peer, mailbox),
                    name=f"notice-{peer}",
                    daemon=True,
                ).start()
        return mailbox

    def _serve_peer(self, peer: Endpoint, mailbox: _Mailbox) -> None:
        while replicas := mailbox.take_all():
            self._peer_client.call(peer, OnlineStarts(replicas), Noted, NOTICE_TIMEOUT_S)
