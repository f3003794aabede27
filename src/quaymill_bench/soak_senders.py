"""Callers of the soak that do harm: requests that crash their replicas, floods of requests."""

from __future__ import annotations

import contextlib
import http.client
import random
import threading
from collections.abc import Callable

import urllib3

from quaymill_bench.fleet_processes import LocalFleet
from quaymill_bench.fleet_world import HOST, key_header, prompt_headers, request_headers
from quaymill_bench.soak_tenants import FLOOD_KEY, OFFICE_KEYS
from quaymill_bench.soak_timeline import Timeline

CRASH_SUFFIX = "crash"
"""A request whose path ends so crashes the replica that begins to run it."""
CRASH_PART = "bad0"
"""A request whose prompt has this part, other than as the last one, crashes the replica that begins
to answer it."""
COMMON_PART, SOUND_PART = "aa", "cc"
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


def send_crashing_parts(
    name: str, fleet: LocalFleet, timeline: Timeline, stopping: threading.Event
) -> None:
    """Send streams at any gateway, no two alike: half of them with a part that crashes replicas."""
    chance = random.Random(name)
    number = 0
    while not stopping.wait(chance.uniform(*CRASHING_PAUSE_S)):
        number += 1
        part = CRASH_PART if number % 2 else SOUND_PART
        request_id = f"{name}-{number}"
        headers = request_headers("stream", request_id, DEADLINE_MS)
        headers |= prompt_headers(COMMON_PART, part, request_id) | key_header(OFFICE_KEYS[0])
        gateway = chance.choice(fleet.gateways)
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = fleet.call(gateway, "POST", "/stream/x", request_id.encode(), headers)
            timeline.note(f"client: {request_id} with {part} at {gateway.name}: {answer.status}")


def open_connections(
    address: tuple[str, int],
    name: str,
    fleet: LocalFleet,
    timeline: Timeline,
    stopping: threading.Event,
) -> None:
    """Send requests to one gateway, each on a new connection; what is closed unread is not."""
    number = 0
    while not stopping.wait(FLOOD_PAUSE_S):
        number += 1
        headers = request_headers("read", f"{name}-{number}", DEADLINE_MS)
        headers |= {"Host": HOST, "Connection": "close"} | key_header(OFFICE_KEYS[0])
        connection = http.client.HTTPConnection(*address, timeout=DEADLINE_MS / 1000)
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("POST", "/read/x", b"", headers)
            connection.getresponse().read()
        connection.close()


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
