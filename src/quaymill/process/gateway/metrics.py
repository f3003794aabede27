"""Counters and histograms of the gateway, in Prometheus's format."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

FIRST_BYTE_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.67, 1.0, 2.5, 5.0, 10.0)


class GatewayMetrics:
    """What the gateway counts; each gateway has a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "quaymill_requests",
            "Requests answered, by route and status code",
            ("route", "status"),
            registry=self.registry,
        )
        self.refusals = Counter(
            "quaymill_refusals",
            "Requests refused as not run, by status code",
            ("status",),
            registry=self.registry,
        )
        self.in_service = Gauge(
            "quaymill_requests_in_service", "Requests in service now", registry=self.registry
        )
        self.first_byte_s = Histogram(
            "quaymill_first_byte_seconds",
            "Seconds from the arrival of a request to its first byte of answer",
            ("route",),
            buckets=FIRST_BYTE_BUCKETS_S,
            registry=self.registry,
        )
