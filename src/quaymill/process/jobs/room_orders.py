"""Carries word from who keeps room to the coordinators: to give way, or that there is room."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.room_messages import (
    GiveBack,
    GivenBack,
    ItemsAt,
    RoomFreed,
    RoomFreedNoted,
)

ORDER_TIMEOUT_S = 0.2
"""A coordinator that takes longer hears of it with its next claim: the engine still shows it."""


class RoomOrders:
    """Sends and takes orders; safe to use from any thread.

    Parameters
    ----------
    process_name
        Of this process's coordinator.
    give_back
        Cuts items of this process's coordinator.
    claim_room
        Makes this process's coordinator claim room at once.
    process
        Returns where a process runs; ``None`` if it is gone.
    """

    def __init__(
        self,
        process_name: str,
        give_back: Callable[[tuple[ItemsAt, ...]], None],
        claim_room: Callable[[], None],
        client: PeerClient,
        server: PeerServer,
        process: Callable[[str], Member | None],
    ) -> None:
        self._process_name = process_name
        self._give_back = give_back
        self._claim_room = claim_room
        self._client = client
        self._process = process
        server.register(GiveBack, self._answer)
        server.register(RoomFreed, self._answer_room_freed)

    def send(self, coordinator: str, items: tuple[ItemsAt, ...]) -> None:
        """Ask a coordinator to cut items at once."""
        if coordinator == self._process_name:
            self._give_back(items)
            return
        member = self._process(coordinator)
        if member is None:
            return
        reply = self._client.call(member.peer, GiveBack(items), GivenBack, ORDER_TIMEOUT_S)
        if not isinstance(reply, GivenBack):
            log_message("batch:order_unanswered", coordinator=coordinator)

    def wake(self, coordinator: str) -> None:
        """Tell a coordinator that there is room; if it does not hear, it claims soon anyway."""
        if coordinator == self._process_name:
            self._claim_room()
            return
        member = self._process(coordinator)
        if member is not None:
            self._client.call(member.peer, RoomFreed(), RoomFreedNoted, ORDER_TIMEOUT_S)

    def _answer_room_freed(self, message: RoomFreed) -> RoomFreedNoted:
        self._claim_room()
        return RoomFreedNoted()

    def _answer(self, message: GiveBack) -> GivenBack:
        self._give_back(message.items)
        return GivenBack()
