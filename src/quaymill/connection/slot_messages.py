"""Messages between gateways and slot allocators: claims, load reports, placements and grants."""

from __future__ import annotations

import msgspec

from quaymill.connection.peer_link import PeerMessage


class ItemsAt(msgspec.Struct, frozen=True, array_like=True):
    """A number of batch items, or of online requests, at one replica."""

    replica_id: str
    items: int


class RunningAt(msgspec.Struct, frozen=True, array_like=True):
    """Running items at one replica that are due at the same time.

    Attributes
    ----------
    due_in_s
        Time until they are due; a very large value if they cannot finish by then.
    """

    replica_id: str
    items: int
    due_in_s: float = 0.0


class WantedItems(msgspec.Struct, frozen=True, array_like=True):
    """Waiting items that are due at the same time.

    Attributes
    ----------
    reserve_share
        Share of an engine's slots that these items leave free for online requests; smaller for
        items that are nearly due.
    tokens
        Memory of the largest item, in tokens of the KV cache.
    due_in_s
        Time until they are due; a very large value if they cannot finish by then.
    """

    reserve_share: float
    items: int
    tokens: int
    due_in_s: float = 0.0


class RoutePace(msgspec.Struct, frozen=True, array_like=True):
    """Mean size and speed of a route's finished items.

    Attributes
    ----------
    items
        Number of finished items that the means are taken over.
    """

    route: str
    events_per_item: float
    s_per_event: float
    items: int


class ClaimSlots(PeerMessage, tag="ClaimRoom", frozen=True):
    """Claims slots of an engine pool for a coordinator's items; answered by ``SlotsGranted``.

    Attributes
    ----------
    pool, pools
        Index of the pool, and number of pools of the service.
    running
        Running items of this coordinator.
    wanted
        Waiting items, the most urgent first.
    avoided
        Replicas that are failing for this coordinator; they may be reachable for others.
    done
        Paces of the items that have finished since the last claim.
    region
        Region of the pool; unset where there is only one region, and by builds without regions.
    """

    coordinator: str
    zone: str
    service: str
    running: tuple[RunningAt, ...]
    wanted: tuple[WantedItems, ...]
    avoided: tuple[str, ...] = ()
    pool: int = 0
    pools: int = 1
    done: tuple[RoutePace, ...] = ()
    region: str | msgspec.UnsetType = msgspec.UNSET


class SlotsGranted(PeerMessage, tag="RoomGranted", frozen=True):
    """The items that a coordinator may start, and those that it must preempt.

    Attributes
    ----------
    starts
        Number of items that may be started now, by replica; the most urgent items are started
        first.
    preempt
        Number of items to preempt, by replica.
    paces
        Recent paces of all coordinators' items.
    cold
        Replicas in ``starts`` that are cold; unset if there are none.
    """

    starts: tuple[ItemsAt, ...] = ()
    preempt: tuple[ItemsAt, ...] = msgspec.field(name="give_back", default=())
    paces: tuple[RoutePace, ...] = ()
    cold: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET


class SlownessReport(msgspec.Struct, frozen=True, array_like=True):
    """A slowness reading that a gateway has received from a replica.

    Attributes
    ----------
    slowness
        Duration of work at the replica relative to the usual duration.
    age_s
        Age of the reading.
    """

    replica_id: str
    slowness: float
    age_s: float


class ColdReport(msgspec.Struct, frozen=True, array_like=True):
    """A remaining warm-up time that a gateway has received from a replica.

    Attributes
    ----------
    left_s
        Remaining time as of now; 0 if the replica is warm.
    age_s
        Age of the statement.
    started_ms
        Start of the replica's run that made the statement; 0 if it is unknown.
    """

    replica_id: str
    left_s: float
    age_s: float = 0.0
    started_ms: int = msgspec.field(default=0, name="born_ms")


class OnlineInFlight(PeerMessage, frozen=True, omit_defaults=True):
    """Reports a gateway's online requests at a pool's engines to the slot allocator.

    Answered by ``PoolLoads``. This message arrives before an engine's own report includes the
    requests, so that batch items are preempted before online requests have waited for long. Each
    message contains all counts, so a lost message is corrected by the next one.

    Attributes
    ----------
    slowness_reports
        New slowness readings of replicas.
    withdrawn
        Tickets of requests that no longer wait in the queue.
    region
        Region of the pool; unset where there is only one region, and by builds without regions.
    cold_reports
        New remaining warm-up times of replicas.
    """

    gateway: str
    service: str
    in_flight: tuple[ItemsAt, ...]
    pool: int = 0
    pools: int = 1
    slowness_reports: tuple[SlownessReport, ...] = msgspec.field(name="told", default=())
    withdrawn: tuple[str, ...] = msgspec.field(name="departed", default=())
    region: str | msgspec.UnsetType = msgspec.UNSET
    cold_reports: tuple[ColdReport, ...] = ()


class ReplicaLoad(msgspec.Struct, frozen=True, array_like=True):
    """Online requests and batch items of all gateways at one replica."""

    replica_id: str
    online: int
    batch: int


NO_QUEUE = -1
"""Queue length of an allocator that has no queue, or whose build does not know queues."""


class PoolLoads(PeerMessage, frozen=True):
    """Current loads of a pool's replicas, as counted by the allocator.

    Attributes
    ----------
    queue_length
        Number of requests in the allocator's queue, or ``NO_QUEUE``.
    """

    loads: tuple[ReplicaLoad, ...]
    queue_length: int = msgspec.field(name="line", default=NO_QUEUE)


class LoadOffset(msgspec.Struct, frozen=True, array_like=True):
    """Offset that a gateway adds to the load of one replica when replicas are compared.

    Attributes
    ----------
    requests
        Negative if the replica is likely to have cached a part of the prompt, positive if it has
        failed recently.
    """

    replica_id: str
    requests: float


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """Conditions for queueing a request; times are relative to the sending of the message.

    Attributes
    ----------
    ticket
        Identifies the request; the same if its gateway sends it again.
    process
        Name of its gateway's process; a restarted gateway has a different one.
    tenant
        ``None`` if there are no tenants.
    rank
        Lower ranks are served first.
    waited_s
        Time since the request arrived at its gateway.
    target_in_s, dispatch_by_s, left_s
        Time until its first event is late, until its gateway dispatches it in any case, and until
        its caller's timeout.
    service_s, first_byte_s
        Typical service time and time to first byte, as observed by its gateway.
    """

    ticket: str
    process: str
    tenant: str | None
    rank: int
    waited_s: float
    target_in_s: float = msgspec.field(name="aim_in_s")
    dispatch_by_s: float = msgspec.field(name="last_call_in_s")
    left_s: float
    service_s: float
    first_byte_s: float


class PlaceOnline(PeerMessage, frozen=True, omit_defaults=True):
    """Asks a slot allocator for the replica of an online request; answered by ``OnlinePlaced``.

    Attributes
    ----------
    in_flight
        Online requests of the gateway at the pool's engines, without this one.
    excluded
        Replicas that have been tried or are failing for this gateway.
    offsets
        Load offsets; replicas without an entry have none.
    slowness_reports
        New slowness readings of replicas.
    terms
        Conditions for queueing; ``None`` if the request must be placed immediately.
    withdrawn
        Tickets of other requests that no longer wait in the queue.
    region
        Region of the pool; unset where there is only one region, and by builds without regions.
    cold_reports
        New remaining warm-up times of replicas.
    """

    gateway: str
    zone: str
    service: str
    in_flight: tuple[ItemsAt, ...]
    excluded: tuple[str, ...] = ()
    offsets: tuple[LoadOffset, ...] = ()
    pool: int = 0
    pools: int = 1
    slowness_reports: tuple[SlownessReport, ...] = msgspec.field(name="told", default=())
    terms: QueueTerms | None = None
    withdrawn: tuple[str, ...] = msgspec.field(name="departed", default=())
    region: str | msgspec.UnsetType = msgspec.UNSET
    cold_reports: tuple[ColdReport, ...] = ()


class OnlinePlaced(PeerMessage, frozen=True):
    """The replica for an online request; the allocator already counts the request there.

    Attributes
    ----------
    replica_id
        Empty if every replica of the pool is excluded, or if the request is queued or refused.
    loads
        Current loads as counted by the allocator, including this request.
    queue_length
        Number of requests in the allocator's queue, or ``NO_QUEUE``.
    queued
        Whether the request has been added to the queue.
    retry_after_s
        Set if the request is refused because it cannot be served before its caller's timeout:
        seconds after which it may be sent again.
    cold
        Whether the replica is cold, and the request counted as a grant to it; else unset.
    """

    replica_id: str
    loads: tuple[ReplicaLoad, ...]
    queue_length: int = msgspec.field(name="line", default=NO_QUEUE)
    queued: bool = msgspec.field(name="waits", default=False)
    retry_after_s: float | None = None
    cold: bool | msgspec.UnsetType = msgspec.UNSET


class OnlineGrant(msgspec.Struct, frozen=True, array_like=True):
    """A slot granted to a queued request, which is already counted at the replica."""

    ticket: str
    replica_id: str


class ColdGrant(OnlineGrant, frozen=True, array_like=True):
    """A slot of a cold replica granted to a queued request."""


class OnlineGrants(PeerMessage, tag="OnlineTurns", frozen=True):
    """Grants slots to queued requests of a gateway; answered by ``GrantsAccepted``.

    Attributes
    ----------
    grants
        Grants of slots of warm replicas.
    cold
        Grants of slots of cold replicas; unset if there are none.
    """

    grants: tuple[OnlineGrant, ...] = msgspec.field(name="turns")
    cold: tuple[ColdGrant, ...] | msgspec.UnsetType = msgspec.UNSET

    @classmethod
    def from_grants(cls, grants: tuple[OnlineGrant, ...]) -> OnlineGrants:
        """Return the message for some grants."""
        cold = tuple(grant for grant in grants if isinstance(grant, ColdGrant))
        warm = tuple(grant for grant in grants if not isinstance(grant, ColdGrant))
        return cls(warm, cold or msgspec.UNSET)

    @property
    def all(self) -> tuple[OnlineGrant, ...]:
        """All grants."""
        return self.grants + (self.cold or ())


class GrantsAccepted(PeerMessage, tag="TurnsTaken", frozen=True):
    """Tickets of the requests that are dispatched.

    The other requests no longer wait at the gateway, or it cannot use the granted replica.
    """

    tickets: tuple[str, ...]


class PreemptItems(PeerMessage, tag="GiveBack", frozen=True):
    """Asks a coordinator to preempt items immediately; answered by ``ItemsPreempted``."""

    items: tuple[ItemsAt, ...]


class ItemsPreempted(PeerMessage, tag="GivenBack", frozen=True):
    """The items that were still running are being preempted."""


class SlotsFreed(PeerMessage, tag="RoomFreed", frozen=True):
    """Notifies a coordinator of free slots; answered by ``SlotsFreedAcknowledged``."""


class SlotsFreedAcknowledged(PeerMessage, tag="RoomFreedNoted", frozen=True):
    """The coordinator claims slots immediately."""
