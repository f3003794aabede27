"""The state that the log builds: every replica applies the same commands in the same order.

Nothing here reads a clock, a random number or a setting; what a command depends on is in it.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from typing import Any

import msgspec
from eliot import log_message

from quaymill.connection.call_record_messages import AbandonCall, BeginCall, FinishCall
from quaymill.connection.job_messages import (
    Accepted,
    AppendItems,
    CancelJob,
    CommitFile,
    CompleteItems,
    CreateFile,
    CreateJob,
    GetFile,
    GetJob,
    JobList,
    LeasedItem,
    LeasedItems,
    LeaseItems,
    ListJobs,
    ReadResults,
    ReturnItems,
    StoreConflict,
)
from quaymill.connection.peer_link import PeerMessage
from quaymill.process.job_store.call_state import CallStateTable
from quaymill.process.job_store.commands import (
    ChangeMembership,
    ExpireLeases,
    LoggedCommand,
    Noop,
    PurgeExpired,
)
from quaymill.process.job_store.completions import CompletionReport
from quaymill.process.job_store.file_state import FileState
from quaymill.process.job_store.item_state import ItemState, LeaseGrant
from quaymill.process.job_store.job_state import JobStateTable
from quaymill.process.job_store.results import read_results
from quaymill.process.job_store.retention import purge


class Grants(msgspec.Struct, frozen=True):
    """Result of a lease, from which the leader makes its answer."""

    grants: tuple[LeaseGrant, ...]


Result = PeerMessage | Grants


class StateMachine:
    """Applies commands to the state tables and answers reads from them.

    Parameters
    ----------
    connection
        The writing connection; the caller holds the storage's lock and its transaction.
    """

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection
        self.files = FileState(connection)
        self.jobs = JobStateTable(connection)
        self.items = ItemState(connection, self.jobs)
        self.calls = CallStateTable(connection)
        self._apply: dict[type, Callable[[Any, LoggedCommand], Result]] = {
            Noop: lambda message, logged: Accepted(),
            ChangeMembership: lambda message, logged: Accepted(),
            ExpireLeases: lambda message, logged: self.items.release(message.items),
            ReturnItems: lambda message, logged: self.items.release(message.items),
            PurgeExpired: lambda message, logged: purge(connection, message),
            CreateFile: lambda message, logged: self.files.create(message, logged.at_unix_s),
            AppendItems: lambda message, logged: self.files.append(message),
            CommitFile: lambda message, logged: self.files.seal(message),
            CreateJob: lambda message, logged: self.jobs.create(message),
            CancelJob: lambda message, logged: self.jobs.cancel(message, logged.at_unix_s),
            LeaseItems: lambda message, logged: Grants(self.items.lease(message, logged.at_unix_s)),
            CompleteItems: lambda message, logged: CompletionReport(
                connection, self.jobs, message, logged.item_max_attempts
            ).apply(logged.at_unix_s),
            BeginCall: lambda message, logged: self.calls.begin(message, logged.at_unix_s),
            FinishCall: lambda message, logged: self.calls.finish(message),
            AbandonCall: lambda message, logged: self.calls.abandon(message),
        }

    def apply(self, logged: LoggedCommand) -> Result:
        """Apply one command as a whole or not at all.

        Raises
        ------
        sqlite3.Error
            The disk failed: this replica must stop, for the others may have applied it.
        """
        apply = self._apply[type(logged.command)]
        self._connection.execute("SAVEPOINT command")
        try:
            result = apply(logged.command, logged)
        except Exception as error:
            if isinstance(error, sqlite3.Error) and not isinstance(error, sqlite3.IntegrityError):
                raise
            # A bug fails alike on every replica, and changes nothing.
            self._connection.execute("ROLLBACK TO command")
            self._connection.execute("RELEASE command")
            log_message(
                "store:command_failed", kind=type(logged.command).__name__, error=repr(error)
            )
            return StoreConflict(f"internal error: {error!r}", "report it with the node's log")
        self._connection.execute("RELEASE command")
        return result

    def leased_items(self, result: Grants) -> LeasedItems:
        """Return the items of a lease with their bodies."""
        return LeasedItems(
            items=tuple(
                LeasedItem(
                    job_id=grant.job_id,
                    tenant=grant.tenant,
                    attempt=grant.attempt,
                    item=self.files.item(grant.file_id, grant.index),
                )
                for grant in result.grants
            )
        )

    def read(self, message: PeerMessage) -> PeerMessage:
        """Answer a read; the caller has made sure that the state is new enough."""
        match message:
            case GetJob():
                return self.jobs.get(message.job_id)
            case ListJobs():
                return JobList(self.jobs.list_of_tenant(message.tenant, message.limit))
            case GetFile():
                return self.files.read(message)
            case ReadResults():
                return read_results(self._connection, self.files, message)
        raise TypeError(f"{type(message).__name__} is not a read")
