"""What a request needs of the replicas: one to go to, and a place to note how that went."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import attrs

from quaymill.connection.replica_entry import ReplicaEntry, ReportedLoad, SlownessReading
from quaymill.request.forwarded_request import ForwardedRequest
from quaymill.request.presence import CallerPresence
from quaymill.request.prompt import Prompt
from quaymill.version.request_routes import RequestRoute


@attrs.frozen
class NoReplica:
    """No replica of the service may take a request now."""

    service: str
    reason: str


@attrs.frozen
class CannotServeInTime:
    """The request is refused: by the line before it, it cannot be served in its caller's time.

    Attributes
    ----------
    retry_after_s
        Seconds after which its caller may try again.
    """

    reason: str
    retry_after_s: float


class ChosenReplica(Protocol):
    """One replica, as a request sees it."""

    misdirected: bool

    @property
    def id(self) -> str:
        """Identity of this incarnation."""

    @property
    def entry(self) -> ReplicaEntry:
        """What the replica says of itself."""

    @property
    def first_byte_s(self) -> float:
        """Smoothed time to the first byte of an answer, in seconds; 0 if unknown."""

    @property
    def silent(self) -> bool:
        """Whether the replica owes answers and nothing at all comes from it."""

    @property
    def unreachable(self) -> bool:
        """Whether its zone cannot be reached now."""

    def hear(self) -> None:
        """Note that something came from the replica."""

    def begin_answer(self) -> None:
        """Count a request whose answer has begun to come."""

    def end_answer(self) -> None:
        """Stop counting a request whose answer had begun."""

    def begin(self) -> None:
        """Count a request that is being sent."""

    def end(self) -> None:
        """Stop counting a request."""

    def load(self) -> float:
        """Return the estimated number of requests at the replica."""

    def report_age_s(self) -> float:
        """Return the age of the last report in seconds."""

    def take_report(self, load: ReportedLoad) -> None:
        """Take what the replica told of its load."""

    def slowness(self) -> float:
        """Return how many times as long as usual work is expected to take there now."""

    def reported_slowness(self) -> SlownessReading | None:
        """Return its last word of how slow it is; ``None`` where it tells nothing of it."""

    def record_success(self, first_byte_s: float) -> None:
        """Note a timely answer."""

    def record_failure(self, weight: float = 1.0) -> None:
        """Note a failure."""


class ReplicaChooser(Protocol):
    """Chooses where a request goes."""

    def choose_service(self, route: RequestRoute) -> str:
        """Return the service that takes this request of a route."""

    def choose(
        self, service: str, prompt: Prompt, excluded: Iterable[str]
    ) -> ChosenReplica | NoReplica:
        """Return the best replica, leaving out those whose identity is in ``excluded``."""

    def may_reach_another(self, service: str, excluded: Iterable[str]) -> bool:
        """Return whether a replica that is not in ``excluded`` lies in a zone that is reached."""


class RequestObserver(Protocol):
    """Hears of every request that goes to a replica."""

    def began(self, replica: ChosenReplica) -> None:
        """Take note before the request is sent."""

    def ended(self, replica: ChosenReplica) -> None:
        """Take note once the replica has nothing more to do for it."""


class NoObserver:
    """Stands for: nobody wants to hear."""

    def began(self, replica: ChosenReplica) -> None:
        """Do nothing."""

    def ended(self, replica: ChosenReplica) -> None:
        """Do nothing."""


class DispatchQueue(Protocol):
    """Says when a request may go to a replica."""

    def wait_for_slot(
        self,
        service: str,
        route: RequestRoute,
        request: ForwardedRequest,
        presence: CallerPresence,
    ) -> ChosenReplica | CannotServeInTime | None:
        """Return when a request may go, or its caller has left.

        Returns the replica that it was given a slot of, if its turn came with one: it is counted
        there, so either it goes there or ``give_back`` is called.
        """

    def give_back(self, replica: ChosenReplica) -> None:
        """Note that a request whose turn came with a replica does not go there."""

    def record(self, service: str, took_s: float, first_byte_s: float) -> None:
        """Note how long a replica served a request, in seconds."""


class NoDispatchQueue:
    """Stands for: every request may go at once."""

    def wait_for_slot(
        self,
        service: str,
        route: RequestRoute,
        request: ForwardedRequest,
        presence: CallerPresence,
    ) -> None:
        """Return at once."""

    def give_back(self, replica: ChosenReplica) -> None:
        """Do nothing."""

    def record(self, service: str, took_s: float, first_byte_s: float) -> None:
        """Do nothing."""
