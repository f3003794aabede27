"""What tenants' limits cost: messages, bytes and processor time of granter and gateways.

Four gateways in this process borrow from a granter in a process of its own, over loopback.
"""

from __future__ import annotations

import multiprocessing
import multiprocessing.connection
import threading
import time

import msgspec

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient, PeerServer
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.limits.limiter import TenantLimiter
from quaymill.version.configuration import ServingConfiguration, Tenant
from quaymill_bench.hollow import HOST, CountingPeerClient, hollow_settings
from quaymill_bench.role_fit import MICRO, Sample, Slope, fit_slopes, measure_window

GATEWAYS = 4
POINTS = ((10, 0), (10, 500), (10, 1500), (200, 1000), (200, 2000), (800, 1600), (800, 3200))
"""Tenants, and requests of all gateways together."""
HELD_POINTS = (0, 20, 40, 80)
"""Tenants of which each gateway holds one request."""
HOLD_S = 3.4
IDLE_S = 3.0
SETTLE_TIMEOUT_S = 30.0
TOKENS = 320


class LimitSlopes(msgspec.Struct, frozen=True):
    """Costs of the credits of tenants with limits on tokens and concurrency.

    Attributes
    ----------
    gateway_by, granter_by
        Processor time by second of being there and by message (a call with its reply).
    messages_by
        Messages by request admitted and ended.
    renewals_by
        Messages a second by tenant with a request in service at a gateway.
    """

    gateway_by: dict[str, Slope]
    granter_by: dict[str, Slope]
    messages_by: dict[str, Slope]
    renewals_by: dict[str, Slope]
    borrow_bytes: float
    return_bytes: float


class _OneMember:
    """Every gateway sees one node that can grant."""

    def __init__(self, granter: Member) -> None:
        self._granter = granter

    def live(self) -> tuple[Member, ...]:
        return (self._granter,)


class _Point(msgspec.Struct):
    requests: int
    sample: Sample
    messages: int


def measure_limits() -> LimitSlopes:
    """Measure at several numbers of tenants and requests."""
    context = multiprocessing.get_context("spawn")
    here, there = context.Pipe()
    granter = context.Process(target=_serve_granter, args=(there,), daemon=True)
    granter.start()
    try:
        gateways = _Gateways(here.recv())
        points = [gateways.run(granter.pid, *point) for point in POINTS]
        held = [gateways.hold(count) for count in HELD_POINTS]
        gateways.stop()
    finally:
        granter.terminate()
        granter.join()
    return _slopes(gateways, points, held)


def _slopes(gateways: _Gateways, points: list[_Point], held: list[_Point]) -> LimitSlopes:
    columns = {
        "second": [point.sample.wall_s for point in points],
        "message": [point.messages for point in points],
    }
    by_process = {
        name: fit_slopes(columns, [point.sample.cpu_s[name] for point in points], "us", MICRO)
        for name in ("gateways", "granter")
    }
    rates = [point.messages / point.sample.wall_s / GATEWAYS for point in held]
    return LimitSlopes(
        gateway_by=by_process["gateways"],
        granter_by=by_process["granter"],
        messages_by=fit_slopes(
            {"request": [point.requests for point in points]},
            [point.messages for point in points],
            "messages",
        ),
        renewals_by=fit_slopes({"tenant in service": HELD_POINTS}, rates, "messages/s"),
        borrow_bytes=gateways.bytes_of("BorrowCredits"),
        return_bytes=gateways.bytes_of("ReturnCredits"),
    )


class _Gateways:
    """Four limiters that borrow from the granter."""

    def __init__(self, port: int) -> None:
        granter = Endpoint(HOST, port)
        self._membership = _OneMember(Member("node-granter", "zone-a", "region", granter, granter))
        self._clients = [CountingPeerClient(LinkFilter()) for _ in range(GATEWAYS)]
        self._limiters = [
            _limiter(
                f"node-zone-a-{number}", self._membership, client, PeerServer(Endpoint(HOST, 0))
            )
            for number, client in enumerate(self._clients)
        ]
        for limiter in self._limiters:
            limiter.start()

    def stop(self) -> None:
        for limiter, client in zip(self._limiters, self._clients, strict=True):
            limiter.stop()
            client.close()

    def messages(self) -> int:
        return sum(one.calls for client in self._clients for one in client.traffic.values())

    def bytes_of(self, message: str) -> float:
        """Return the bytes of one call of a type, with its reply."""
        traffic = [client.traffic[message] for client in self._clients]
        total = sum(one.sent_bytes + one.received_bytes for one in traffic)
        return round(total / sum(one.calls for one in traffic), 1)

    def run(self, granter_pid: int, tenants: int, requests: int) -> _Point:
        """Admit and end requests of tenants in turn, and wait until all credits are back."""
        before = self.messages()
        pids = {"gateways": multiprocessing.current_process().pid, "granter": granter_pid}

        def work() -> None:
            threads = [
                threading.Thread(target=_use, args=(limiter, tenants, requests // GATEWAYS))
                for limiter in self._limiters
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self._wait_for(before + 2 * requests)
            if not requests:
                time.sleep(IDLE_S)

        sample = measure_window(pids, work)
        return _Point(requests, sample, self.messages() - before)

    def hold(self, tenants: int) -> _Point:
        """Keep one request of each tenant in service at each gateway for a while."""
        for limiter in self._limiters:
            for number in range(tenants):
                limiter.admit(_name(number), TOKENS)
        before = self.messages()
        sample = measure_window({}, lambda: time.sleep(HOLD_S))
        sent = self.messages() - before
        for limiter in self._limiters:
            for number in range(tenants):
                limiter.release(_name(number), TOKENS, TOKENS)
        return _Point(tenants, sample, sent)

    def _wait_for(self, messages: int) -> None:
        deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
        while self.messages() < messages and time.monotonic() < deadline_s:
            time.sleep(0.01)


def _use(limiter: TenantLimiter, tenants: int, requests: int) -> None:
    for number in range(requests):
        tenant = _name(number % tenants)
        if limiter.admit(tenant, TOKENS) is None:
            limiter.release(tenant, TOKENS, TOKENS // 2)


def _name(number: int) -> str:
    return f"tenant-{number:05}"


def _limiter(
    name: str, membership: _OneMember, client: PeerClient, server: PeerServer
) -> TenantLimiter:
    limits = Tenant(requests_per_s=1e6, tokens_per_s=1e9, concurrency=1_000_000)
    holder = ConfigurationHolder()
    most_tenants = max(tenants for tenants, _ in POINTS)
    tenants = {_name(number): limits for number in range(most_tenants)}
    holder.offer(ServingConfiguration(generation=1, tenants=tenants))
    settings = hollow_settings(name, "zone-a", platform_port=1)
    return TenantLimiter(settings, holder, membership, client, server)


def _serve_granter(pipe: multiprocessing.connection.Connection) -> None:
    """Grant credits until the process is ended."""
    server = PeerServer(Endpoint(HOST, 0))
    local = Member("node-granter", "zone-a", "region", server.endpoint, server.endpoint)
    _limiter("node-granter", _OneMember(local), PeerClient(LinkFilter()), server)
    server.start()
    pipe.send(server.endpoint.port)
    threading.Event().wait()
