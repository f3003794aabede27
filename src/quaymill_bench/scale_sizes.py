"""Documents of the users' size: the table, and a machine list of as many replicas as asked."""

from __future__ import annotations

import hashlib

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Machine, MachineRole
from quaymill.version.configuration import (
    Route,
    Service,
    ServiceKind,
    ServingConfiguration,
    Tenant,
    ZoneGroup,
)

USER_NODES = 330
USER_REPLICAS = 2800
USER_ZONES = 21
USER_REGIONS = 6
USER_MODELS = 26
USER_TENANTS = 3100
USER_CHANGES_PER_DAY = 3600
SECONDS_PER_DAY = 86_400.0
SECONDS_PER_CHANGE = SECONDS_PER_DAY / USER_CHANGES_PER_DAY

NODE_CORE_SHARE = 0.016
NODE_MEMORY_MB = 256
NODE_BYTES_PER_S = 4096


def zone_name(index: int) -> str:
    """Return the name of a zone of the users' 21."""
    return f"zone-{index % USER_ZONES:02d}"


def user_configuration() -> ServingConfiguration:
    """Return a table of the users' size."""
    zones = [zone_name(index) for index in range(USER_ZONES)]
    models = [f"model-{index:02d}" for index in range(USER_MODELS)]
    return ServingConfiguration(
        generation=1,
        zone_groups={zone: ZoneGroup(zones=(zone,)) for zone in zones},
        services={model: Service(kind=ServiceKind.MODEL) for model in models},
        routes={model: dict.fromkeys(zones, Route()) for model in models},
        tenants={
            f"tenant-{index:04d}": Tenant(
                key_hashes=(hashlib.sha256(str(index).encode()).hexdigest(),),
                requests_per_s=10.0,
                tokens_per_s=1000.0,
                concurrency=16,
            )
            for index in range(USER_TENANTS)
        },
    )


def replica_machines(count: int, endpoint: Endpoint) -> list[Machine]:
    """Return replicas spread over models and zones, all served by one stand-in."""
    return [
        Machine(
            f"replica-{index:04d}",
            MachineRole.ENGINE,
            zone_name(index),
            endpoint,
            f"model-{index % USER_MODELS:02d}",
        )
        for index in range(count)
    ]
