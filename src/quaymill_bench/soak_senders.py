"""Callers of the soak that do harm: a request that crashes its replicas, a tenant that floods."""

from __future__ import annotations

import contextlib
import random
import threading
from collections.abc import Callable

import urllib3

from quaymill_bench.fleet_processes import LocalFleet
from quaymill_bench.fleet_world import key_header, request_headers
from quaymill_bench.soak_tenants import FLOOD_KEY, OFFICE_KEYS
from quaymill_bench.soak_timeline import Timeline

CRASH_SUFFIX = "crash"
"""A request whose path ends so crashes the replica that begins to run it."""
CRASHING_KINDS = ("read", "write", "stream", "resumable")
CRASHING_PAUSE_S = (0.05, 0.4)
DEADLINE_MS = 3000
FLOODERS = 3
FLOOD_PAUSE_S = 0.03
"""Three senders of some 25 requests a second each: several times the limit."""

Sender = Callable[[LocalFleet, Timeline, threading.Event], None]
"""Sends until the event is set."""


def send_crashing(
    kind: str, name: str, fleet: LocalFleet, timeline: Timeline, stopping: threading.Event
) -> None:
    """Send one request again and again, at any gateway, that crashes each replica."""
    chance = random.Random(name)
    number = 0
    while not stopping.wait(chance.uniform(*CRASHING_PAUSE_S)):
        number += 1
        headers = request_headers(kind, f"{name}-{number}", DEADLINE_MS)
        headers |= key_header(OFFICE_KEYS[0])
        gateway = chance.choice(fleet.gateways)
        path = f"/{kind}/{CRASH_SUFFIX}"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = fleet.call(gateway, "POST", path, name.encode(), headers)
            timeline.note(f"client: {name} at {gateway.name}: {answer.status}")


def send_flood(name: str, fleet: LocalFleet, timeline: Timeline, stopping: threading.Event) -> None:
    """Send requests of the tenant that is limited, at any gateway, far beyond the limit."""
    chance = random.Random(name)
    number = 0
    while not stopping.wait(FLOOD_PAUSE_S):
        number += 1
        headers = request_headers("read", f"{name}-{number}", DEADLINE_MS) | key_header(FLOOD_KEY)
        gateway = chance.choice(fleet.gateways)
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            fleet.call(gateway, "POST", "/read/x", b"", headers)
