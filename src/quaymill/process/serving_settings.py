"""Settings of a gateway or storage node, checked as a whole.

The file is TOML. The platform generates it from a template of this project, with names and units
defined here.
"""

from __future__ import annotations

import enum
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.process.settings import SettingsError

MS_PER_S = 1000.0
READ_INTERVAL_SHARE = 0.45
"""Share of the time limit for applying a change that may pass until the change is read."""


MAY_BE_ZERO = frozenset({"quota_overrun_requests", "evacuation_ms", "cold_rate_slack"})
"""Bounds that may be 0; times and shares must be positive."""


class ServingRole(enum.StrEnum):
    """Role of a process."""

    GATEWAY = "gateway"
    JOB_STORAGE = "job-storage"


class Listeners(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``IP:PORT`` of each interface for clients other than peers; empty if it is not served."""

    callers: str = ""
    readiness: str = ""


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources that the process may use; 0 if unknown.

    Attributes
    ----------
    processor_share
        Share of the machine's processor time.
    processor_speed
        Speed of the processor relative to one core of the reference kind.
    """

    memory_mb: float = 0.0
    descriptors: int = 0
    disk_mb: float = 0.0
    processor_share: float = 0.0
    processor_speed: float = 1.0

    @property
    def cores(self) -> float:
        """Processor time in reference cores."""
        return self.processor_share * self.processor_speed


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Guarantees that the operator relies on; names give the unit of times.

    Attributes
    ----------
    contact_ms
        How long a process must run without disturbance until the other bounds hold for it.
    configuration_ms
        Time within which an accepted configuration must be in force.
    cold_rate_factor, cold_rate_slack
        Factor by which, and requests per second by which, the requests of all gateways to a cold
        replica may exceed the rate that its service declares.
    drain_ms
        Time after which a draining replica must receive no new requests.
    evacuation_ms
        Time after which the replicas of an evacuated zone must receive no new requests; 0 if the
        deployment has no evacuations, which are not read then.
    grace_s
        Time between the stop signal and the end of the process.
    job_retention_s
        How long results of a job stay readable after its submission.
    leave_s
        Time after which a gateway that is not ready receives no new connections.
    quota_overrun_share
        Share by which a quota of a batch route's tokens or a tenant's requests may be exceeded.
    quota_overrun_requests
        Additional requests in a window by which a tenant's limit may be exceeded; may be 0.
    quota_window_s
        Length of the sliding window in which a tenant's requests are counted.
    settle_ms
        Time after which a result that one reader has seen must be visible to every reader.
    """

    contact_ms: float = 3000.0
    cold_rate_factor: float = 1.0
    cold_rate_slack: float = 0.0
    configuration_ms: float = 2000.0
    drain_ms: float = 2000.0
    evacuation_ms: float = 0.0
    grace_s: float = 8.0
    job_retention_s: float = 120.0
    leave_s: float = 2.6
    quota_overrun_share: float = 0.1
    quota_overrun_requests: float = 0.0
    quota_window_s: float = 5.0
    settle_ms: float = 1000.0


class ServingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a gateway or storage node.

    Attributes
    ----------
    peer_ports
        First and last port for peers, ``"7660,7675"``; the first one is used.
    store
        ``IP:PORT`` of the platform's object store.
    store_writes_per_s
        Writes per second that the store accepts from all nodes together.
    seeds
        ``IP:PORT`` of nodes to join through, separated by commas; the ports are ignored, as all
        nodes use the same port for peers.
    data_folder
        Folder on a disk; empty on a machine that stores no data.
    disks_lost_at_once
        How many disks may fail at once without a loss of acknowledged data.
    zones_lost_at_once
        How many zones may be cut off or lost at once.
    contracts
        Names of the platform's contracts in force, separated by commas; used by the adapter
        only.
    zone_regions
        Region of each zone of the deployment, by zone; may be empty.
    """

    name: str
    zone: str
    region: str
    address: str
    peer_ports: str
    store: str
    seeds: str = ""
    data_folder: str = ""
    disks_lost_at_once: int = 1
    zones_lost_at_once: int = 0
    contracts: str = ""
    listen: Listeners = Listeners()
    machine: Machine = Machine()
    bounds: Bounds = Bounds()
    store_writes_per_s: float = 400.0
    zone_regions: dict[str, str] = {}

    @property
    def contract_names(self) -> frozenset[str]:
        """Names of the platform's contracts in force."""
        return frozenset(name.strip() for name in self.contracts.split(","))

    @property
    def peer_port(self) -> int:
        """TCP and UDP port for peers."""
        return int(self.peer_ports.split(",")[0])

    @property
    def store_endpoint(self) -> Endpoint:
        """Endpoint of the platform's store."""
        return Endpoint.parse(self.store)

    @property
    def seed_endpoints(self) -> tuple[Endpoint, ...]:
        """Endpoints on which the seeds listen for peers."""
        seeds = [Endpoint.parse(text) for text in self.seeds.split(",") if text]
        return tuple(Endpoint(seed.host, self.peer_port) for seed in seeds)

    @property
    def read_interval_s(self) -> float:
        """Time between two reads of the store for changes."""
        bounds = self.bounds
        limits_ms = [bounds.configuration_ms, bounds.drain_ms]
        if bounds.evacuation_ms:
            limits_ms.append(bounds.evacuation_ms)
        return READ_INTERVAL_SHARE * min(limits_ms) / MS_PER_S


def load_serving_settings(path: Path, role: ServingRole) -> ServingSettings | SettingsError:
    """Read and check a settings file; an error is returned, not raised."""
    file = str(path)
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        return SettingsError(file, "", f"cannot be read: {error.strerror}", "check the path")
    except tomllib.TOMLDecodeError as error:
        return SettingsError(file, "", f"is not TOML: {error}", "correct that line")
    try:
        settings = msgspec.convert(document, ServingSettings)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at `$")
        key = place.rstrip("`").lstrip(".")
        return SettingsError(file, key, reason, "see docs/OPERATIONS.md for the keys")
    for key, value, remedy in _find_faults(settings, role):
        return SettingsError(file, key, f"is {value!r}", remedy)
    return settings


def _find_faults(settings: ServingSettings, role: ServingRole) -> list[tuple[str, Any, str]]:
    """Return the invalid keys with their values and remedies."""
    faults: list[tuple[str, Any, str]] = []
    for key in ("name", "zone", "region", "address"):
        if not getattr(settings, key):
            faults.append((key, "", "give it a value"))
    if not settings.peer_ports.split(",")[0].isdigit():
        faults.append(("peer_ports", settings.peer_ports, "write FIRST,LAST"))
    if role is ServingRole.JOB_STORAGE and not settings.data_folder:
        faults.append(("data_folder", "", "name a folder on the machine's disk"))
    faults += _find_endpoint_faults(settings, role)
    if settings.store_writes_per_s <= 0:
        faults.append(("store_writes_per_s", settings.store_writes_per_s, "use a number above 0"))
    for key in ("disks_lost_at_once", "zones_lost_at_once"):
        if getattr(settings, key) < 0:
            faults.append((key, getattr(settings, key), "use 0 or more"))
    for key in Bounds.__struct_fields__:
        value = getattr(settings.bounds, key)
        if value < 0 or (value == 0 and key not in MAY_BE_ZERO):
            faults.append((f"bounds.{key}", value, "use a number above 0"))
    return faults


def _find_endpoint_faults(
    settings: ServingSettings, role: ServingRole
) -> list[tuple[str, Any, str]]:
    endpoints = [("store", settings.store)]
    endpoints += [("seeds", seed) for seed in settings.seeds.split(",") if seed]
    if role is ServingRole.GATEWAY:
        endpoints.append(("listen.callers", settings.listen.callers))
        endpoints.append(("listen.readiness", settings.listen.readiness))
    faults: list[tuple[str, Any, str]] = []
    for key, text in endpoints:
        try:
            Endpoint.parse(text)
        except ValueError:
            faults.append((key, text, "write IP:PORT"))
    return faults
