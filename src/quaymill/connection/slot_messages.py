"""Messages by which coordinators share the engines' free slots, and give way to online work."""

from __future__ import annotations

import msgspec

from quaymill.connection.peer_link import PeerMessage


class ItemsAt(msgspec.Struct, frozen=True, array_like=True):
    """A number of batch items at one replica."""

    replica_id: str
    items: int


class RunningAt(msgspec.Struct, frozen=True, array_like=True):
    """Items in service at one replica that are due at the same time.

    Attributes
    ----------
    due_in_s
        Time until they are due; very long for those that cannot be done by then.
    """

    replica_id: str
    items: int
    due_in_s: float = 0.0


class WantedItems(msgspec.Struct, frozen=True, array_like=True):
    """Items that wait, and how much of the engines they leave to online requests.

    Attributes
    ----------
    reserve_share
        Part of the slots that these items leave free; less for what is nearly due.
    tokens
        Memory that the largest of them takes.
    due_in_s
        Time until they are due; very long for those that cannot be done by then.
    """

    reserve_share: float
    items: int
    tokens: int
    due_in_s: float = 0.0


class RoutePace(msgspec.Struct, frozen=True, array_like=True):
    """How long items of a route run.

    Attributes
    ----------
    items
        Done items of which these are the means.
    """

    route: str
    events_per_item: float
    s_per_event: float
    items: int


class ClaimSlots(PeerMessage, tag="ClaimRoom", frozen=True):
    """Ask for room at a pool of engines; answered by ``SlotsGranted``.

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
    done
        Items that were done since the last claim.
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


class SlotsGranted(PeerMessage, tag="RoomGranted", frozen=True):
    """What the coordinator may start, and what it is to give back.

    Attributes
    ----------
    starts
        Items that may be started now, for the most urgent ones first.
    preempt
        Items to be cut, because online requests wait or slots run out.
    paces
        How long items have run of late, over all coordinators.
    """

    starts: tuple[ItemsAt, ...] = ()
    preempt: tuple[ItemsAt, ...] = msgspec.field(name="give_back", default=())
    paces: tuple[RoutePace, ...] = ()


class SlownessReport(msgspec.Struct, frozen=True, array_like=True):
    """What a replica told a gateway of how long work takes there.

    Attributes
    ----------
    slowness
        How many times as long as usual.
    age_s
        Seconds since it told so.
    """

    replica_id: str
    slowness: float
    age_s: float


class OnlineInFlight(PeerMessage, frozen=True, omit_defaults=True):
    """Tell who keeps room what online requests a gateway has at a pool's engines now.

    Answered by ``PoolLoads``. It arrives before an engine's report shows the requests, so that
    batch items give way before an online request has waited. The counts are absolute: one
    that is lost is made good by the next.

    Attributes
    ----------
    slowness_reports
        New words of replicas that tell how slow they are.
    withdrawn
        Tickets of requests that wait in the line no more.
    """

    gateway: str
    service: str
    in_flight: tuple[ItemsAt, ...]
    pool: int = 0
    pools: int = 1
    slowness_reports: tuple[SlownessReport, ...] = msgspec.field(name="told", default=())
    withdrawn: tuple[str, ...] = msgspec.field(name="departed", default=())


class ReplicaLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests of all gateways at one replica."""

    replica_id: str
    online: int
    batch: int


NO_QUEUE = -1
"""In place of a line's length: the keeper keeps none, or is of a build that knows none."""


class PoolLoads(PeerMessage, frozen=True):
    """The replicas of a pool as their keeper knows them now.

    Attributes
    ----------
    queue_length
        Requests that wait in the keeper's line, or ``NO_QUEUE``.
    """

    loads: tuple[ReplicaLoad, ...]
    queue_length: int = msgspec.field(name="line", default=NO_QUEUE)


class LoadOffset(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway adds to the load of one replica when it compares them.

    Attributes
    ----------
    requests
        Negative where the replica is likely to hold a part of the prompt, positive where it
        has failed of late.
    """

    replica_id: str
    requests: float


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """How a request may wait in the keeper's line; times are in seconds from its sending.

    Attributes
    ----------
    ticket
        Names the request; the same when its gateway asks again.
    process
        Name of its gateway's process; a gateway that starts again has another.
    tenant
        ``None`` where there are no tenants.
    rank
        0 goes first.
    waited_s
        Since it came.
    target_in_s, dispatch_by_s, left_s
        Time until its first event is late, until its gateway lets it go in any case, and until
        its caller's patience ends.
    service_s, first_byte_s
        How long its gateway has seen requests be served, and wait for their first byte.
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
    """Ask who keeps room where an online request should go; answered by ``OnlinePlaced``.

    Attributes
    ----------
    in_flight
        Online requests that the gateway has at the pool's engines, without this one.
    excluded
        Replicas that have been tried, or fail for this gateway.
    offsets
        Of the replicas for which there are any.
    slowness_reports
        New words of replicas that tell how slow they are.
    terms
        How it may wait; ``None`` if it must be placed at once.
    withdrawn
        Tickets of other requests that wait in the line no more.
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


class OnlinePlaced(PeerMessage, frozen=True):
    """The replica for an online request, which is counted there already.

    Attributes
    ----------
    replica_id
        Empty if every replica of the pool is excluded, or if the request waits or is refused.
    loads
        As the keeper knows them now, this request included.
    queue_length
        Requests that wait in the keeper's line, or ``NO_QUEUE``.
    queued
        Whether the request has its place in the line.
    retry_after_s
        Set if the request cannot be served before its caller's patience ends: when to come again.
    """

    replica_id: str
    loads: tuple[ReplicaLoad, ...]
    queue_length: int = msgspec.field(name="line", default=NO_QUEUE)
    queued: bool = msgspec.field(name="waits", default=False)
    retry_after_s: float | None = None


class OnlineGrant(msgspec.Struct, frozen=True, array_like=True):
    """The turn of a request that waits: it is counted at the replica already."""

    ticket: str
    replica_id: str


class OnlineGrants(PeerMessage, tag="OnlineTurns", frozen=True):
    """Tell a gateway whose turn it is; answered by ``GrantsAccepted``."""

    grants: tuple[OnlineGrant, ...] = msgspec.field(name="turns")


class GrantsAccepted(PeerMessage, tag="TurnsTaken", frozen=True):
    """The tickets of the requests that go now; the others have left their gateway."""

    tickets: tuple[str, ...]


class PreemptItems(PeerMessage, tag="GiveBack", frozen=True):
    """Ask a coordinator to cut items at once; answered by ``ItemsPreempted``."""

    items: tuple[ItemsAt, ...]


class ItemsPreempted(PeerMessage, tag="GivenBack", frozen=True):
    """The items are being cut, as far as they still ran."""


class SlotsFreed(PeerMessage, tag="RoomFreed", frozen=True):
    """Tell a coordinator that there is room for its items.

    Answered by ``SlotsFreedAcknowledged``.
    """


class SlotsFreedAcknowledged(PeerMessage, tag="RoomFreedNoted", frozen=True):
    """The coordinator claims room at once."""
