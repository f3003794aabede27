"""Error responses of the gateway itself, and the outcomes that lead to them."""

from __future__ import annotations

import math

import attrs

from quaymill.process.front.caller_protocol import Malformed
from quaymill.process.jobs.job_lookup import NoSuchJob, Unsure
from quaymill.process.jobs.route_quota import OverQuota
from quaymill.request.forwarded_request import Headers
from quaymill.request.forwarding_result import GivenUp, KeyChanged
from quaymill.request.outcome import NotRun

SHORT_RETRY_AFTER_S = 0.3
RETRY_UNITS_PER_S = 100
"""Retry times of limits and quotas are stated in hundredths of a second."""
AUTHENTICATE: Headers = (("WWW-Authenticate", "Bearer"),)


@attrs.frozen
class Refusal:
    """An error response of the gateway itself.

    Attributes
    ----------
    retry_after_s
        Seconds after which the caller should retry; only where the request has not run.
    headers
        In addition to the headers of every refusal.
    kind
        Outcome written to the log; ``over-limit`` marks an ordinary line, which may be dropped.
    """

    status: int
    message: str
    retry_after_s: float | None = None
    headers: Headers = ()
    kind: str = "refused"


UNKNOWN_KEY = Refusal(
    401, "the request needs a valid tenant key as its bearer token", headers=AUTHENTICATE
)
STOPPING = Refusal(503, "this gateway is stopping; send the request again, to another one", 0.0)
KEY_REASSIGNED = Refusal(503, "the key now belongs to another tenant; send the request again", 0.0)


def malformed_refusal(malformed: Malformed) -> Refusal:
    """Return the refusal of a malformed request."""
    return Refusal(400, f"{malformed.reason}; {malformed.remedy}")


def forwarding_refusal(result: GivenUp | KeyChanged) -> Refusal:
    """Return the refusal of a request for which no replica's answer was sent."""
    if isinstance(result, KeyChanged):
        return UNKNOWN_KEY if result.revoked else KEY_REASSIGNED
    return given_up_refusal(result)


def over_limit_refusal(over_limit: NotRun) -> Refusal:
    """Return the refusal of a request over its tenant's limits."""
    message = f"{over_limit.reason}; {over_limit.remedy}"
    retry_after_s = _round_up(over_limit.retry_after_s or 0.0)
    return Refusal(over_limit.status, message, retry_after_s, kind="over-limit")


def given_up_refusal(result: GivenUp) -> Refusal:
    """Return the refusal of an abandoned request: 503 only if it has certainly not run."""
    if result.may_have_run:
        return Refusal(504 if result.timed_out else 502, result.reason)
    if result.retry_after_s is not None:
        return Refusal(503, result.reason, round(result.retry_after_s, 1))
    return Refusal(503, result.reason, SHORT_RETRY_AFTER_S)


def over_quota_refusal(result: OverQuota) -> Refusal:
    """Return the refusal of a job that exceeds its quota."""
    message = (
        f"the route's batch jobs hold {result.held_tokens} of {result.quota} tokens;"
        " send the job again when items have ended"
    )
    return Refusal(429, message, _round_up(result.retry_after_s))


def _round_up(retry_after_s: float) -> float:
    """Return a retry time as stated: none is too short, as that would lead to another refusal."""
    return max(1, math.ceil(retry_after_s * RETRY_UNITS_PER_S)) / RETRY_UNITS_PER_S


def job_refusal(result: NoSuchJob | Unsure) -> Refusal:
    """Return the refusal of a call about a job that does not exist or whose state is unknown."""
    if isinstance(result, NoSuchJob):
        return Refusal(404, "the job does not exist")
    return Refusal(503, result.reason, SHORT_RETRY_AFTER_S)
