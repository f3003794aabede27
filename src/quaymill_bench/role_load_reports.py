"""What load reports cost: bytes of a report, and processor time to poll, answer and pull."""

from __future__ import annotations

import contextlib
import multiprocessing
import multiprocessing.connection
import os
import socket
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.load_messages import GetLoad, LoadReport, LoadReports
from quaymill.connection.member import Machine, MachineRole, Member
from quaymill.connection.peer_link import PeerServer
from quaymill.connection.replica_connection import ReplicaConnections, ReplicaRequest
from quaymill.process.machine_list import MachineList, MachineListHolder
from quaymill.process.replicas.load_view import LoadView
from quaymill_bench.caller import Caller
from quaymill_bench.hollow import HOST, CountingPeerClient, hollow_settings
from quaymill_bench.ports import free_port
from quaymill_bench.processes import ManagedProcess, wait_until
from quaymill_bench.role_fit import MICRO, Sample, Slope, fit_slopes, measure_window

POLLED_POINTS = (0, 4, 8, 16, 32)
PULL_POINTS = ((0, 0), (10, 8), (20, 8), (40, 8), (20, 1), (20, 32))
"""Peers, and reports of each."""
MOST_PEERS = max(peers for peers, _ in PULL_POINTS)
WINDOW_S = 3.0
WARM_UP_S = 1.0
START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 0.5
LARGEST_POLL_BYTES = 65536
ZONE = "zone-a"
SERVICE = "drafting"


class LoadReportSlopes(msgspec.Struct, frozen=True):
    """Costs of the load view.

    Attributes
    ----------
    poll_by
        Processor time a second of the polling node, by replica polled four times a second.
    poll_bytes
        Bytes of one poll with its answer, HTTP headers included, from the engine stand-in.
    pull_by, answer_by
        Processor time of the node that asks and of those that answer, by pull and by report.
    pull_bytes_by
        Bytes of a pull with its reply, by pull and by report.
    """

    poll_by: dict[str, Slope]
    poll_bytes: int
    pull_by: dict[str, Slope]
    answer_by: dict[str, Slope]
    pull_bytes_by: dict[str, Slope]


class _Pull(msgspec.Struct):
    sample: Sample
    pulls: int
    reports: int
    bytes: int


class _Members:
    def __init__(self, members: tuple[Member, ...]) -> None:
        self._members = members

    def live(self) -> tuple[Member, ...]:
        return self._members


def measure_load_reports() -> LoadReportSlopes:
    """Measure polls of one engine under many names, then pulls from many peers."""
    polls, poll_bytes = _measure_polls()
    pulls = _measure_pulls()
    columns = {
        "second": [pull.sample.wall_s for pull in pulls],
        "pull": [pull.pulls for pull in pulls],
        "report": [pull.reports for pull in pulls],
    }
    byte_columns = {name: columns[name] for name in ("pull", "report")}
    return LoadReportSlopes(
        poll_by=fit_slopes(
            {
                "second": [sample.wall_s for sample in polls],
                "replica second": [
                    count * sample.wall_s
                    for count, sample in zip(POLLED_POINTS, polls, strict=True)
                ],
            },
            [sample.cpu_s["here"] for sample in polls],
            "us",
            MICRO,
        ),
        poll_bytes=poll_bytes,
        pull_by=fit_slopes(columns, [pull.sample.cpu_s["here"] for pull in pulls], "us", MICRO),
        answer_by=fit_slopes(columns, [pull.sample.cpu_s["peers"] for pull in pulls], "us", MICRO),
        pull_bytes_by=fit_slopes(byte_columns, [pull.bytes for pull in pulls], "bytes"),
    )


def _measure_polls() -> tuple[list[Sample], int]:
    port = free_port()
    command = [str(Path(sys.executable).parent / "quaymill-standin"), "engine"]
    command += ["--port", str(port), "--model", SERVICE, "--zone", ZONE]
    with tempfile.TemporaryDirectory() as folder:
        engine = ManagedProcess("engine", command, Path(folder) / "engine.out")
        engine.start()
        try:
            caller = Caller(f"http://{HOST}:{port}", key="")
            wait_until(
                lambda: caller.request("GET", "/health").status == 200,
                START_TIMEOUT_S,
                "the engine answers",
            )
            endpoint = Endpoint(HOST, port)
            samples = [_poll(endpoint, count) for count in POLLED_POINTS]
            return samples, _poll_bytes(endpoint)
        finally:
            engine.kill()


def _poll(engine: Endpoint, replicas: int) -> Sample:
    view = _load_view(replicas, engine, peers=())
    view.start()
    time.sleep(WARM_UP_S)
    sample = measure_window({"here": os.getpid()}, lambda: time.sleep(WINDOW_S))
    view.stop()
    time.sleep(WARM_UP_S)
    return sample


def _poll_bytes(engine: Endpoint) -> int:
    """Catch one poll as a node sends it, give it to the engine, and count both ways."""
    connections = ReplicaConnections(LinkFilter())
    with socket.create_server((HOST, 0)) as listener:
        listening = Endpoint(HOST, listener.getsockname()[1])
        connections.send(listening, ReplicaRequest("GET", "/load", {}))
        caught, _ = listener.accept()
        with caught:
            request = caught.recv(LARGEST_POLL_BYTES)
    connections.close()
    size = len(request)
    with socket.create_connection((engine.host, engine.port)) as forwarded:
        forwarded.settimeout(ANSWER_TIMEOUT_S)
        forwarded.sendall(request)
        with contextlib.suppress(TimeoutError):
            while part := forwarded.recv(LARGEST_POLL_BYTES):
                size += len(part)
    return size


def _measure_pulls() -> list[_Pull]:
    context = multiprocessing.get_context("spawn")
    here, there = context.Pipe()
    peers = context.Process(target=_serve_peers, args=(there,), daemon=True)
    peers.start()
    try:
        ports = here.recv()
        return [_pull(here, peers.pid, ports[:count], reports) for count, reports in PULL_POINTS]
    finally:
        peers.terminate()
        peers.join()


def _pull(
    pipe: multiprocessing.connection.Connection, peers_pid: int, ports: list[int], reports: int
) -> _Pull:
    pipe.send(reports)
    client = CountingPeerClient(LinkFilter())
    view = _load_view(reports, Endpoint(HOST, 1), tuple(ports), client)
    view.start()
    time.sleep(WARM_UP_S)
    before = _traffic(client)
    pids = {"here": os.getpid(), "peers": peers_pid}
    sample = measure_window(pids, lambda: time.sleep(WINDOW_S))
    calls, size = (now - then for now, then in zip(_traffic(client), before, strict=True))
    view.stop()
    time.sleep(WARM_UP_S)
    client.close()
    return _Pull(sample, calls, calls * reports, size)


def _traffic(client: CountingPeerClient) -> tuple[int, int]:
    traffic = client.traffic.get(GetLoad.__name__)
    if traffic is None:
        return 0, 0
    return traffic.calls, traffic.sent_bytes + traffic.received_bytes


def _load_view(
    replicas: int,
    engine: Endpoint,
    peers: tuple[int, ...],
    client: CountingPeerClient | None = None,
) -> LoadView:
    """Return a view that polls all replicas, or pulls all reports if there are peers."""
    own = Endpoint(HOST, 1)
    zone = "zone-b" if peers else ZONE
    members = [Member("node-own", zone, "region", own, own)]
    for port in peers:
        endpoint = Endpoint(HOST, port)
        members.append(Member(f"node-zone-a-{port}", ZONE, "region", endpoint, endpoint))
    machines = MachineListHolder()
    machines.offer(
        MachineList(
            1,
            tuple(
                Machine(_replica(number), MachineRole.ENGINE, ZONE, engine, SERVICE)
                for number in range(replicas)
            ),
        )
    )
    return LoadView(
        hollow_settings("node-own", zone, platform_port=1),
        machines,
        _Members(tuple(members)),
        client or CountingPeerClient(LinkFilter()),
        PeerServer(Endpoint(HOST, 0)),
        LinkFilter(),
    )


def _replica(number: int) -> str:
    return f"engine-zone-a-{number:04}"


def _report(number: int) -> LoadReport:
    return LoadReport(_replica(number), 0.21875, 24, 2, 12, 32)


def _serve_peers(pipe: multiprocessing.connection.Connection) -> None:
    """Answer as many peers would, with as many reports as the pipe says."""
    reports = 0

    def answer(_: GetLoad) -> LoadReports:
        return LoadReports(tuple(_report(number) for number in range(reports)))

    servers = [PeerServer(Endpoint(HOST, 0)) for _ in range(MOST_PEERS)]
    for server in servers:
        server.register(GetLoad, answer)
        server.start()
    pipe.send([server.endpoint.port for server in servers])
    while True:
        reports = pipe.recv()
