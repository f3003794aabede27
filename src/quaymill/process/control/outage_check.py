"""Decides whether replicas that are missing in a list are kept, as after an outage of the store.

A gateway that has not known of any read of the store for a while asks other gateways, as it may
have been suspended or partitioned while the store was available.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.control_messages import QueryStoreReads, StoreReads
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.control.read_history import ReadHistory
from quaymill.process.jobs.parallel_calls import call_members

GATEWAYS_ASKED = 3
CALL_TIMEOUT_S = 0.4


class OutageCheck:
    """What one gateway knows of reads of the store; safe to use from any thread.

    Parameters
    ----------
    other_gateways
        Returns the live gateways without this one.
    """

    def __init__(
        self,
        peer_client: PeerClient,
        peer_server: PeerServer,
        other_gateways: Callable[[], list[Member]],
    ) -> None:
        self._peer_client = peer_client
        self._other_gateways = other_gateways
        self._lock = threading.Lock()
        self._history = ReadHistory(boot_clock.now())
        peer_server.register(QueryStoreReads, self._answer_query)

    def record_read(self, at: float) -> None:
        """Record that a gateway read the store, at this time of the boot clock."""
        with self._lock:
            self._history.record_read(at, boot_clock.now())

    def may_have_expired(self) -> bool:
        """Return whether missing entries may have expired, as far as this gateway knows."""
        with self._lock:
            return self._history.may_have_expired(boot_clock.now())

    def confirm_may_have_expired(self) -> bool:
        """Return whether missing entries may have expired, also by what other gateways know."""
        with self._lock:
            now = boot_clock.now()
            if not self._history.may_have_expired(now):
                return False
            if self._history.is_outage_confirmed(now):
                return True
            doubtful_s = self._history.doubtful_s(now)
        read_for_s_by_name = self._ask_others()
        with self._lock:
            for name, read_for_s in read_for_s_by_name.items():
                if read_for_s >= doubtful_s:
                    self._history.dismiss_outage(boot_clock.now())
                    _log_dismissed(name, doubtful_s, read_for_s)
                    return False
            self._history.is_confirmed = bool(read_for_s_by_name)
        return True

    def _ask_others(self) -> dict[str, float]:
        """Return for how long some other gateways know that the store was read, by their names."""
        others = self._other_gateways()
        members = random.sample(others, min(GATEWAYS_ASKED, len(others)))
        if not members:
            return {}
        outcome = call_members(
            self._peer_client,
            members,
            QueryStoreReads(),
            StoreReads,
            len(members),
            CALL_TIMEOUT_S,
        )
        return {member.name: reply.read_for_s for member, reply in outcome.replies}

    def _answer_query(self, message: QueryStoreReads) -> StoreReads:
        with self._lock:
            return StoreReads(round(self._history.read_for_s(boot_clock.now()), 3))


def _log_dismissed(peer: str, doubtful_s: float, read_for_s: float) -> None:
    log_message(
        "control:outage_dismissed",
        peer=peer,
        doubtful_s=round(doubtful_s, 2),
        read_for_s=round(read_for_s, 2),
    )
