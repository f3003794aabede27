"""Planned work of the soak: new versions, stops with late requests, storage nodes that are emptied.

The operator's work goes on while other faults happen: all gateways are killed just as a version
of the engines leaves, callers go on sending slow requests to a gateway that stops, and storage
nodes are emptied at the same moment and taken away with their disks.
"""

from __future__ import annotations

import contextlib
import http.client
import random
import signal
import subprocess
import threading
import time
from collections.abc import Callable

import msgspec

from quaymill_bench.fleet_processes import GRACE_S, LEAVE_S, FleetProcess, LocalFleet
from quaymill_bench.fleet_world import ENGINE_VERSIONS, HOST, key_header, request_headers
from quaymill_bench.soak_placement import Disturbances, stopping
from quaymill_bench.soak_tenants import OFFICE_KEYS
from quaymill_standins.fleet_replica import ReplicaBehaviour

LATE_CALLERS = 4
LATE_DEADLINE_MS = 8000
SLOW_ANSWER_S = GRACE_S
"""A request that begins after the stop does not end before the process."""
EMPTIED = 2
RETIREMENTS = "retirements"
SUCCEEDED = "succeeded"
NEXT_VERSION_S = 0.5
"""Time in which gateways learn that a version has left, before they are killed."""
ORDERLY_EXIT = 0

Heal = Callable[[], None]


class TurnoverFaults:
    """The planned work of one round.

    Parameters
    ----------
    note
        Writes a line into the timeline.
    behaviour_of
        Returns how a replica behaves without a fault, by its id.

    Attributes
    ----------
    findings
        Requests that a planned stop has cut.
    """

    def __init__(
        self,
        fleet: LocalFleet,
        seed: str,
        disturbances: Disturbances,
        note: Callable[[str], None],
        behaviour_of: Callable[[str], ReplicaBehaviour],
    ) -> None:
        self._fleet = fleet
        self._seed = seed
        self._random = random.Random(f"{seed}/turnover")
        self._disturbances = disturbances
        self._note = note
        self._behaviour_of = behaviour_of
        self.findings: list[str] = []
        self.faults: dict[str, Callable[[], Heal | None]] = {
            "kill all gateways as a version leaves": self._leave_version,
            "stop a gateway that goes on getting slow requests": self._stop_with_late_requests,
            "empty storage nodes at once": self._empty_storage_nodes,
        }

    # Versions.

    def _leave_version(self) -> Heal:
        """Take the engines of one version from the list, and restart all gateways at once."""
        version = self._random.choice(ENGINE_VERSIONS)
        leaving = [
            replica
            for replica in self._fleet.replicas.values()
            if replica.service == "engine" and replica.version == version
        ]
        self._note(f"version {version} leaves, and all gateways are killed")
        for replica in leaving:
            self._fleet.store.remove("servers", replica.id)
        time.sleep(self._random.uniform(0.0, NEXT_VERSION_S))
        end = self._disturbances.begin(*(process.name for process in self._fleet.gateways))
        for process in self._fleet.gateways:
            process.send(signal.SIGKILL)
        for process in self._fleet.gateways:
            process.kill()
            process.start()
        end()

        def heal() -> None:
            for replica in leaving:
                self._fleet.list_replica(self._fleet.replicas[replica.id], "ready")

        return heal

    # Stops.

    def _stop_with_late_requests(self) -> Heal:
        process = self._random.choice(self._fleet.gateways)
        self._note(f"SIGTERM to {process.name}, which goes on getting slow requests")
        for replica in self._fleet.replicas.values():
            if replica.service == "application":
                replica.behaviour = msgspec.structs.replace(
                    self._behaviour_of(replica.id), answer_s=SLOW_ANSWER_S
                )
        stopped = process.process
        connections = [_connect(process) for _ in range(LATE_CALLERS)]
        end_stop = self._disturbances.begin(stopping(process.name))
        process.send(signal.SIGTERM)
        callers = [
            threading.Thread(target=self._send_late, args=(process, number, connection, stopped))
            for number, connection in enumerate(connections)
        ]
        for caller in callers:
            caller.start()

        def heal() -> None:
            process.wait_ended()
            for caller in callers:
                caller.join()
            for replica_id, replica in self._fleet.replicas.items():
                if replica.service == "application":
                    replica.behaviour = self._behaviour_of(replica_id)
            end = self._disturbances.begin(process.name)
            process.start()
            end()
            end_stop()

        return heal

    def _send_late(
        self,
        process: FleetProcess,
        number: int,
        connection: http.client.HTTPConnection,
        stopped: subprocess.Popen,
    ) -> None:
        """Send a request on an open connection, then on new ones until the process accepts none."""
        chance = random.Random(f"{self._seed}/late/{number}")
        until = time.monotonic() + LEAVE_S
        attempt = 0
        while True:
            attempt += 1
            kind = chance.choice(("read", "write"))
            request_id = f"{kind}-{self._seed}-late-{number}-{attempt}"
            headers = {"Host": HOST} | request_headers(kind, request_id, LATE_DEADLINE_MS)
            headers |= key_header(OFFICE_KEYS[0])
            answered = _is_answered(connection, f"/{kind}/x", headers)
            if not answered:
                self._check_cut(process, request_id, stopped)
            if time.monotonic() > until or process.process is not stopped:
                return
            time.sleep(chance.uniform(0.0, 0.1))
            connection = _connect(process)

    def _check_cut(self, process: FleetProcess, request_id: str, stopped: subprocess.Popen) -> None:
        """Record a request that ran and got no answer from a process that ended in order."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            stopped.wait(GRACE_S)
        ran = any(replica.runs_of(request_id) for replica in self._fleet.replicas.values())
        if ran and stopped.returncode == ORDERLY_EXIT:
            self.findings.append(f"{request_id} ran, and {process.name} stopped without an answer")

    # Storage nodes.

    def _empty_storage_nodes(self) -> Heal:
        emptied = self._random.sample(self._fleet.storage_nodes, EMPTIED)
        names = [process.name for process in emptied]
        self._note(f"{', '.join(names)} are to be emptied")
        for name in names:
            self._fleet.store.put(RETIREMENTS, name, {"duration_s": GRACE_S})

        def heal() -> None:
            for process in emptied:
                status = (self._fleet.store.read(RETIREMENTS, process.name) or {}).get("status")
                is_empty = bool(status) and status.get("state") == SUCCEEDED
                if is_empty:
                    self._note(f"{process.name} is taken away, and a new one added in its place")
                    process.kill()
                    self._fleet.wipe(process)
                self._fleet.store.remove(RETIREMENTS, process.name)
                process.start()

        return heal


def _connect(process: FleetProcess) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(
        process.address, process.callers_port, timeout=2 * GRACE_S
    )
    with contextlib.suppress(OSError):
        connection.connect()
    return connection


def _is_answered(
    connection: http.client.HTTPConnection, path: str, headers: dict[str, str]
) -> bool:
    """Send a request and read its answer; return whether there was one."""
    try:
        connection.request("POST", path, b"", headers)
        connection.getresponse().read()
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
    return True
