"""Which software versions have served lately, also before this gateway has started.

A gateway sees the versions that serve while it runs, but not those that left before its start, at
which streams may have begun that callers take up now. Storage nodes keep them: a few gateways
report which versions serve, and each gateway asks after its start.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.stream_messages import ExchangeVersions, KnownVersions, ServiceVersion
from quaymill.process.membership.ranking import rank_nodes
from quaymill.process.streams.history import VERSION_RETENTION_S, VersionHistory

START_INTERVAL_S = 0.1
"""Interval at which storage nodes are asked until enough have replied."""
CHECK_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 5.0
"""Interval at which storage nodes are told of the versions that serve, without a change of them."""
REPORTING_GATEWAYS = 3
"""Number of gateways that do so; the others report only until they know enough themselves."""
EXCHANGE_TIMEOUT_S = 0.5
RANKING_KEY = "served-versions"


class ServedVersions:
    """The versions of each service that have served lately; thread-safe.

    Parameters
    ----------
    own_versions
        Returns the versions that this gateway has seen, and how long ago each has served.
    gateways, storage_nodes
        Return the live nodes of each kind.
    replies_needed
        Number of storage nodes of which one at least has not lost its disk.
    """

    def __init__(
        self,
        name: str,
        client: PeerClient,
        own_versions: Callable[[], tuple[ServiceVersion, ...]],
        gateways: Callable[[], tuple[Member, ...]],
        storage_nodes: Callable[[], tuple[Member, ...]],
        replies_needed: int,
    ) -> None:
        self._name = name
        self._client = client
        self._own_versions = own_versions
        self._gateways = gateways
        self._storage_nodes = storage_nodes
        self._replies_needed = replies_needed
        self._history = VersionHistory()
        self._started_at = boot_clock.now()
        self._lock = threading.Lock()
        self._replied: set[str] = set()
        self._reported: object = None
        self._report_at = 0.0
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that exchanges versions with storage nodes."""
        threading.Thread(target=self._run, name="served-versions", daemon=True).start()

    def stop(self) -> None:
        """Exchange no more versions."""
        self._stopping.set()

    @property
    def complete(self) -> bool:
        """Whether no version is missing that may have begun a stream that callers still want."""
        if len(self._replied) >= self._replies_needed:
            return True
        return boot_clock.now() - self._started_at > VERSION_RETENTION_S

    def of_service(self, service: str) -> frozenset[str | None]:
        """Return the versions of a service; ``None`` stands for an invalid one."""
        self._history.record(self._own_versions())
        return self._history.of_service(service)

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S if self.complete else START_INTERVAL_S):
            try:
                self._exchange_if_due()
            except Exception as error:  # An unexpected error must not end the thread.
                log_message("stream:exchange_error", error=repr(error))

    def _exchange_if_due(self) -> None:
        """Ask the storage nodes until enough have replied; then report to them now and then."""
        own = self._own_versions()
        self._history.record(own)
        members = self._storage_nodes()
        if not self.complete:
            self._exchange(members, ExchangeVersions(own))
            return
        serving = frozenset((one.service, one.version) for one in own if not one.age_s)
        reported = (serving, frozenset(member.name for member in members))
        now = boot_clock.now()
        is_due = reported != self._reported or now >= self._report_at
        if is_due and self._is_reporter():
            self._reported = reported
            self._report_at = now + REPORT_INTERVAL_S
            self._exchange(members, ExchangeVersions(own))

    def _is_reporter(self) -> bool:
        """Return whether this gateway is one of those that report to storage nodes."""
        ranked = rank_nodes(RANKING_KEY, self._gateways())[:REPORTING_GATEWAYS]
        return self._name in {member.name for member in ranked}

    def _exchange(self, members: tuple[Member, ...], message: ExchangeVersions) -> None:
        threads = [
            threading.Thread(target=self._exchange_with, args=(member, message), daemon=True)
            for member in members
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(EXCHANGE_TIMEOUT_S)

    def _exchange_with(self, member: Member, message: ExchangeVersions) -> None:
        reply = self._client.call(member.peer, message, KnownVersions, EXCHANGE_TIMEOUT_S)
        if not isinstance(reply, KnownVersions):
            return
        was_complete = self.complete
        with self._lock:
            self._history.record(reply.versions)
            self._replied.add(member.name)
        if self.complete and not was_complete:
            log_message(
                "stream:history_known",
                versions=[f"{one.service} {one.version}" for one in self._history.all()],
                replies=len(self._replied),
            )
