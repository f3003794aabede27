"""Tells batch schedulers that online work goes to their replicas.

A notice is sent at the same time as the request, off its critical path. A lost notice is
covered by the engine's priorities and by the load report, so it is never repeated.
"""

from __future__ import annotations

import threading

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.load_messages import Noted, OnlineStarts
from quaymill.connection.peer_link import PeerClient
from quaymill.process.replicas.load_view import LoadView
from quaymill.process.replicas.replica import ReplicaView

NOTICE_TIMEOUT_S = 1.0


class PreemptionNotifier:
    """One thread for each scheduler node; notices that wait for it go out as one."""

    def __init__(self, load_view: LoadView, peer_client: PeerClient) -> None:
        self._load_view = load_view
        self._peer_client = peer_client
        self._changed = threading.Condition()
        self._waiting: dict[Endpoint, list[str]] = {}
        self._stopping = False

    def notify(self, replica: ReplicaView) -> None:
        """Send a notice for one replica, without waiting for it."""
        scheduler = self._load_view.scheduler_of(replica)
        if scheduler is None:
            return
        with self._changed:
            if scheduler.peer not in self._waiting:
                self._waiting[scheduler.peer] = []
                threading.Thread(
                    target=self._serve_peer,
                    args=(scheduler.peer,),
                    name=f"notice-{scheduler.name}",
                    daemon=True,
                ).start()
            self._waiting[scheduler.peer].append(replica.name)
            self._changed.notify_all()

    def stop(self) -> None:
        """Drop what waits and end the threads."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def _serve_peer(self, peer: Endpoint) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._stopping or self._waiting[peer])
                if self._stopping:
                    return
                replicas = tuple(self._waiting[peer])
                self._waiting[peer] = []
            self._peer_client.call(peer, OnlineStarts(replicas), Noted, NOTICE_TIMEOUT_S)
