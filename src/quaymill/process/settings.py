"""Settings of one node: a TOML file, checked as a whole before anything starts."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from quaymill.connection.endpoint import Endpoint

MIN_HTTP_THREADS = 8
MIN_KEPT_LOG_BYTES = 1024 * 1024


class SettingsError(msgspec.Struct, frozen=True):
    """Why a settings file cannot be used.

    Attributes
    ----------
    key
        The key at fault, dotted; empty if the file itself is.
    """

    file: str
    key: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        place = f"{self.file}: {self.key}" if self.key else self.file
        return f"{place}: {self.reason}; {self.remedy}"


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the callers' interface.

    Attributes
    ----------
    threads
        Worker threads of the HTTP server.
    admission_limit
        Most requests in service at once; must be less than ``threads``, so that health checks
        and refusals always find a free thread.
    queue_limit
        Most requests of one service that wait for a replica below its online limit.
    max_body_bytes
        Largest request body, except for file uploads.
    """

    threads: int = 256
    admission_limit: int = 224
    queue_limit: int = 64
    max_body_bytes: int = 4 * 1024 * 1024


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing of failure detection, in seconds.

    Attributes
    ----------
    suspicion_s
        Shortest time for which a member is suspect before it is declared dead.
    rejoin_interval_s
        Mean time between two attempts to reach an unknown seed or a dead member.
    join_period_s
        How long after its start a node looks for others many times a second; 0 disables this.
    """

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    suspicion_s: float = 3.0
    rejoin_interval_s: float = 3.0
    join_period_s: float = 0.0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Groups, timing in seconds and size of the replicated log.

    Attributes
    ----------
    kept_bytes
        Size of the applied entries that each replica keeps, so that a replica that was down can
        catch up from the log; after a longer outage it receives the whole state.
    """

    groups: int = 1
    heartbeat_s: float = 0.1
    election_timeout_s: float = 0.8
    kept_bytes: int = 128 * 1024 * 1024


class BatchSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing of the batch schedulers, in seconds.

    Attributes
    ----------
    lease_s
        How long an item is assigned to this node without a renewal.
    poll_interval_s
        Time until the next request to the job store after it returned no items.
    first_byte_timeout_s
        Longest wait for the first byte of an engine's answer.
    token_gap_timeout_s
        Longest gap between two tokens of a stream.
    application_timeout_s
        Longest wait for an application's whole answer.
    """

    lease_s: float = 10.0
    poll_interval_s: float = 0.25
    first_byte_timeout_s: float = 20.0
    token_gap_timeout_s: float = 5.0
    application_timeout_s: float = 60.0


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a node.

    Attributes
    ----------
    address
        IP address to listen on and to be reached at.
    peer_port
        TCP port of the internal protocol and UDP port of the membership probes.
    platform
        ``host:port`` of the platform's object API.
    seeds
        ``host:port`` of peers to join through.
    data_folder
        Folder on a disk; empty on a machine that stores no data.
    cores
        Processor time that the node may use, in cores; 0 if unknown.
    fault_switch
        Whether ``POST /debug/links`` may cut links; for tests only.
    """

    name: str
    zone: str
    region: str
    address: str
    http_port: int
    peer_port: int
    platform: str
    seeds: tuple[str, ...] = ()
    data_folder: str = ""
    cores: float = 0.0
    log_file: str = ""
    fault_switch: bool = False
    drain_timeout_s: float = 30.0
    gateway: GatewaySettings = GatewaySettings()
    membership: MembershipSettings = MembershipSettings()
    log: LogSettings = LogSettings()
    batch: BatchSettings = BatchSettings()

    @property
    def peer_endpoint(self) -> Endpoint:
        """Where peers reach this node."""
        return Endpoint(self.address, self.peer_port)

    @property
    def http_endpoint(self) -> Endpoint:
        """Where callers reach this node."""
        return Endpoint(self.address, self.http_port)


def load_settings(path: Path) -> NodeSettings | SettingsError:
    """Read and check a settings file; an error is returned, not raised."""
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        return SettingsError(str(path), "", f"cannot be read: {error.strerror}", "check the path")
    except tomllib.TOMLDecodeError as error:
        return SettingsError(str(path), "", f"is not TOML: {error}", "correct that line")
    try:
        settings = msgspec.convert(document, NodeSettings)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at `$")
        key = place.rstrip("`").lstrip(".")
        return SettingsError(str(path), key, reason, "see docs/OPERATORS.md for the keys")
    return _check(str(path), settings)


def _check(file: str, settings: NodeSettings) -> NodeSettings | SettingsError:
    """Check ranges and consistency of the values."""
    gateway = settings.gateway
    if gateway.threads < MIN_HTTP_THREADS:
        return SettingsError(
            file, "gateway.threads", f"is {gateway.threads}", f"use {MIN_HTTP_THREADS} or more"
        )
    if not 0 < gateway.admission_limit < gateway.threads:
        return SettingsError(
            file,
            "gateway.admission_limit",
            f"is {gateway.admission_limit}, not between 1 and gateway.threads",
            f"use a number below {gateway.threads}",
        )
    if gateway.queue_limit < 0:
        return SettingsError(
            file, "gateway.queue_limit", f"is {gateway.queue_limit}", "use 0 or more"
        )
    for key in ("http_port", "peer_port"):
        port = getattr(settings, key)
        if not 0 < port < 65536:
            return SettingsError(file, key, f"is {port}", "use a port from 1 to 65535")
    for key in ("name", "zone", "region"):
        if not getattr(settings, key):
            return SettingsError(file, key, "is empty", "give it a name")
    for seed in (settings.platform, *settings.seeds):
        try:
            Endpoint.parse(seed)
        except ValueError as error:
            return SettingsError(file, "platform or seeds", str(error), "use IP:PORT")
    return _check_timings(file, settings)


def _check_timings(file: str, settings: NodeSettings) -> NodeSettings | SettingsError:
    timings = {
        "drain_timeout_s": settings.drain_timeout_s,
        "membership.probe_interval_s": settings.membership.probe_interval_s,
        "membership.probe_timeout_s": settings.membership.probe_timeout_s,
        "membership.suspicion_s": settings.membership.suspicion_s,
        "log.heartbeat_s": settings.log.heartbeat_s,
        "log.election_timeout_s": settings.log.election_timeout_s,
        "batch.lease_s": settings.batch.lease_s,
        "batch.poll_interval_s": settings.batch.poll_interval_s,
        "batch.first_byte_timeout_s": settings.batch.first_byte_timeout_s,
        "batch.token_gap_timeout_s": settings.batch.token_gap_timeout_s,
        "batch.application_timeout_s": settings.batch.application_timeout_s,
    }
    for key, seconds in timings.items():
        if seconds <= 0:
            return SettingsError(file, key, f"is {seconds}", "use seconds above 0")
    if settings.log.groups < 1:
        return SettingsError(file, "log.groups", f"is {settings.log.groups}", "use 1 or more")
    if settings.log.kept_bytes < MIN_KEPT_LOG_BYTES:
        return SettingsError(
            file,
            "log.kept_bytes",
            f"is {settings.log.kept_bytes}",
            f"use {MIN_KEPT_LOG_BYTES} or more",
        )
    if settings.log.election_timeout_s < 3 * settings.log.heartbeat_s:
        return SettingsError(
            file,
            "log.election_timeout_s",
            "is less than three heartbeats",
            "raise it, or lower log.heartbeat_s",
        )
    return settings
