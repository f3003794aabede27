"""On which storage nodes the copies of a job lie, worked out alike by every process."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from quaymill.connection.member import Member
from quaymill.process.membership.ranking import rank_across_zones, rank_nodes
from quaymill.process.serving_settings import ServingSettings


@attrs.frozen
class CopyRules:
    """How many copies of a job there are, and which storage nodes have them.

    Attributes
    ----------
    needed
        Copies on disks before anything is acknowledged; repair keeps up one more where there
        are nodes enough.
    zones
        Zones in which copies lie, where that many can be reached; with 1 it does not matter
        where they lie.
    """

    needed: int
    zones: int = 1

    @classmethod
    def from_settings(cls, settings: ServingSettings) -> CopyRules:
        """Return the rules by which the losses that settings allow are borne."""
        return cls(settings.disks_lost_at_once + 1, settings.zones_lost_at_once + 1)

    @property
    def kept(self) -> int:
        """Copies that repair keeps up."""
        return self.needed + 1

    def rank(self, job_id: str, members: Iterable[Member]) -> tuple[Member, ...]:
        """Return storage nodes in the order in which they are to have a job.

        The first is the same whatever the number of zones: it keeps the job's progress, and gives
        the job away when its coordinator is gone.
        """
        rank = rank_across_zones if self.zones > 1 else rank_nodes
        return rank(job_id, members)

    def holders(self, job_id: str, members: Iterable[Member]) -> tuple[Member, ...]:
        """Return the storage nodes that are to have a job."""
        return self.rank(job_id, members)[: self.kept]

    def zones_needed(self, members: Iterable[Member]) -> int:
        """Return in how many zones copies must lie if there are no other nodes than these."""
        return min(self.zones, len({member.zone for member in members}))
