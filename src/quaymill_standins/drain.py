"""Body of ``POST /drain``, shared by the engine and the application."""

from __future__ import annotations

import msgspec

from quaymill_standins.http_support import Request, error_response


class DrainOrder(msgspec.Struct, frozen=True):
    """Whether new work is refused from now on."""

    draining: bool


BAD_DRAIN = error_response(400, 'the body is not {"draining": true|false}', "invalid_request_error")


def read_draining(request: Request) -> bool | None:
    """Return what a request of ``POST /drain`` asks for, or ``None`` if it is malformed."""
    try:
        return msgspec.json.decode(request.body, type=DrainOrder).draining
    except msgspec.DecodeError:
        return None
