"""Which disk nodes should carry a group: agreed without messages, by ranking.

A node opens the groups that it is preferred for and those that its disk holds, so that many
groups spread over many disks and a node carries only its share. When a node is lost, the one
that ranks next is preferred in its place and asks to join.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from quaymill.connection.member import Member
from quaymill.process.membership.ranking import rank_nodes

GROUP_SIZE = 3
REVIEW_INTERVAL_S = 0.1
CLOSE_INTERVAL_S = 10.0
THREAD_STOP_TIMEOUT_S = 5.0


class MembershipView(Protocol):
    """What the job store needs of the nodes' membership."""

    def live(self) -> Iterable[Member]:
        """Return the nodes that are believed to be up, this one included."""


def nodes_by_preference(group: int, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the disk nodes in the order of their fitness for a group.

    The first of each zone come first, so that three replicas stand in three zones if they can.
    """
    ranked = rank_nodes(f"log-group/{group}", (node for node in members if node.has_disk))
    first_of_zone: dict[str, Member] = {}
    for node in ranked:
        first_of_zone.setdefault(node.zone, node)
    rest = (node for node in ranked if first_of_zone[node.zone] is not node)
    return (*first_of_zone.values(), *rest)


class GroupPlacement:
    """Opens groups on this node as it becomes preferred for them, and closes needless ones.

    Parameters
    ----------
    settle_s
        How long the disk nodes must have stayed the same. A node that starts sees the others
        one by one, and would take itself for the best of the few that it knows.
    open_group
        Called for each group that this node should carry.
    close_outside
        Called with the groups for which it is not preferred; closes those whose replica is
        not of the group.
    """

    def __init__(
        self,
        node_name: str,
        group_count: int,
        membership: MembershipView,
        settle_s: float,
        open_group: Callable[[int], None],
        close_outside: Callable[[list[int]], None],
    ) -> None:
        self._node_name = node_name
        self._group_count = group_count
        self._membership = membership
        self._settle_s = settle_s
        self._open_group = open_group
        self._close_outside = close_outside
        self._seen: tuple[tuple[str, str], ...] = ()
        self._seen_since_s = time.monotonic()
        self._done = False
        self._next_close_s = 0.0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="group-placement", daemon=True)

    def start(self) -> None:
        """Begin to follow the membership."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        self._thread.join(THREAD_STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping.wait(REVIEW_INTERVAL_S):
            disk_nodes = [node for node in self._membership.live() if node.has_disk]
            seen = tuple(sorted((node.name, node.zone) for node in disk_nodes))
            now = time.monotonic()
            if seen != self._seen:
                self._seen = seen
                self._seen_since_s = now
                self._done = False
            if len(seen) < GROUP_SIZE or now < self._seen_since_s + self._settle_s:
                continue
            if not self._done or now >= self._next_close_s:
                self._done = True
                self._next_close_s = now + CLOSE_INTERVAL_S
                self._review(disk_nodes)

    def _review(self, disk_nodes: list[Member]) -> None:
        others: list[int] = []
        for group in range(self._group_count):
            preferred = nodes_by_preference(group, disk_nodes)[:GROUP_SIZE]
            if any(node.name == self._node_name for node in preferred):
                self._open_group(group)
            else:
                others.append(group)
        self._close_outside(others)
