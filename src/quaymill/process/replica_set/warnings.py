"""Exchanges warnings of failing replicas between gateways.

A replica that accepts requests but does not answer looks idle and attracts requests of all
gateways. Without warnings, every gateway would lose a request before it avoids the replica; with
warnings only a few of them do.
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
"""Interval at which the replicas are checked."""
REPEAT_AFTER_S = 1.0
"""Interval at which the warning of a replica is repeated while it fails."""
CALL_TIMEOUT_S = 0.3
MAX_FAILING_SHARE = 0.25
"""Share of a service's replicas. If more of them, and more than one, fail for this gateway, the
cause is probably the gateway itself, and no warning is sent."""


class ReplicaWarnings:
    """Sends warnings to the other gateways, and records those received from them.

    Parameters
    ----------
    other_gateways
        Returns the live gateways without this one.
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
        peer_server.register(WarnOfReplicas, self.receive_warnings)

    def start(self) -> None:
        """Start the thread that sends warnings."""
        threading.Thread(target=self._run, name="replica-warnings", daemon=True).start()

    def stop(self) -> None:
        """Stop sending warnings."""
        self._stopping.set()

    def receive_warnings(self, message: WarnOfReplicas) -> Warned:
        """Record the warnings of another gateway, and return the reply."""
        for replica_id in message.replica_ids:
            replica = self._table.get(replica_id)
            if replica is not None:
                replica.record_warning(message.gateway, message.zone)
        return Warned()

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            replica_ids = self._replicas_to_warn_of()
            if replica_ids:
                self._warn(replica_ids)

    def _replicas_to_warn_of(self) -> tuple[str, ...]:
        """Return the identities of the replicas to warn of now."""
        replicas = [replica for replica in self._table.replicas() if not replica.leaving]
        failing = [replica for replica in replicas if replica.fails_here]
        if not failing:
            return ()
        listed_by_service = Counter(replica.entry.service for replica in replicas)
        failing_by_service = Counter(replica.entry.service for replica in failing)
        now = boot_clock.now()
        due = [
            replica.id
            for replica in failing
            if self._is_credible(replica, failing_by_service, listed_by_service)
            and now - self._warned_at_by_replica.get(replica.id, -REPEAT_AFTER_S) >= REPEAT_AFTER_S
        ]
        recent = {
            replica_id: at
            for replica_id, at in self._warned_at_by_replica.items()
            if now - at < REPEAT_AFTER_S
        }
        self._warned_at_by_replica = recent | dict.fromkeys(due, now)
        return tuple(due)

    def _is_credible(
        self, replica: Replica, failing: Counter[str], listed_by_service: Counter[str]
    ) -> bool:
        service = replica.entry.service
        return failing[service] <= max(1.0, MAX_FAILING_SHARE * listed_by_service[service])

    def _warn(self, replica_ids: tuple[str, ...]) -> None:
        others = self._other_gateways()
        log_message("replica:warned", replicas=replica_ids, gateways=len(others))
        message = WarnOfReplicas(self._name, self._zone, replica_ids)
        for member in others:
            if self._stopping.is_set():
                return
            self._peer_client.call(member.peer, message, Warned, CALL_TIMEOUT_S)
