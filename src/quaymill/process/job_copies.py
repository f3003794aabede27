"""Determines which storage nodes hold the copies of a job; every process gets the same result."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from quaymill.connection.member import Member
from quaymill.process.membership.ranking import rank_across_zones, rank_nodes
from quaymill.process.serving_settings import ServingSettings


@attrs.frozen
class CopyRules:
    """How many copies of a job there are, and which storage nodes hold them.

    Attributes
    ----------
    needed
        Copies on disks before anything is acknowledged; repair maintains one more if there are
        enough nodes.
    zones
        Number of zones over which copies are spread, if that many can be reached; zones are
        ignored if it is 1.
    """

    needed: int
    zones: int = 1

    @classmethod
    def from_settings(cls, settings: ServingSettings) -> CopyRules:
        """Return the rules that tolerate the losses of disks and zones allowed by the settings."""
        return cls(settings.disks_lost_at_once + 1, settings.zones_lost_at_once + 1)

    @property
    def kept(self) -> int:
        """Number of copies that repair maintains."""
        return self.needed + 1

    def rank(self, job_id: str, members: Iterable[Member]) -> tuple[Member, ...]:
        """Return storage nodes in order of preference for a job's copies.

        The first node does not depend on the number of zones. It keeps the job's progress and
        assigns the job to another gateway when its coordinator has ended.
        """
        rank = rank_across_zones if self.zones > 1 else rank_nodes
        return rank(job_id, members)

    def holders(self, job_id: str, members: Iterable[Member]) -> tuple[Member, ...]:
        """Return the storage nodes that should hold a job."""
        return self.rank(job_id, members)[: self.kept]

    def zones_needed(self, members: Iterable[Member]) -> int:
        """Return the number of zones that must hold copies if these are all storage nodes."""
        return min(self.zones, len({member.zone for member in members}))
