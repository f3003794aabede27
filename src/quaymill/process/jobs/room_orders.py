"""Carries orders to give way from who keeps room to the coordinators whose items run there."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient, PeerServer
from quaymill.connection.room_messages import GiveBack, GivenBack, ItemsAt

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
    process
        Returns where a process runs; ``None`` if it is gone.
    """

    def __init__(
        self,
        process_name: str,
        give_back: Callable[[tuple[ItemsAt, ...]], None],
        client: PeerClient,
        server: PeerServer,
        process: Callable[[str], Member | None],
    ) -> None:
        self._process_name = process_name
        self._give_back = give_back
        self._client = client
        self._process = process
        server.register(GiveBack, self._answer)

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

    def _answer(self, message: GiveBack) -> GivenBack:
        self._give_back(message.items)
        return GivenBack()
