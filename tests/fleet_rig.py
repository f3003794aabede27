"""A small fleet for tests: gateways and storage nodes in the process of the test.

The platform's store and the replicas are stand-ins. Each node has its own loopback address, as
all nodes use the same port for peers.
"""

from __future__ import annotations

import json
import shutil
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from quaymill.platform.gateway_role import GATEWAY_PROTOCOL
from quaymill.platform.object_store import PlatformObjectStore
from quaymill.platform.storage_role import STORAGE_PROTOCOL
from quaymill.process.gateway_node import GatewayFeatures, GatewayNode
from quaymill.process.serving_settings import Bounds, Listeners, ServingSettings
from quaymill.process.storage_node import StorageNode
from quaymill_bench.fleet_world import HOST, ZONES, configuration, job_body
from quaymill_bench.ports import free_port, loopback_address
from quaymill_standins.fleet_replica import FIRST_VERSION, FleetReplica
from quaymill_standins.fleet_store import FleetStore

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
HEARTBEAT_S = 0.5


def wait_until(condition: Callable[[], Any], what: str, timeout_s: float = WAIT_TIMEOUT_S) -> Any:
    """Poll until ``condition`` returns a true value, and return it."""
    deadline = time.monotonic() + timeout_s
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {timeout_s} s: {what}")
        time.sleep(POLL_INTERVAL_S)


class FleetRig:
    """Builds a fleet, injects faults and stops it.

    Parameters
    ----------
    zones
        Zones over which processes and engines are distributed round-robin.
    features
        Optional parts of the gateways that are enabled.
    settings
        Fields of each process's settings that differ from the defaults.
    """

    def __init__(
        self,
        gateways: int = 2,
        storage: int = 3,
        engines: int = 2,
        zones: tuple[str, ...] = ZONES,
        features: GatewayFeatures | None = None,
        **settings: Any,
    ) -> None:
        self._features = features or GatewayFeatures()
        self.folder = Path(tempfile.mkdtemp(prefix="quaymill-fleet-"))
        self.peer_port = free_port()
        self.store = FleetStore()
        self.replicas: dict[str, FleetReplica] = {}
        self.gateways: dict[str, GatewayNode] = {}
        self.storage: dict[str, StorageNode] = {}
        self.settings: dict[str, ServingSettings] = {}
        self._beating = threading.Event()
        self._counts = (gateways, storage, engines)
        self._zones = zones
        self._settings_overrides = settings
        self._pool = urllib3.PoolManager(retries=False, num_pools=50, maxsize=20, block=False)

    def start(self, version: int = 1, **fields: Any) -> FleetRig:
        """Start everything, and wait until the gateways are ready and know all other nodes.

        Parameters
        ----------
        fields
            Fields of the first configuration in addition to its version.
        """
        gateways, storage, engines = self._counts
        self.store.start()
        self.store.put("config", "main", configuration(version, **fields))
        for index in range(engines):
            self.add_replica("engine", self._zone_of(index))
        self.add_replica("application", ZONES[0])
        self.add_replica("application", ZONES[1])
        for index in range(storage):
            self.start_storage(f"storage-{index}", self._zone_of(index))
        for index in range(gateways):
            self.start_gateway(f"gateway-{index}", self._zone_of(index))
        self.wait_ready()
        return self

    def _zone_of(self, index: int) -> str:
        return self._zones[index % len(self._zones)]

    def stop(self) -> None:
        """Stop everything without draining."""
        stops = [gateway.kill for gateway in self.gateways.values()]
        stops += [node.stop for node in self.storage.values()]
        stops += [replica.stop for replica in self.replicas.values()]
        stops.append(self.store.stop)
        # In parallel, as each waits for its own threads, which check for the stop periodically.
        with ThreadPoolExecutor(len(stops)) as executor:
            for stopped in [executor.submit(stop) for stop in stops]:
                stopped.result()
        self._pool.clear()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Nodes and replicas.

    def add_replica(
        self, service: str, zone: str, slots: int = 4, version: str = FIRST_VERSION
    ) -> FleetReplica:
        """Start a replica and list it in the store."""
        replica = FleetReplica(
            f"{service}-{len(self.replicas)}", service, zone, slots, version=version
        )
        replica.start()
        self.replicas[replica.id] = replica
        self.store.put("servers", replica.id, replica.entry())
        return replica

    def of_service(self, service: str) -> list[FleetReplica]:
        """Return the replicas of a service."""
        return [replica for replica in self.replicas.values() if replica.service == service]

    def start_gateway(self, name: str, zone: str) -> GatewayNode:
        """Start a gateway; a second one with the same name reuses the address of the first."""
        settings = self._settings_of(name, zone)
        gateway = GatewayNode(
            settings,
            PlatformObjectStore(settings.store_endpoint),
            GATEWAY_PROTOCOL,
            None,
            features=self._features,
        )
        gateway.start()
        self.gateways[name] = gateway
        return gateway

    def start_storage(self, name: str, zone: str) -> StorageNode:
        """Start a storage node with a data folder named after it."""
        settings = self._settings_of(name, zone, str(self.folder / name))
        node = StorageNode(settings, PlatformObjectStore(settings.store_endpoint), STORAGE_PROTOCOL)
        node.start()
        self.storage[name] = node
        return node

    def wipe(self, name: str) -> None:
        """Delete the data of a stopped storage node."""
        shutil.rmtree(self.folder / name)

    def wait_ready(self) -> None:
        """Wait until every gateway is ready and knows all storage nodes and gateways."""
        for name, gateway in self.gateways.items():
            wait_until(
                lambda name=name, gateway=gateway: self._is_ready(name, gateway),
                f"{name} is ready and knows the others",
            )

    def _is_ready(self, name: str, gateway: GatewayNode) -> bool:
        network = gateway.network
        return (
            self.get(name, "/v1/ready", port=self.ports(name)[1]).status == 200
            and len(network.storage_nodes()) == len(self.storage)
            and len(network.gateways()) == len(self.gateways)
        )

    def ports(self, name: str) -> tuple[int, int]:
        """Return a gateway's ports for callers and for readiness."""
        listen = self.settings[name].listen
        return int(listen.callers.split(":")[1]), int(listen.readiness.split(":")[1])

    def _settings_of(self, name: str, zone: str, data_folder: str = "") -> ServingSettings:
        existing = self.settings.get(name)
        if existing is not None:
            return existing
        address = loopback_address()
        others = [one.address for one in self.settings.values()][:3]
        listen = Listeners(f"{address}:{free_port()}", f"{address}:{free_port()}")
        settings = ServingSettings(
            name=name,
            zone=zone,
            region="region",
            address=address,
            peer_ports=f"{self.peer_port},{self.peer_port}",
            store=f"127.0.0.1:{self.store.port}",
            seeds=",".join(f"{other}:1" for other in others),
            data_folder=data_folder,
            disks_lost_at_once=1,
            listen=Listeners() if data_folder else listen,
            bounds=Bounds(leave_s=0.3, grace_s=6.0),
        )
        settings = msgspec.structs.replace(settings, **self._settings_overrides)
        self.settings[name] = settings
        return settings

    def cut_zone(self, zone: str) -> None:
        """Block all links between the processes of a zone and those of other zones."""
        nodes = [*self.gateways.values(), *self.storage.values()]
        members = [node.network.membership.local() for node in nodes]
        for node, local_member in zip(nodes, members, strict=True):
            blocked = [
                one.peer for one in members if (one.zone == zone) != (local_member.zone == zone)
            ]
            node.network.client._link_filter.set_blocked(frozenset(blocked))

    def heal(self) -> None:
        """Unblock all links."""
        for node in [*self.gateways.values(), *self.storage.values()]:
            node.network.client._link_filter.set_blocked(frozenset())

    def configure(self, version: int, **fields: Any) -> None:
        """Write a configuration, and wait until it is in force at every gateway."""
        self.store.put("config", "main", configuration(version, **fields))
        wait_until(
            lambda: all(one.control.routes.version == version for one in self.gateways.values()),
            f"configuration {version} is in force",
        )

    # Calls to gateways.

    def call(
        self,
        gateway: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        port: int | None = None,
        preload: bool = True,
        timeout_s: float = 15.0,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to a gateway."""
        settings = self.settings[gateway]
        port = port or self.ports(gateway)[0]
        return self._pool.request(
            method,
            f"http://{settings.address}:{port}{path}",
            body=body,
            headers={"Host": HOST} | (headers or {}),
            preload_content=preload,
            timeout=timeout_s,
        )

    def get(self, gateway: str, path: str, **fields: Any) -> urllib3.BaseHTTPResponse:
        """Send a GET to a gateway."""
        return self.call(gateway, "GET", path, **fields)

    def ask(
        self,
        gateway: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        tokens: bool = False,
        deadline_ms: int = 8000,
        **fields: Any,
    ) -> urllib3.BaseHTTPResponse:
        """Send an opaque request; ``tokens`` requests a stream."""
        headers = {"Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
        if tokens:
            headers["Token-Count"] = "100,10"
        return self.call(gateway, "POST", path, body, headers | fields.pop("headers", {}), **fields)

    def submit(
        self,
        gateway: str,
        job_id: str,
        items: int = 3,
        path_suffix: str = "ok",
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Submit a batch job."""
        headers = {"Request-Id": job_id} | (headers or {})
        return self.call(gateway, "POST", "/jobs/x", job_body(job_id, items, path_suffix), headers)

    def read_results(
        self,
        gateway: str,
        job_id: str,
        since: int = 0,
        wait_ms: int = 0,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Read results of a job."""
        headers = {"Wait-Ms": str(wait_ms)} | (headers or {})
        return self.get(gateway, f"/v1/lots/{job_id}?since_rev={since}", headers=headers)

    def wait_results(
        self, gateway: str, job_id: str, count: int, headers: dict[str, str] | None = None
    ) -> list[dict[str, Any]]:
        """Wait until a job has ``count`` results, and return them."""

        def results() -> list[dict[str, Any]] | None:
            answer = self.read_results(gateway, job_id, headers=headers)
            if answer.status != 200:
                return None
            page = json.loads(answer.data)["results"]
            return page if len(page) >= count else None

        return wait_until(results, f"{count} results of {job_id} at {gateway}")
