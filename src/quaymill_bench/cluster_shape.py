"""What a local cluster consists of, and the documents that describe it to the product."""

from __future__ import annotations

import hashlib

import msgspec

from quaymill.version.configuration import (
    Route,
    ServiceKind,
    ServingConfiguration,
    Tenant,
    Tuning,
    ZoneGroup,
)
from quaymill.version.configuration import Service as ServiceCells

MODEL = "drafting"
APPLICATION = "filing"
IDEMPOTENT_APPLICATION = "lookup"
TENANT = "office"
TENANT_KEY = "office-key-for-the-bench"
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "local"


class ClusterShape(msgspec.Struct, frozen=True):
    """Numbers of processes and their settings.

    Attributes
    ----------
    nodes_per_zone, disk_nodes_per_zone
        Nodes in each zone, and how many of them have a data folder.
    engines_per_zone
        Engines of ``MODEL`` in each zone.
    applications
        Stand-ins of the non-idempotent ``APPLICATION``, spread over the zones.
    engine_flags, platform_flags
        Extra flags of the stand-ins, such as ``("--step-ms", "5")``.
    node_settings
        Top-level keys and tables added to each node's settings file.
    route
        Cells of the model's route in each zone group; each zone is a group of its own.
    """

    zones: tuple[str, ...] = ZONES
    nodes_per_zone: int = 1
    disk_nodes_per_zone: int = 1
    engines_per_zone: int = 1
    applications: int = 1
    engine_flags: tuple[str, ...] = ()
    platform_flags: tuple[str, ...] = ()
    node_settings: dict = {}
    route: Route = Route()
    tuning: Tuning = Tuning()
    tenants: dict[str, Tenant] = {}


def first_configuration(shape: ClusterShape) -> ServingConfiguration:
    """Return the configuration that a cluster starts with."""
    groups = {zone: ZoneGroup(zones=(zone,)) for zone in shape.zones}
    services = {MODEL: ServiceCells(kind=ServiceKind.MODEL)}
    routes = {MODEL: dict.fromkeys(shape.zones, shape.route)}
    if shape.applications:
        services[APPLICATION] = ServiceCells(kind=ServiceKind.APPLICATION, idempotent=False)
        routes[APPLICATION] = dict.fromkeys(shape.zones, Route())
    return ServingConfiguration(
        generation=1,
        zone_groups=groups,
        services=services,
        routes=routes,
        tenants={TENANT: Tenant(key_hashes=(hash_key(TENANT_KEY),)), **shape.tenants},
        tuning=shape.tuning,
    )


def hash_key(key: str) -> str:
    """Return the hash under which the configuration keeps a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


def to_toml(document: dict) -> str:
    """Write scalars, lists and one level of tables as TOML.

    A JSON scalar or list of scalars is also a TOML value, which is all that settings need.
    """
    lines = []
    tables = []
    for key, value in document.items():
        if isinstance(value, dict):
            tables.append(f"\n[{key}]\n{to_toml(value)}")
        else:
            lines.append(f"{key} = {msgspec.json.encode(value).decode()}\n")
    return "".join(lines) + "".join(tables)
