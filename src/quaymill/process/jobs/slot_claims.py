"""Sends slot claims to the slot allocator of an engine pool, and chooses that allocator."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.slot_messages import ClaimSlots, SlotsGranted
from quaymill.process.jobs.slot_allocator import SlotAllocator
from quaymill.process.membership.ranking import rank_nodes, strongest_members
from quaymill.process.regions import ONE_REGION, RegionMap

CLAIM_TIMEOUT_S = 0.5
AVOID_ALLOCATOR_S = 2.0
"""How long a gateway that did not answer is skipped; by then membership has noticed a failure."""

ClaimSlotsCall = Callable[[ClaimSlots], SlotsGranted | None]
"""Sends a claim to the allocator of its pool; ``None`` if it does not answer."""

ReachableOf = Callable[[Iterable[Member]], tuple[Member, ...]]
"""Returns the members in reachable zones; all members if none is reachable."""


class AllocatorChoice:
    """Finds the slot allocator of a pool; safe to use from any thread.

    Parameters
    ----------
    gateways
        Returns the live gateways, including this one.
    reachable
        Returns those of the given gateways that are in reachable zones; see ``ReachableOf``.
    regions
        Regions of the deployment's zones.
    """

    def __init__(
        self,
        gateways: Callable[[], tuple[Member, ...]],
        reachable: ReachableOf = tuple,
        regions: RegionMap = ONE_REGION,
    ) -> None:
        self._gateways = gateways
        self._reachable = reachable
        self._regions = regions
        self._avoided_until_by_name: dict[str, float] = {}

    def allocator_of(self, service: str, pool: int, region: str = "") -> Member | None:
        """Return the gateway that allocates the slots of a pool; ``None`` if none is known.

        The gateways with the most cores are preferred; others are used while none of these answers.
        The gateways of the pool's region are preferred to those of other regions.
        """
        now = boot_clock.now()
        gateways = self._reachable(self._gateways())
        groups = [strongest_members(gateways), gateways]
        # The key is the same in every build: all gateways must choose the same allocator.
        key = f"room/{service}/{pool}"
        if region:
            key = f"room/{service}/{region}/{pool}"
            nearby = tuple(one for one in gateways if self._regions.pool_region(one.zone) == region)
            groups = [strongest_members(nearby), nearby, *groups]
        for group in groups:
            for member in rank_nodes(key, group):
                if self._avoided_until_by_name.get(member.name, 0.0) <= now:
                    return member
        return None

    def avoid(self, service: str, member: Member) -> None:
        """Skip a gateway for the next ``AVOID_ALLOCATOR_S``, because it did not answer."""
        log_message("batch:keeper_silent", service=service, keeper=member.name)
        self._avoided_until_by_name[member.name] = boot_clock.now() + AVOID_ALLOCATOR_S


class SlotClaims:
    """Sends the claims of one gateway; used by its dispatcher's thread only.

    An allocator that does not answer is skipped for a while in favour of the next in rank. If two
    gateways allocate the slots of a pool at the same time, more items are started than there are
    slots: engines refuse the excess, and these items wait again.

    Parameters
    ----------
    gateways
        Returns the live gateways, including this one.
    reachable
        Returns those of the given gateways that are in reachable zones; see ``ReachableOf``.
    regions
        Regions of the deployment's zones.
    """

    def __init__(
        self,
        own_name: str,
        allocator: SlotAllocator,
        client: PeerClient,
        gateways: Callable[[], tuple[Member, ...]],
        reachable: ReachableOf = tuple,
        regions: RegionMap = ONE_REGION,
    ) -> None:
        self._own_name = own_name
        self._local_allocator = allocator
        self._client = client
        self._allocator_choice = AllocatorChoice(gateways, reachable, regions)
        self._regions = regions

    def claim(self, claim: ClaimSlots) -> SlotsGranted | None:
        """Send a claim to the allocator of its pool; ``None`` if it does not answer.

        This process's own allocator is used if no other gateway can be asked.
        """
        member = self._allocator_choice.allocator_of(claim.service, claim.pool, claim.region or "")
        if member is None or member.name == self._own_name:
            return self._local_allocator.claim(claim)
        timeout_s = CLAIM_TIMEOUT_S + self._regions.travel_s(member)
        reply = self._client.call(member.peer, claim, SlotsGranted, timeout_s)
        if isinstance(reply, SlotsGranted):
            return reply
        self._allocator_choice.avoid(claim.service, member)
        return None
