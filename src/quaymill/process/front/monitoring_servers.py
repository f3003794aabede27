"""HTTP servers for the platform's readiness checks and for metrics scrapers."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, generate_latest

from quaymill.connection.endpoint import Endpoint
from quaymill.process.front.http_server import AnswerWriter, FrontRequest, HttpServer

THREADS = 4
IDLE_THREADS = 1
"""One idle worker is enough, as these addresses are requested once a second or less often."""
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class ReadinessServer(HttpServer):
    """Answers 200 while the gateway is ready for callers, 503 otherwise."""

    def __init__(self, endpoint: Endpoint, path: str, is_ready: Callable[[], bool]) -> None:
        super().__init__(endpoint, self._handle, THREADS, idle_threads=IDLE_THREADS)
        self._path = path
        self._is_ready = is_ready

    def _handle(self, request: FrontRequest, writer: AnswerWriter) -> None:
        if request.path != self._path:
            writer.answer(404, (), b"")
            return
        writer.answer(200 if self._is_ready() else 503, (), b"")


class MetricsServer(HttpServer):
    """Serves a registry's metrics in the Prometheus text format."""

    def __init__(self, endpoint: Endpoint, registry: CollectorRegistry) -> None:
        super().__init__(endpoint, self._handle, THREADS, idle_threads=IDLE_THREADS)
        self._registry = registry

    def _handle(self, request: FrontRequest, writer: AnswerWriter) -> None:
        if request.path != METRICS_PATH:
            writer.answer(404, (), b"")
            return
        writer.answer(200, (("Content-Type", METRICS_TYPE),), generate_latest(self._registry))
