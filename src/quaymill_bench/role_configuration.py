"""What the configuration document costs by its size: bytes, decoding, checks, a difference."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable

import msgspec

from quaymill.version.checks import check_configuration, decode_configuration
from quaymill.version.configuration import (
    Route,
    Service,
    ServiceKind,
    ServingConfiguration,
    Tenant,
    ZoneGroup,
)
from quaymill.version.differences import apply_difference, find_difference
from quaymill_bench.cluster_shape import hash_key
from quaymill_bench.role_fit import MICRO, Slope, fit_slopes

TENANT_POINTS = (0, 100, 800, 1600, 3100)
ROUTE_POINTS = ((26, 3), (26, 6), (26, 12), (26, 21))
REPEATS = 5


class ConfigurationSlopes(msgspec.Struct, frozen=True):
    """Costs by tenants and routes, and the document at the users' size.

    Attributes
    ----------
    held_bytes
        Memory of the decoded document at the users' size.
    """

    bytes_by: dict[str, Slope]
    decode_by: dict[str, Slope]
    check_by: dict[str, Slope]
    apply_difference_by: dict[str, Slope]
    full_bytes: int
    full_decode_ms: float
    full_check_ms: float
    full_apply_difference_ms: float
    difference_bytes: int
    held_bytes: int


class _Point(msgspec.Struct):
    tenants: int
    routes: int
    size_bytes: int
    decode_s: float
    check_s: float
    apply_s: float
    difference_bytes: int


def measure_configuration() -> ConfigurationSlopes:
    """Measure documents from none to 3,100 tenants, 26 models and 21 zone groups."""
    shapes = [(tenants, 26, 6) for tenants in TENANT_POINTS]
    shapes += [(0, models, groups) for models, groups in ROUTE_POINTS]
    points = [_measure(*shape) for shape in shapes]
    full = _measure(max(TENANT_POINTS), 26, 21)
    points.append(full)
    columns = {
        "document": [1.0] * len(points),
        "tenant": [point.tenants for point in points],
        "route": [point.routes for point in points],
    }
    return ConfigurationSlopes(
        bytes_by=fit_slopes(columns, [point.size_bytes for point in points], "bytes"),
        decode_by=fit_slopes(columns, [point.decode_s for point in points], "us", MICRO),
        check_by=fit_slopes(columns, [point.check_s for point in points], "us", MICRO),
        apply_difference_by=fit_slopes(columns, [point.apply_s for point in points], "us", MICRO),
        full_bytes=full.size_bytes,
        full_decode_ms=round(full.decode_s * 1000, 2),
        full_check_ms=round(full.check_s * 1000, 2),
        full_apply_difference_ms=round(full.apply_s * 1000, 2),
        difference_bytes=full.difference_bytes,
        held_bytes=_held_bytes(
            msgspec.json.encode(build_configuration(max(TENANT_POINTS), 26, 21))
        ),
    )


def build_configuration(tenants: int, models: int, groups: int) -> ServingConfiguration:
    """Return a document of a given size, each tenant with one key and three limits."""
    names = [f"zone-group-{number:02}" for number in range(groups)]
    return ServingConfiguration(
        generation=7,
        zone_groups={name: ZoneGroup(zones=(f"zone-{name}",)) for name in names},
        services={f"model-{one:02}": Service(kind=ServiceKind.MODEL) for one in range(models)},
        routes={
            f"model-{one:02}": {name: Route(weight=0.5) for name in names} for one in range(models)
        },
        tenants={f"tenant-{one:05}": _tenant(one) for one in range(tenants)},
    )


def _tenant(number: int) -> Tenant:
    return Tenant(
        (hash_key(f"key {number}"),), requests_per_s=5.0, tokens_per_s=2000.0, concurrency=9
    )


def _measure(tenants: int, models: int, groups: int) -> _Point:
    base = build_configuration(tenants, models, groups)
    document = msgspec.json.encode(base)
    routes = dict(base.routes)
    routes["model-00"] = {**routes["model-00"], "zone-group-00": Route(weight=0.25)}
    target = msgspec.structs.replace(
        base, generation=8, routes=routes, recent_edits=("edit-0123456789abcdef",)
    )
    difference = find_difference(base, target)
    return _Point(
        tenants=tenants,
        routes=models * groups,
        size_bytes=len(document),
        decode_s=_cpu_of(lambda: decode_configuration(document)),
        check_s=_cpu_of(lambda: check_configuration(base)),
        apply_s=_cpu_of(lambda: apply_difference(base, difference)),
        difference_bytes=len(msgspec.json.encode(difference)),
    )


def _held_bytes(document: bytes) -> int:
    tracemalloc.start()
    decoded = decode_configuration(document)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert isinstance(decoded, ServingConfiguration)
    return size


def _cpu_of(work: Callable[[], object]) -> float:
    """Return the least processor time of some repeats, so that a cold cache does not count."""
    times = []
    for _ in range(REPEATS):
        began_s = time.thread_time()
        work()
        times.append(time.thread_time() - began_s)
    return min(times)
