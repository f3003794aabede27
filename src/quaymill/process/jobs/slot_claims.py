"""Puts claims for room to whichever gateway keeps it for a pool of engines."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.slot_messages import ClaimSlots, SlotsGranted
from quaymill.process.jobs.slot_allocator import SlotAllocator
from quaymill.process.membership.ranking import rank_nodes, strongest

CLAIM_TIMEOUT_S = 0.5
AVOID_ALLOCATOR_S = 2.0
"""How long a gateway that did not answer a claim is passed over: by then membership knows."""

ClaimSlotsCall = Callable[[ClaimSlots], SlotsGranted | None]
"""Puts a claim to who keeps room for its pool; ``None`` if that did not answer."""

ReachableOf = Callable[[Iterable[Member]], tuple[Member, ...]]
"""Returns the members in zones that can be reached; all if there is none such."""


class AllocatorChoice:
    """Finds who keeps room; safe to use from any thread.

    Parameters
    ----------
    gateways
        Returns the live gateways, this one included.
    reachable
        Returns those of some gateways that can be reached.
    """

    def __init__(
        self, gateways: Callable[[], tuple[Member, ...]], reachable: ReachableOf = tuple
    ) -> None:
        self._gateways = gateways
        self._reachable = reachable
        self._avoided_until_by_name: dict[str, float] = {}

    def allocator_of(self, service: str, pool: int) -> Member | None:
        """Return the gateway that keeps room for a pool; ``None`` if none is known.

        It is one of the strongest; the others follow while none of these answers.
        """
        now = boot_clock.now()
        gateways = self._reachable(self._gateways())
        strong_gateways = strongest(gateways)
        for group in (strong_gateways, gateways):
            for member in rank_nodes(f"room/{service}/{pool}", group):
                if self._avoided_until_by_name.get(member.name, 0.0) <= now:
                    return member
        return None

    def avoid(self, service: str, member: Member) -> None:
        """Pass over a gateway that did not answer, in favour of the next in rank."""
        log_message("batch:keeper_silent", service=service, keeper=member.name)
        self._avoided_until_by_name[member.name] = boot_clock.now() + AVOID_ALLOCATOR_S


class SlotClaims:
    """Claims of one gateway; used by its dispatcher's thread only.

    A keeper that does not answer is passed over for a while, in favour of the next in rank.
    Two keepers of a pool at once only start more items than there is room for: engines
    refuse them, and they wait again.

    Parameters
    ----------
    gateways
        Returns the live gateways, this one included.
    """

    def __init__(
        self,
        own_name: str,
        allocator: SlotAllocator,
        client: PeerClient,
        gateways: Callable[[], tuple[Member, ...]],
        reachable: ReachableOf = tuple,
    ) -> None:
        self._own_name = own_name
        self._local_allocator = allocator
        self._client = client
        self._allocator_choice = AllocatorChoice(gateways, reachable)

    def claim(self, claim: ClaimSlots) -> SlotsGranted | None:
        """Put a claim to the gateway that ranks first for its pool."""
        member = self._allocator_choice.allocator_of(claim.service, claim.pool)
        if member is None or member.name == self._own_name:
            return self._local_allocator.claim(claim)
        reply = self._client.call(member.peer, claim, SlotsGranted, CLAIM_TIMEOUT_S)
        if isinstance(reply, SlotsGranted):
            return reply
        self._allocator_choice.avoid(claim.service, member)
        return None
