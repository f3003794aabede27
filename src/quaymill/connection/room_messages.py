"""Messages by which coordinators share the engines' free slots."""

from __future__ import annotations

import msgspec

from quaymill.connection.peer_link import PeerMessage


class ItemsAt(msgspec.Struct, frozen=True, array_like=True):
    """A number of batch items at one replica."""

    replica_id: str
    items: int


class WantedItems(msgspec.Struct, frozen=True, array_like=True):
    """Items that wait, and how much of the engines they leave to online requests.

    Attributes
    ----------
    reserve_share
        Part of the slots that these items leave free; less for what is nearly due.
    tokens
        Memory that the largest of them takes.
    """

    reserve_share: float
    items: int
    tokens: int


class ClaimRoom(PeerMessage, frozen=True):
    """Ask for room at a pool of engines; answered by ``RoomGranted``.

    Attributes
    ----------
    pool, pools
        Which part of the service's engines, and of how many.
    running
        Items of this coordinator in service now.
    wanted
        Items that wait, the most urgent first.
    avoided
        Replicas that fail for this coordinator: it may be cut off from them alone.
    """

    coordinator: str
    zone: str
    service: str
    running: tuple[ItemsAt, ...]
    wanted: tuple[WantedItems, ...]
    avoided: tuple[str, ...] = ()
    pool: int = 0
    pools: int = 1


class RoomGranted(PeerMessage, frozen=True):
    """What the coordinator may start, and what it is to give back.

    Attributes
    ----------
    starts
        Items that may be started now, for the most urgent ones first.
    give_back
        Items to be cut, because online requests wait or slots run out.
    """

    starts: tuple[ItemsAt, ...] = ()
    give_back: tuple[ItemsAt, ...] = ()
