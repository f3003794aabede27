"""Gateways warn each other of replicas that fail.

A replica that accepts requests and answers none looks idle, and draws the next request of every
gateway that has not met it yet. With many gateways, each would lose one before it knows; with
warnings two of them lose one.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.replica_warnings import Warned, WarnOfReplicas
from quaymill.process.replica_set.replica import Replica
from quaymill.process.replica_set.table import ReplicaTable

CHECK_INTERVAL_S = 0.2
REPEAT_AFTER_S = 1.0
CALL_TIMEOUT_S = 0.3
MAX_FAILING_SHARE = 0.25
"""With more of a service's replicas failing, this gateway is likelier at fault than they are."""


class ReplicaWarnings:
    """Sends warnings of this gateway, and takes those of others.

    Parameters
    ----------
    other_gateways
        Returns the live gateways but this one.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        table: ReplicaTable,
        peer_client: PeerClient,
        peer_server: PeerServer,
        other_gateways: Callable[[], tuple[Member, ...]],
    ) -> None:
        self._name = name
        self._zone = zone
        self._table = table
        self._peer_client = peer_client
        self._other_gateways = other_gateways
        self._warned_at_by_replica: dict[str, float] = {}
        self._stopping = threading.Event()
        peer_server.register(WarnOfReplicas, self.take)

    def start(self) -> None:
        """Begin to warn others."""
        threading.Thread(target=self._run, name="replica-warnings", daemon=True).start()

    def stop(self) -> None:
        """Warn no more."""
        self._stopping.set()

    def take(self, message: WarnOfReplicas) -> Warned:
        """Note the warning of another gateway."""
        for replica_id in message.replica_ids:
            replica = self._table.get(replica_id)
            if replica is not None:
                replica.take_warning(message.gateway, message.zone)
        return Warned()

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            replica_ids = self._due()
            if replica_ids:
                self._warn(replica_ids)

    def _due(self) -> tuple[str, ...]:
        """Return the replicas to warn of now."""
        replicas = [replica for replica in self._table.replicas() if not replica.leaving]
        failing = [replica for replica in replicas if replica.fails_here]
        if not failing:
            return ()
        listed = Counter(replica.entry.service for replica in replicas)
        failing_by_service = Counter(replica.entry.service for replica in failing)
        now = boot_clock.now()
        due = [
            replica.id
            for replica in failing
            if self._is_credible(replica, failing_by_service, listed)
            and now - self._warned_at_by_replica.get(replica.id, -REPEAT_AFTER_S) >= REPEAT_AFTER_S
        ]
        recent = {
            replica_id: at
            for replica_id, at in self._warned_at_by_replica.items()
            if now - at < REPEAT_AFTER_S
        }
        self._warned_at_by_replica = recent | dict.fromkeys(due, now)
        return tuple(due)

    def _is_credible(self, replica: Replica, failing: Counter[str], listed: Counter[str]) -> bool:
        service = replica.entry.service
        return failing[service] <= max(1.0, MAX_FAILING_SHARE * listed[service])

    def _warn(self, replica_ids: tuple[str, ...]) -> None:
        others = self._other_gateways()
        log_message("replica:warned", replicas=replica_ids, gateways=len(others))
        message = WarnOfReplicas(self._name, self._zone, replica_ids)
        for member in others:
            if self._stopping.is_set():
                return
            self._peer_client.call(member.peer, message, Warned, CALL_TIMEOUT_S)
