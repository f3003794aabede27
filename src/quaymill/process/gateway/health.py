"""``/healthz``, ``/readyz``, ``/metrics`` and ``/status``."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.gateway.http import (
    Request,
    Response,
    RouteTable,
    failure_response,
    json_response,
)
from quaymill.process.gateway.metrics import GatewayMetrics
from quaymill.request.outcome import NotRun

StatusDocument = Callable[[], Any]


class Health:
    """Handlers for those who watch the node; they need no key and no admission.

    Parameters
    ----------
    machines_known
        Whether the machine list has the replicas that requests need.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        metrics: GatewayMetrics,
        is_draining: Callable[[], bool],
        status_document: StatusDocument,
        machines_known: Callable[[], bool],
    ) -> None:
        self._holder = holder
        self._machines_known = machines_known
        self._metrics = metrics
        self._is_draining = is_draining
        self._status_document = status_document

    def register_routes(self, routes: RouteTable) -> None:
        """Add the routes of this module."""
        for path, handler in (
            ("/healthz", self._healthz),
            ("/readyz", self._readyz),
            ("/metrics", self._show_metrics),
            ("/status", self._show_status),
        ):
            routes.add("GET", path, handler, authenticated=False, admitted=False)

    def _healthz(self, request: Request) -> Response:
        return Response(headers={"Content-Type": "text/plain"}, body=b"ok\n")

    def _readyz(self, request: Request) -> Response:
        if self._is_draining():
            return failure_response(
                NotRun(503, "the node is draining", "send requests to another node")
            )
        if self._holder.current().generation == 0:
            return failure_response(
                NotRun(503, "the node has no configuration yet", "wait, or check the platform")
            )
        if not self._machines_known():
            return failure_response(
                NotRun(503, "the node knows no replicas yet", "wait, or check the platform")
            )
        return Response(headers={"Content-Type": "text/plain"}, body=b"ready\n")

    def _show_metrics(self, request: Request) -> Response:
        body = generate_latest(self._metrics.registry)
        return Response(headers={"Content-Type": CONTENT_TYPE_LATEST}, body=body)

    def _show_status(self, request: Request) -> Response:
        return json_response(self._status_document())
