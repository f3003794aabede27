"""The job store on this node: its replicas, and the messages they answer."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from quaymill.connection import call_record_messages, job_messages, log_messages
from quaymill.connection.job_messages import NotLeader
from quaymill.connection.peer_link import PeerClient, PeerMessage, PeerRefusal
from quaymill.connection.peer_server import PeerServer
from quaymill.process.job_store.formation import MembershipView, Platform
from quaymill.process.job_store.group import Group
from quaymill.process.job_store.identity import FolderLock
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
    call_record_messages.BeginCall,
    call_record_messages.FinishCall,
    call_record_messages.AbandonCall,
)
READS = (
    job_messages.GetJob,
    job_messages.ListJobs,
    job_messages.GetFile,
    job_messages.ReadResults,
)


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
        groups = {
            number: Group(
                number,
                self._settings,
                self._client,
                self._platform,
                self._membership,
                self._tuning,
            )
            for number in range(self._settings.log.groups)
        }
        self._groups = groups
        for group in groups.values():
            group.start()

    def stop(self) -> None:
        """Stop the replicas; call ``hand_over_leadership`` first for a stop without a gap."""
        groups, self._groups = self._groups, {}
        for group in groups.values():
            group.stop()
        if self._folder_lock:
            self._folder_lock.release()
            self._folder_lock = None

    def hand_over_leadership(self) -> bool:
        """Give all leaderships away; return whether every one went."""
        return all([group.hand_over_leadership() for group in self._groups.values()])

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
                return NotLeader() if _from_client(message) else PeerRefusal("not started")
            return PeerRefusal(f"there is no group {message.group}; check log.groups")

        server.register(message_type, handle)


def _from_client(message: PeerMessage) -> bool:
    return type(message).__module__ == job_messages.__name__
