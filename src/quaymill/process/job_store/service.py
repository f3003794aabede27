"""The job store on this node: its replicas, and the messages they answer."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from pathlib import Path

from eliot import log_message

from quaymill.connection import job_messages, log_messages
from quaymill.connection.job_messages import NotLeader
from quaymill.connection.peer_link import PeerClient, PeerMessage, PeerRefusal, PeerServer
from quaymill.process.job_store.formation import Platform
from quaymill.process.job_store.group import Group, database_path
from quaymill.process.job_store.identity import FolderLock
from quaymill.process.job_store.placement import GroupPlacement, MembershipView
from quaymill.process.settings import NodeSettings
from quaymill.version.configuration import Tuning

WRITES = (
    job_messages.CreateFile,
    job_messages.AppendItems,
    job_messages.CommitFile,
    job_messages.CreateJob,
    job_messages.CancelJob,
    job_messages.ReturnItems,
    job_messages.CompleteItems,
    job_messages.BeginCall,
    job_messages.FinishCall,
    job_messages.AbandonCall,
)
READS = (
    job_messages.GetJob,
    job_messages.ListJobs,
    job_messages.GetFile,
    job_messages.ReadResults,
)


SETTLE_ELECTION_TIMEOUTS = 2.0


class JobStoreService:
    """Carries this node's log replicas; without a data folder it does nothing.

    Parameters
    ----------
    tuning
        Returns the cells in force for retention and for the attempts of an item.
    """

    def __init__(
        self,
        settings: NodeSettings,
        peer_server: PeerServer,
        peer_client: PeerClient,
        platform_client: Platform,
        membership: MembershipView,
        tuning: Callable[[], Tuning] = Tuning,
    ) -> None:
        self._settings = settings
        self._client = peer_client
        self._platform = platform_client
        self._membership = membership
        self._tuning = tuning
        self._groups: dict[int, Group] = {}
        self._folder_lock: FolderLock | None = None
        self._placement: GroupPlacement | None = None
        if settings.data_folder:
            self._register(peer_server)

    @property
    def groups(self) -> dict[int, Group]:
        """The groups of which this node carries a replica, by number."""
        return self._groups

    def start(self) -> None:
        """Open the replicas and begin to take part; returns at once.

        Raises
        ------
        FolderInUseError
            Another process uses the data folder.
        """
        if not self._settings.data_folder:
            return
        self._folder_lock = FolderLock(Path(self._settings.data_folder))
        for number in range(self._settings.log.groups):
            if database_path(self._settings, number).exists():
                self._open_group(number)
        self._placement = GroupPlacement(
            self._settings.name,
            self._settings.log.groups,
            self._membership,
            SETTLE_ELECTION_TIMEOUTS * self._settings.log.election_timeout_s,
            self._open_group,
            self._close_outside,
        )
        self._placement.start()

    def stop(self) -> None:
        """Stop the replicas; call ``hand_over_leadership`` first for a stop without a gap."""
        if self._placement:
            self._placement.stop()
            self._placement = None
        groups, self._groups = self._groups, {}
        for group in groups.values():
            group.stop()
        if self._folder_lock:
            self._folder_lock.release()
            self._folder_lock = None

    def hand_over_leadership(self) -> bool:
        """Give all leaderships away; return whether every one went."""
        return all([group.hand_over_leadership() for group in self._groups.values()])

    def _open_group(self, number: int) -> None:
        """Open this node's replica of a group, unless it is open."""
        if number in self._groups:
            return
        try:
            group = self._new_group(number)
        except sqlite3.DatabaseError as error:
            self._set_aside(number, error)
            group = self._new_group(number)
        self._groups = {**self._groups, number: group}
        group.start()

    def _close_outside(self, numbers: list[int]) -> None:
        """Close and remove replicas that turned out not to be of their group."""
        for number in numbers:
            group = self._groups.get(number)
            if group is None or not group.entry.is_outside():
                continue
            self._groups = {n: open_group for n, open_group in self._groups.items() if n != number}
            group.stop()
            _remove_database(database_path(self._settings, number))

    def _new_group(self, number: int) -> Group:
        return Group(
            number,
            self._settings,
            self._client,
            self._platform,
            self._membership,
            self._tuning,
        )

    def _set_aside(self, number: int, error: sqlite3.DatabaseError) -> None:
        """Rename a damaged database; the replica comes back empty, with a new identity."""
        path = database_path(self._settings, number)
        kept = path.with_name(f"{path.name}.damaged-{time.time_ns()}")
        path.rename(kept)
        _remove_database(path)
        log_message("store:damaged_database", group=number, error=str(error), kept=str(kept))

    def _register(self, server: PeerServer) -> None:
        for message_type in WRITES:
            self._answer(server, message_type, lambda group, message: group.write(message))
        for message_type in READS:
            self._answer(server, message_type, lambda group, message: group.read(message))
        self._answer(server, job_messages.LeaseItems, lambda group, m: group.lease(m))
        self._answer(server, job_messages.RenewLeases, lambda group, m: group.renew(m))
        self._answer(
            server, log_messages.RequestVote, lambda group, m: group.replica.handle_vote(m)
        )
        self._answer(
            server, log_messages.AppendEntries, lambda group, m: group.replica.handle_append(m)
        )
        self._answer(
            server, log_messages.InstallSnapshot, lambda group, m: group.snapshots.handle(m)
        )
        self._answer(server, log_messages.TimeoutNow, lambda group, m: group.stand_for_election(m))
        self._answer(server, log_messages.GetFormation, lambda group, m: group.entry.handle_get(m))
        self._answer(server, log_messages.JoinGroup, lambda group, m: group.changer.handle_join(m))

    def _answer(
        self,
        server: PeerServer,
        message_type: type[PeerMessage],
        handler: Callable[[Group, PeerMessage], PeerMessage],
    ) -> None:
        """Register a handler that is given the group which a message names."""

        def handle(message: PeerMessage) -> PeerMessage:
            group = self._groups.get(message.group)
            if group is not None:
                return handler(group, message)
            if message.group < self._settings.log.groups:
                if _from_client(message):
                    return NotLeader()
                return PeerRefusal("no replica of the group here")
            return PeerRefusal(f"there is no group {message.group}; check log.groups")

        server.register(message_type, handle)


def _remove_database(path: Path) -> None:
    for suffix in ("", "-wal", "-shm"):
        path.with_name(path.name + suffix).unlink(missing_ok=True)


def _from_client(message: PeerMessage) -> bool:
    return type(message).__module__ == job_messages.__name__
