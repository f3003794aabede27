"""Where the operators' commands find the platform."""

from __future__ import annotations

import os
import sys

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.platform_client import PlatformClient

PLATFORM_VARIABLE = "QUAYMILL_PLATFORM"
EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_UNKNOWN = 2


def connect_platform(platform: str) -> PlatformClient:
    """Return a client for ``HOST:PORT``, or for the environment's; exits 1 if there is none."""
    text = platform or os.environ.get(PLATFORM_VARIABLE, "")
    if not text:
        fail(f"no platform given; use --platform HOST:PORT or set {PLATFORM_VARIABLE}")
    try:
        return PlatformClient(Endpoint.parse(text))
    except ValueError as error:
        fail(f"--platform: {error}")


def fail(message: object, status: int = EXIT_REFUSED) -> None:
    """Say why a command could not be carried out, and exit."""
    print(f"quaymill: {message}", file=sys.stderr)
    raise SystemExit(status)
