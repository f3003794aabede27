"""What tests and the soak put before a fleet: a configuration, jobs, and expected texts."""

from __future__ import annotations

import base64
import json
from typing import Any

import xxhash

from quaymill_standins.fleet_replica import FIRST_VERSION, event_data

HOST = "shop.example"
ZONES = ("zone-a", "zone-b", "zone-c")
EVENTS = 3
ENGINE_VERSIONS = (FIRST_VERSION, "v1.1")
"""Software versions of the soak's engines, in turn."""
WARM_UP_S = 3.0
COLD_REQUESTS_PER_S = 4.0
"""Low enough that the load of a soak's few callers exceeds it at one replica."""


def route(name: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 8000,
        "slo_ms": 500,
        "priority": 0,
        "service": "engine",
        "max_attempts": 2,
        "sticky": False,
        "resumable": False,
    } | fields


ROUTES = (
    route("stream", "/stream/", "streaming", max_attempts=1),
    route("resumable", "/resumable/", "streaming", resumable=True, gap_aim_ms=500),
    route("read", "/read/", "idempotent", service="application"),
    route("write", "/write/", "non_idempotent", service="application"),
    route(
        "jobs",
        "/jobs/",
        "batch",
        slo_ms=400,
        due_ms=20000,
        max_wait_s=60,
        max_attempts=3,
        timeout_ms=30000,
    ),
)


def many_routes(count: int) -> tuple[dict[str, Any], ...]:
    """Return routes whose names and prefixes have little in common."""
    words = [xxhash.xxh3_64_hexdigest(str(number).encode()) for number in range(count)]
    return tuple(route(f"r-{word[:8]}", f"/{word[8:]}/", "idempotent") for word in words)


def tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Return a tenant of the operator's configuration."""
    return {"name": name, "api_keys": list(keys)} | fields


def key_header(key: str) -> dict[str, str]:
    """Return the header by which a caller shows a key."""
    return {"Authorization": f"Bearer {key}"}


def configuration(
    version: int,
    routes: tuple[dict[str, Any], ...] = ROUTES,
    tenants: tuple[dict[str, Any], ...] | None = None,
    *,
    cold_rates: bool = False,
) -> dict[str, Any]:
    """Return an operator's configuration; without tenants no request needs a key.

    Parameters
    ----------
    cold_rates
        Whether the services declare how long replicas are cold, and their rate meanwhile.
    """
    cold = {"cold_start_s": WARM_UP_S, "cold_per_s": COLD_REQUESTS_PER_S} if cold_rates else {}
    engine = {"slots": 4, "kv_capacity_tokens": 100_000}
    with_tenants = {} if tenants is None else {"tenants": list(tenants)}
    return with_tenants | {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": "engine", "health_path": "/health", "max_conns": 100, "engine": engine} | cold,
            {"name": "application", "health_path": "/health", "max_conns": 100} | cold,
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4 * 1024 * 1024,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def job_body(job_id: str, items: int, path_suffix: str = "ok") -> bytes:
    """Return a submission of ``items`` items."""
    return json.dumps(
        {
            "items": [
                {
                    "id": item_id(job_id, index),
                    "path": f"/jobs/{index}/{path_suffix}",
                    "headers": {"Token-Count": "50,10", "Model": "m"},
                    "body": base64.b64encode(f"body {index}".encode()).decode(),
                    "tokens": 60,
                }
                for index in range(items)
            ]
        }
    ).encode()


def request_headers(kind: str, request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of an opaque request of a route's kind; streams ask for tokens."""
    headers = {"Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
    if kind in ("stream", "resumable"):
        headers["Token-Count"] = "50,10"
    return headers


def prompt_headers(*part_ids: str) -> dict[str, str]:
    """Return the headers of a prompt with these parts; the last one is the request's own."""
    return {"Model": "m", "Prompt-Prefix": ",".join(f"{part_id}:100" for part_id in part_ids)}


def item_id(job_id: str, index: int) -> str:
    """Return the id of a job's item."""
    return f"{job_id}-item-{index}"


def whole_text(request_id: str, events: int = EVENTS, version: str = FIRST_VERSION) -> str:
    """Return the text that a whole run of an item brings at a replica of a software version."""
    return "\n".join(event_data(request_id, number, version) for number in range(1, events + 1))


def is_whole_text(text: str, request_id: str) -> bool:
    """Return whether a text is a whole run at replicas of one software version."""
    return any(text == whole_text(request_id, version=version) for version in ENGINE_VERSIONS)


def versions_in(text: str) -> set[str]:
    """Return the software versions that wrote the lines of a text."""
    return {line.partition("@")[2] or FIRST_VERSION for line in text.split("\n") if line}
