"""Commands of the log: what the state machine applies, in the order of the log.

A command holds everything its effect depends on, clock readings included, so that every
replica comes to the same state.
"""

from __future__ import annotations

import msgspec

from quaymill.connection.call_record_messages import AbandonCall, BeginCall, FinishCall
from quaymill.connection.job_messages import (
    AppendItems,
    CancelJob,
    CommitFile,
    CompleteItems,
    CreateFile,
    CreateJob,
    ItemRef,
    LeaseItems,
    ReturnItems,
)
from quaymill.connection.log_messages import GroupMembership
from quaymill.connection.peer_link import PeerMessage


class Noop(PeerMessage, frozen=True):
    """First entry of a leader's term: with it, all earlier entries are committed."""


class ChangeMembership(PeerMessage, frozen=True):
    """The group's membership from this entry on; differs from the last by one replica."""

    membership: GroupMembership


class ExpireLeases(PeerMessage, frozen=True):
    """The leader's clock says that these leases have lapsed."""

    items: tuple[ItemRef, ...]


class PurgeExpired(PeerMessage, frozen=True):
    """Remove what ended before a time, at most ``limit`` rows of each kind."""

    before_unix_s: float
    limit: int


Command = (
    Noop
    | ChangeMembership
    | ExpireLeases
    | PurgeExpired
    | CreateFile
    | AppendItems
    | CommitFile
    | CreateJob
    | CancelJob
    | LeaseItems
    | ReturnItems
    | CompleteItems
    | BeginCall
    | FinishCall
    | AbandonCall
)


class LoggedCommand(msgspec.Struct, frozen=True, array_like=True):
    """A command with the leader's readings at the moment it was proposed.

    Attributes
    ----------
    at_unix_s
        The leader's wall clock.
    item_max_attempts
        Failed attempts after which an item ends as failed, from the configuration.
    """

    at_unix_s: float
    item_max_attempts: int
    command: Command


COMMAND_DECODER = msgspec.json.Decoder(LoggedCommand)
