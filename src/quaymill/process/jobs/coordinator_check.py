"""Asks another gateway whether it coordinates a job."""

from __future__ import annotations

from collections.abc import Callable

from quaymill.connection.job_storage_messages import NotCoordinator, ReadResults, ResultsPage
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient

CHECK_TIMEOUT_S = 0.5

CoordinatorCheck = Callable[[str, str, int], bool]
"""Called with a coordinator's name, a job's id and its number of items; returns whether that
coordinator answers that it coordinates the job."""


def coordinator_check(
    gateway_of: Callable[[str], Member | None], peer_client: PeerClient
) -> CoordinatorCheck:
    """Return a function that asks the other coordinator itself.

    The membership is not enough: it takes seconds to notice a network partition.

    Parameters
    ----------
    gateway_of
        Returns the live gateway on which a coordinator runs; ``None`` if there is none.
    """

    def coordinates(coordinator: str, job_id: str, total: int) -> bool:
        member = gateway_of(coordinator)
        if member is None:
            return False
        # There are no results from the position ``total`` on, so the page is empty.
        request = ReadResults(job_id, total, 0.0)
        reply = peer_client.call(
            member.peer, request, ResultsPage | NotCoordinator, CHECK_TIMEOUT_S
        )
        return isinstance(reply, ResultsPage)

    return coordinates
