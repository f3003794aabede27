"""Answers of our own that are no success, and which one each outcome leads to."""

from __future__ import annotations

import attrs

from quaymill.process.front.caller_protocol import Malformed
from quaymill.process.jobs.job_lookup import NoSuchJob, Unsure
from quaymill.process.jobs.route_quota import OverQuota
from quaymill.request.forwarded_request import Headers
from quaymill.request.forwarding_result import GivenUp, KeyChanged
from quaymill.request.outcome import NotRun

SHORT_RETRY_AFTER_S = 0.3
AUTHENTICATE: Headers = (("WWW-Authenticate", "Bearer"),)


@attrs.frozen
class Refusal:
    """An answer of our own.

    Attributes
    ----------
    retry_after_s
        When to come back; only where the request has not run.
    headers
        Beside those of every refusal.
    kind
        What the log tells: ``over-limit`` is an ordinary one, of which there may be very many.
    """

    status: int
    message: str
    retry_after_s: float | None = None
    headers: Headers = ()
    kind: str = "refused"


UNKNOWN_KEY = Refusal(
    401, "the request needs a key of a tenant as its bearer key", headers=AUTHENTICATE
)
KEY_MOVED = Refusal(503, "the key has been given to another tenant; send again", 0.0)


def malformed_refusal(malformed: Malformed) -> Refusal:
    """Refuse what cannot be understood."""
    return Refusal(400, f"{malformed.reason}; {malformed.remedy}")


def forwarding_refusal(result: GivenUp | KeyChanged) -> Refusal:
    """Refuse a request that was not forwarded to an answer."""
    if isinstance(result, KeyChanged):
        return UNKNOWN_KEY if result.revoked else KEY_MOVED
    return given_up_refusal(result)


def over_limit_refusal(over_limit: NotRun) -> Refusal:
    """Refuse a request beyond its tenant's limits."""
    message = f"{over_limit.reason}; {over_limit.remedy}"
    retry_after_s = round(over_limit.retry_after_s or 0.0, 2)
    return Refusal(over_limit.status, message, retry_after_s, kind="over-limit")


def given_up_refusal(result: GivenUp) -> Refusal:
    """Refuse a request that was given up on: "not run" only where that is certain."""
    if result.may_have_run:
        return Refusal(504 if result.timed_out else 502, result.reason)
    if result.retry_after_s is not None:
        return Refusal(503, result.reason, round(result.retry_after_s, 1))
    return Refusal(503, result.reason, SHORT_RETRY_AFTER_S)


def over_quota_refusal(result: OverQuota) -> Refusal:
    """Refuse a job that does not fit its quota."""
    message = (
        f"the route's batch jobs hold {result.held_tokens} of {result.quota} tokens;"
        " send the job again once items have ended"
    )
    return Refusal(429, message, round(result.retry_after_s, 2))


def job_refusal(result: NoSuchJob | Unsure) -> Refusal:
    """Refuse a call about a job that is not there, or of which that is not certain."""
    if isinstance(result, NoSuchJob):
        return Refusal(404, "there is no such job")
    return Refusal(503, result.reason, SHORT_RETRY_AFTER_S)
