"""Encodes requests to replicas and decodes their answer heads in the platform's format."""

from __future__ import annotations

import math

import msgspec
from urllib3._collections import HTTPHeaderDict
from urllib3.util import SKIP_HEADER

from quaymill.connection.engine_report import EngineReport
from quaymill.connection.replica_answer import AnswerHead
from quaymill.connection.replica_connection import Exchange, ReplicaRequest
from quaymill.connection.replica_entry import ReportedLoad, read_cold_left_s, read_slowness
from quaymill.platform import names
from quaymill.request.forwarded_request import ForwardedRequest

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
GATEWAY_HEADERS = frozenset(
    name.lower()
    for name in (names.DEADLINE_MS, names.EXPECT_INSTANCE, names.LAST_EVENT_ID, "Content-Length")
)
IDENTITY_HEADERS = frozenset({names.AUTHORIZATION.lower(), names.TENANT.lower()})
"""Removed if tenants are configured: replicas get no keys and only the gateway's tenant name."""
LIBRARY_HEADERS = ("User-Agent", "Accept-Encoding")
"""Headers that the HTTP library adds by default."""
MISDIRECTED_STATUS = 421
MS_PER_S = 1000.0
DEFAULT_KEEP_ALIVE_S = 4.0
KEEP_ALIVE_MARGIN_S = 1.0


class _Report(msgspec.Struct):
    running: int = 0
    waiting: int = 0
    kv_used: int = 0
    kv_total: int = 0
    born: int = 0


def build_request(
    request: ForwardedRequest,
    replica_id: str,
    remaining_s: float,
    last_event_id: str | None = None,
) -> ReplicaRequest:
    """Build the request that is sent to a replica."""
    headers = HTTPHeaderDict()
    dropped = HOP_BY_HOP_HEADERS | GATEWAY_HEADERS | _hop_by_hop_headers(request.headers)
    if request.tenant is not None:
        dropped |= IDENTITY_HEADERS
    for name, value in request.headers:
        if name.lower() not in dropped:
            headers.add(name, value)
    if request.tenant:
        headers[names.TENANT] = request.tenant
    headers[names.DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))
    headers[names.EXPECT_INSTANCE] = replica_id
    if names.REQUEST_ID not in headers:
        headers[names.REQUEST_ID] = request.id
    if last_event_id is not None:
        headers[names.LAST_EVENT_ID] = last_event_id
    for name in LIBRARY_HEADERS:
        if name not in headers:
            headers[name] = SKIP_HEADER
    return ReplicaRequest(request.method, request.target, headers, request.body, request.id)


def read_answer_head(exchange: Exchange) -> AnswerHead:
    """Return the answer's head from ``exchange``, which must have read it already."""
    headers = exchange.headers
    dropped = HOP_BY_HOP_HEADERS | {"content-length"} | _hop_by_hop_headers(headers.items())
    length = headers.get("Content-Length")
    status = exchange.status
    return AnswerHead(
        status=status,
        reason=exchange.reason,
        headers=tuple(
            (name, value) for name, value in headers.items() if name.lower() not in dropped
        ),
        request_id=headers.get(names.REQUEST_ID, ""),
        not_executed=names.NOT_EXECUTED in headers or status == MISDIRECTED_STATUS,
        misdirected=status == MISDIRECTED_STATUS,
        load=read_load(headers.get(names.LOAD, "")),
        length=int(length) if length is not None and length.isdigit() else None,
        framing=exchange.framing,
        keep_alive_s=_keep_alive_s(headers),
        cold_left_s=read_cold_left(exchange),
    )


def report_request() -> ReplicaRequest:
    """Return the request for an engine's report."""
    return ReplicaRequest("GET", names.REPORT_PATH, {})


def answers_request(exchange: Exchange) -> bool:
    """Return whether an answer belongs to a caller's request; reports state no request id."""
    return bool(exchange.header(names.REQUEST_ID))


def read_report(body: bytes) -> EngineReport | None:
    """Decode an engine's report; return ``None`` if it is invalid."""
    try:
        report = msgspec.json.decode(body, type=_Report)
    except msgspec.MsgspecError:
        return None
    return EngineReport(
        report.running, report.waiting, report.kv_used, report.kv_total, report.born
    )


def read_load(text: str) -> ReportedLoad | None:
    """Parse the load that a replica reports; return ``None`` if its counts are invalid."""
    parts = text.split(",")
    try:
        running, waiting, slots = (int(part) for part in parts[:3])
    except ValueError:
        return None
    return ReportedLoad(running, waiting, slots, read_slowness("".join(parts[3:4])))


def read_cold_left(exchange: Exchange) -> float | None:
    """Return the remaining warm-up time that an answer states, as ``read_cold_left_s`` does."""
    text = exchange.headers.get(names.COLD_MS)
    try:
        return read_cold_left_s(None if text is None else float(text), MS_PER_S)
    except ValueError:
        return math.nan


def _hop_by_hop_headers(headers) -> frozenset[str]:
    """Return the names of the hop-by-hop headers that ``Connection`` headers list."""
    named = [value for name, value in headers if name.lower() == "connection"]
    return frozenset(token.strip().lower() for value in named for token in value.split(","))


def _keep_alive_s(headers: HTTPHeaderDict) -> float:
    if "close" in headers.get("Connection", "").lower():
        return 0.0
    for parameter in headers.get("Keep-Alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S
