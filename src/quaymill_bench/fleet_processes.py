"""A fleet of real processes on loopback, before stand-ins of the platform's store and replicas.

Every process reaches the store through a proxy of its own, every replica is listed with a
proxy's address, and each pair of processes may have a proxy in each direction, so that links can
be disturbed from outside. Processes are stopped, paused and
killed by signals; only processes started here are touched, by their ids.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import urllib3

from quaymill_bench.fleet_world import (
    COLD_REQUESTS_PER_S,
    ENGINE_VERSIONS,
    HOST,
    ZONES,
    configuration,
    job_body,
)
from quaymill_bench.loopback_proxy import LoopbackProxy
from quaymill_bench.ports import free_port, loopback_address
from quaymill_bench.routed_process import (
    ADDRESS_VARIABLE,
    CLOCK_VARIABLE,
    ROUTES_VARIABLE,
    write_clock_lead,
)
from quaymill_standins.fleet_replica import FleetReplica
from quaymill_standins.fleet_store import FleetStore

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 12.0
SETTINGS_VARIABLE = "QUAYMILL_BOOT"
MAIN_MODULE = "quaymill.platform.main"
REPLICA_DOWN_S = 1.0
"""Time between the crash of a replica and its next start."""
GRACE_S = 6.0
LEAVE_S = 0.5
OVERRUN_REQUESTS = 6.0
"""Requests by which a tenant's limit may be overrun in a window, beside its share."""
EVACUATION_S = 5.0
COLD_RATE_FACTOR = 1.5
COLD_RATE_SLACK = 3.0
COLD_MOST_PER_S = COLD_REQUESTS_PER_S * COLD_RATE_FACTOR + COLD_RATE_SLACK
"""Requests in any second that a cold replica may get."""


def wait_until(condition: Callable[[], Any], what: str, timeout_s: float = START_TIMEOUT_S) -> Any:
    """Poll until ``condition`` returns something true, and return that."""
    deadline = time.monotonic() + timeout_s
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout_s} s: {what}")
        time.sleep(POLL_INTERVAL_S)


@attrs.define
class FleetProcess:
    """One gateway or storage node.

    Attributes
    ----------
    role
        ``gateway`` or ``job-storage``.
    links_by_target
        Proxies of its connections to other processes, by their names; empty where it has none.
    process
        What runs now; ``None`` while it is down.
    started_at
        Monotonic time of its last start.
    clock_lead_s
        How far its boot clock has moved ahead of the steady one.
    ended_on_purpose
        Whether it was told to end since.
    shows_address
        Whether it connects from its own address, so that replicas see who sends.
    """

    name: str
    role: str
    address: str
    settings_file: Path
    log_file: Path
    callers_port: int = 0
    readiness_port: int = 0
    store_proxy: LoopbackProxy | None = None
    links_by_target: dict[str, LoopbackProxy] = attrs.field(factory=dict)
    process: subprocess.Popen | None = None
    started_at: float = 0.0
    ended_on_purpose: bool = True
    clock_lead_s: float = 0.0
    zone: str = ""
    shows_address: bool = False

    @property
    def routes_file(self) -> Path:
        """Table of the proxies that its connections to peers lead through."""
        return self.settings_file.with_suffix(".routes.json")

    @property
    def clock_file(self) -> Path:
        """Holds how far its boot clock is ahead of the machine's."""
        return self.settings_file.with_suffix(".clock")

    def move_boot_clock(self, seconds: float) -> None:
        """Let its boot clock run ahead of its steady clock, as a suspension does."""
        self.clock_lead_s += seconds
        write_clock_lead(self.clock_file, self.clock_lead_s)

    def start(self) -> None:
        """Start the process, unless it runs: two faults may have ended it, and both start it."""
        if self.process is not None and self.process.poll() is None:
            return
        self.started_at = time.monotonic()
        self.ended_on_purpose = False
        module = "quaymill_bench.routed_process" if self.links_by_target else MAIN_MODULE
        variables = {
            SETTINGS_VARIABLE: str(self.settings_file),
            ROUTES_VARIABLE: str(self.routes_file),
            CLOCK_VARIABLE: str(self.clock_file),
        }
        if self.shows_address:
            variables[ADDRESS_VARIABLE] = self.address
        write_clock_lead(self.clock_file, self.clock_lead_s)
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, self.role],
                env=os.environ | variables,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.ended_on_purpose = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def age_s(self) -> float:
        """Return the time since its last start."""
        return time.monotonic() - self.started_at

    @property
    def ended_by_itself(self) -> bool:
        """Whether it has ended though nobody told it to."""
        return not self.ended_on_purpose and self.process.poll() is not None

    def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def terminate(self) -> int:
        """Stop the process in order; return its exit code."""
        self.send(signal.SIGTERM)
        return self.process.wait(GRACE_S + 5.0)

    def wait_ended(self) -> None:
        """Wait until a process that was told to stop has ended; end one that does not."""
        try:
            self.process.wait(GRACE_S + 5.0)
        except subprocess.TimeoutExpired:
            self.kill()


class LocalFleet:
    """Builds, disturbs and stops a fleet of processes.

    Parameters
    ----------
    linked
        Whether each pair of processes has a proxy in each direction.
    tenants
        Of the first configuration; ``None`` if requests need no keys.
    zones_lost_at_once
        Of the settings of each process.
    placement_limits
        Whether zones may be evacuated and replicas be cold: bounds stand in the settings and rates
        in the configuration, and linked processes connect from their own addresses.
    """

    def __init__(
        self,
        folder: Path,
        gateways: int = 3,
        storage: int = 3,
        engines: int = 3,
        *,
        linked: bool = False,
        tenants: tuple[dict[str, Any], ...] | None = None,
        zones_lost_at_once: int = 0,
        placement_limits: bool = False,
    ) -> None:
        self.folder = folder
        self.placement_limits = placement_limits
        self.zones_lost_at_once = zones_lost_at_once
        # Disks of an earlier fleet hold jobs of the same names, whose retention has run out.
        shutil.rmtree(folder, ignore_errors=True)
        self.store = FleetStore()
        self.replicas: dict[str, FleetReplica] = {}
        self.replica_proxies: dict[str, LoopbackProxy] = {}
        self.processes: dict[str, FleetProcess] = {}
        self._peer_port = free_port()
        self._planned = (gateways, storage, engines)
        self._linked = linked
        self._tenants = tenants
        self._restart_lock = threading.Lock()
        self._held_down: set[str] = set()
        self.stopping = False
        self.pool = urllib3.PoolManager(retries=False, num_pools=20, maxsize=30)

    @property
    def gateways(self) -> list[FleetProcess]:
        """The gateways, those that are down included."""
        return [one for one in self.processes.values() if one.role == "gateway"]

    @property
    def storage_nodes(self) -> list[FleetProcess]:
        """The storage nodes, those that are down included."""
        return [one for one in self.processes.values() if one.role == "job-storage"]

    def start(self) -> LocalFleet:
        """Start everything, and wait until every gateway is ready."""
        gateways, storage, engines = self._planned
        self.folder.mkdir(parents=True, exist_ok=True)
        self.store.start()
        first = configuration(1, tenants=self._tenants, cold_rates=self.placement_limits)
        self.store.put("config", "main", first)
        for index in range(engines):
            self.add_replica("engine", ZONES[index % len(ZONES)])
        for index in range(2):
            self.add_replica("application", ZONES[index])
        for index in range(storage):
            self._add_process("job-storage", f"storage-{index}", ZONES[index % len(ZONES)])
        for index in range(gateways):
            self._add_process("gateway", f"gateway-{index}", ZONES[index % len(ZONES)])
        if self._linked:
            self._link()
        for process in self.processes.values():
            process.start()
        self.wait_ready()
        return self

    def _link(self) -> None:
        """Put a proxy into each direction between two processes."""
        for source in self.processes.values():
            routes = {}
            for target in self.processes.values():
                if target is not source:
                    proxy = LoopbackProxy((target.address, self._peer_port))
                    source.links_by_target[target.name] = proxy
                    routes[f"{target.address}:{self._peer_port}"] = ("127.0.0.1", proxy.port)
            source.routes_file.write_text(json.dumps(routes))

    def stop(self) -> None:
        """End everything that was started here."""
        self.stopping = True
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.kill()
            if process.store_proxy is not None:
                process.store_proxy.stop()
            for proxy in process.links_by_target.values():
                proxy.stop()
        for proxy in self.replica_proxies.values():
            proxy.stop()
        for replica in self.replicas.values():
            replica.stop()
        self.store.stop()

    def wait_ready(self) -> None:
        """Wait until every gateway calls itself ready."""
        for gateway in self.gateways:
            wait_until(lambda g=gateway: self._is_ready(g), f"{gateway.name} is ready")

    def add_replica(self, service: str, zone: str) -> FleetReplica:
        """Start a replica behind a proxy, and list it.

        One that crashes is started again a moment later, under its id and at its address.
        """
        engines = sum(one.service == "engine" for one in self.replicas.values())
        replica = FleetReplica(
            f"{service}-{len(self.replicas)}",
            service,
            zone,
            on_crash=self._start_again_later,
            version=ENGINE_VERSIONS[engines % len(ENGINE_VERSIONS)],
        )
        replica.start()
        proxy = LoopbackProxy(("127.0.0.1", replica.port))
        self.replicas[replica.id] = replica
        self.replica_proxies[replica.id] = proxy
        self.list_replica(replica, "ready")
        return replica

    def _start_again_later(self, crashed: FleetReplica) -> None:
        threading.Thread(target=self._start_again, args=(crashed,), daemon=True).start()

    def _start_again(self, crashed: FleetReplica) -> None:
        time.sleep(REPLICA_DOWN_S)
        wait_until(crashed.has_ended, f"the port of {crashed.id} is free")
        with self._restart_lock:
            # It may be held down, or have returned already.
            if crashed.id not in self._held_down and self.replicas[crashed.id] is crashed:
                self._start_anew(crashed)

    def hold_down(self, replica_id: str) -> None:
        """End a replica and remove its entry, until it is told to return."""
        with self._restart_lock:
            self._held_down.add(replica_id)
        self.replicas[replica_id].crash()
        self.store.remove("servers", replica_id)

    def return_cold(self, replica_id: str, cold_s: float) -> None:
        """Start a replica that was held down, cold, under its id and at its address."""
        held = self.replicas[replica_id]
        wait_until(held.has_ended, f"the port of {replica_id} is free")
        with self._restart_lock:
            self._held_down.discard(replica_id)
            self._start_anew(held, cold_s)

    def _start_anew(self, crashed: FleetReplica, cold_s: float = 0.0) -> None:
        if self.stopping:
            return
        again = FleetReplica(
            crashed.id,
            crashed.service,
            crashed.zone,
            on_crash=self._start_again_later,
            port=crashed.port,
            cold_s=cold_s,
            version=crashed.version,
        )
        again.behaviour = crashed.behaviour
        # What was run before is still to be checked.
        again.runs = crashed.runs
        again.arrivals = crashed.arrivals
        again.start()
        self.replicas[again.id] = again
        self.list_replica(again, "ready")
        if cold_s:
            timer = threading.Timer(cold_s, self._list_warm, (again,))
            timer.daemon = True
            timer.start()

    def _list_warm(self, replica: FleetReplica) -> None:
        """Write into a replica's entry that it is warm, if the entry is still of this start."""
        held = self.store.read("servers", replica.id)
        spec = held["spec"] if held else None
        if isinstance(spec, dict) and spec.get("born") == replica.started_ms:
            self.store.put("servers", replica.id, spec | {"cold_left_ms": 0})

    def list_replica(self, replica: FleetReplica, state: str) -> None:
        """Write a replica's entry into the store, unless the replica is held down."""
        if replica.id in self._held_down:
            return
        port = self.replica_proxies[replica.id].port
        entry = replica.entry(state) | {"address": f"127.0.0.1:{port}"}
        self.store.put("servers", replica.id, entry)

    def wipe(self, process: FleetProcess) -> None:
        """Remove what a storage node that is down has on its disk."""
        shutil.rmtree(self.folder / process.name)

    def call(
        self,
        gateway: FleetProcess,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        preload: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to a gateway; raises ``urllib3.exceptions.HTTPError``."""
        return self.pool.request(
            method,
            f"http://{gateway.address}:{gateway.callers_port}{path}",
            body=body,
            headers={"Host": HOST} | (headers or {}),
            timeout=REQUEST_TIMEOUT_S,
            preload_content=preload,
        )

    def submit(
        self,
        gateway: FleetProcess,
        job_id: str,
        items: int,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Submit a batch job."""
        body = job_body(job_id, items)
        headers = {"Request-Id": job_id} | (headers or {})
        return self.call(gateway, "POST", "/jobs/x", body, headers)

    def _is_ready(self, gateway: FleetProcess) -> bool:
        url = f"http://{gateway.address}:{gateway.readiness_port}/v1/ready"
        try:
            return self.pool.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _add_process(self, role: str, name: str, zone: str) -> None:
        address = loopback_address()
        proxy = LoopbackProxy(("127.0.0.1", self.store.port))
        seeds = [one.address for one in self.processes.values()][:3]
        process = FleetProcess(
            name,
            role,
            address,
            self.folder / f"{name}.toml",
            self.folder / f"{name}.log",
            free_port(),
            free_port(),
            proxy,
            zone=zone,
            shows_address=self.placement_limits,
        )
        lines = [
            f'name = "{name}"',
            f'zone = "{zone}"',
            'region = "region"',
            f'address = "{address}"',
            f'peer_ports = "{self._peer_port},{self._peer_port}"',
            f'store = "127.0.0.1:{proxy.port}"',
            f'seeds = "{",".join(f"{seed}:1" for seed in seeds)}"',
            f"zones_lost_at_once = {self.zones_lost_at_once}",
        ]
        if role == "job-storage":
            lines.append(f'data_folder = "{self.folder / name}"')
        else:
            lines += [
                "[listen]",
                f'callers = "{address}:{process.callers_port}"',
                f'readiness = "{address}:{process.readiness_port}"',
            ]
        lines += ["[bounds]", f"grace_s = {GRACE_S}", f"leave_s = {LEAVE_S}"]
        lines.append(f"quota_overrun_requests = {OVERRUN_REQUESTS}")
        if self.placement_limits:
            lines.append(f"evacuation_ms = {1000 * EVACUATION_S}")
            lines.append(f"cold_rate_factor = {COLD_RATE_FACTOR}")
            lines.append(f"cold_rate_slack = {COLD_RATE_SLACK}")
        process.settings_file.write_text("\n".join(lines) + "\n")
        self.processes[name] = process
