"""Interfaces through which a request finds a replica, waits for a slot and records results."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import attrs

from quaymill.connection.replica_entry import ReplicaEntry, ReportedLoad, SlownessReading
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.presence import CallerPresence
from quaymill.request.prompt import Prompt
from quaymill.request.stream_version import StreamVersion
from quaymill.version.request_routes import RequestRoute


@attrs.frozen
class NoReplica:
    """No replica of the service can currently accept a request.

    Attributes
    ----------
    retry_after_s
        Seconds after which the caller may retry; ``None`` if unknown.
    lacks_grant
        Whether there are replicas that may get the request with a grant of the slot allocator.
    """

    service: str
    reason: str
    retry_after_s: float | None = None
    lacks_grant: bool = False


@attrs.frozen
class CannotServeInTime:
    """The request is refused: given the queue ahead of it, it would miss its caller's timeout.

    Attributes
    ----------
    retry_after_s
        Seconds after which the caller may retry.
    """

    reason: str
    retry_after_s: float


class ChosenReplica(Protocol):
    """One replica, as the forwarding of a request uses it.

    Attributes
    ----------
    misdirected
        Set when another process answered at the replica's address.
    """

    misdirected: bool

    @property
    def id(self) -> str:
        """Id of this process instance of the replica."""

    @property
    def entry(self) -> ReplicaEntry:
        """The replica's entry in the control store."""

    @property
    def first_byte_s(self) -> float:
        """Smoothed time to the first byte of an answer, in seconds; 0 if unknown."""

    @property
    def silent(self) -> bool:
        """Whether the replica has outstanding requests and sends nothing at all."""

    @property
    def unreachable(self) -> bool:
        """Whether the replica's zone is currently unreachable."""

    @property
    def evacuated(self) -> bool:
        """Whether no new request may be sent to the replicas of its zone."""

    def record_received(self) -> None:
        """Record that data was received from the replica."""

    def begin_answer(self) -> None:
        """Count a request whose answer has begun, or whose connection was closed."""

    def end_answer(self) -> None:
        """Stop counting a request that was counted by ``begin_answer``."""

    def take_permit(self) -> bool:
        """Return whether a request may be sent now; uses a grant of the allocator if it is cold."""

    def begin(self) -> None:
        """Count a request that is being sent."""

    def end(self) -> None:
        """Stop counting a request."""

    def load(self) -> float:
        """Return the estimated load of the replica, in online requests."""

    def report_age_s(self) -> float:
        """Return the age of the last load report in seconds."""

    def record_report(self, load: ReportedLoad) -> None:
        """Record a load report of the replica."""

    def record_cold_left(self, left_s: float | None) -> None:
        """Record the remaining warm-up time that the replica states; NaN if it is invalid."""

    def slowness(self) -> float:
        """Return the expected service time as a multiple of the usual one."""

    def reported_slowness(self) -> SlownessReading | None:
        """Return the last slowness that the replica reported; ``None`` if it reports none."""

    def record_success(self, first_byte_s: float) -> None:
        """Record a successful answer and the time to its first byte."""

    def record_failure(self, weight: float = 1.0) -> None:
        """Record a failure; ``weight`` 1 is an ordinary one."""


class ReplicaChooser(Protocol):
    """Chooses the service and the replica for a request."""

    def choose_service(self, route: RequestRoute) -> str:
        """Return the service for one request of the route."""

    def choose(
        self, service: str, prompt: Prompt, excluded: Iterable[str]
    ) -> ChosenReplica | NoReplica:
        """Return the best replica whose id is not in ``excluded``."""

    def may_reach_another(self, service: str, excluded: Iterable[str]) -> bool:
        """Return whether a replica that is not in ``excluded`` is in a reachable zone."""

    def serves_version(self, version: StreamVersion) -> bool:
        """Return whether a replica that may get requests may go on with a stream of a version."""

    def ids_of_other_versions(self, service: str, version: StreamVersion) -> frozenset[str]:
        """Return the ids of the replicas that may not go on with a stream of a version."""


class RequestObserver(Protocol):
    """Is notified of every request that is sent to a replica."""

    def began(self, replica: ChosenReplica) -> None:
        """Called before the request is sent."""

    def ended(self, replica: ChosenReplica) -> None:
        """Called once the replica no longer works on the request."""


class NoObserver:
    """A ``RequestObserver`` that does nothing."""

    def began(self, replica: ChosenReplica) -> None:
        """Do nothing."""

    def ended(self, replica: ChosenReplica) -> None:
        """Do nothing."""


class DispatchQueue(Protocol):
    """Decides when a request may be dispatched to a replica."""

    def wait_for_slot(
        self,
        service: str,
        route: RequestRoute,
        request: ForwardedRequest,
        presence: CallerPresence,
    ) -> ChosenReplica | CannotServeInTime | None:
        """Wait until the request may be dispatched, or ``presence`` is gone or interrupted.

        Returns
        -------
        The replica on which the request was granted a slot, or the refusal; ``None`` if any
        replica may be chosen. The request is already counted at a granted replica, so it must be
        sent there or the slot released with ``release_slot``.
        """

    def may_wait(self, service: str, request: ForwardedRequest) -> bool:
        """Return whether the request's dispatch deadline has not passed yet."""

    def release_slot(self, replica: ChosenReplica) -> None:
        """Release the slot of a granted replica to which the request is not sent."""

    def record(self, service: str, took_s: float, first_byte_s: float) -> None:
        """Record the service time and the time to the first byte of a request, in seconds."""


class NoDispatchQueue:
    """A ``DispatchQueue`` that dispatches every request at once."""

    def wait_for_slot(
        self,
        service: str,
        route: RequestRoute,
        request: ForwardedRequest,
        presence: CallerPresence,
    ) -> None:
        """Return at once."""

    def may_wait(self, service: str, request: ForwardedRequest) -> bool:
        """Return that nothing is waited for."""
        return False

    def release_slot(self, replica: ChosenReplica) -> None:
        """Do nothing."""

    def record(self, service: str, took_s: float, first_byte_s: float) -> None:
        """Do nothing."""


class StreamVersionLookup(Protocol):
    """Records the versions of streams, and finds those of streams that callers take up."""

    def record_begun(self, request_id: str, version: StreamVersion) -> None:
        """Record a stream whose first event is being sent."""

    def version_of(self, request: ForwardedRequest, service: str) -> StreamVersion | None:
        """Return the version that began the stream of a request; ``None`` if it is not known."""


class NoVersionLookup:
    """A ``StreamVersionLookup`` where replicas state no versions."""

    def record_begun(self, request_id: str, version: StreamVersion) -> None:
        """Do nothing."""

    def version_of(self, request: ForwardedRequest, service: str) -> StreamVersion:
        """Return the version of replicas that state none."""
        return StreamVersion(service, "")
