"""Counters and histograms of the callers' interface."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram

MAX_TENANTS_SHOWN = 100
"""Most tenants with a counter of their own, to bound the number of time series."""
OTHER_TENANTS = "(others)"
LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class FrontMetrics:
    """The metrics of the front; ``registry`` may hold metrics of other parts as well."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.requests = Counter(
            "quaymill_front_requests",
            "Requests by route and outcome.",
            ("route", "outcome"),
            registry=registry,
        )
        self.refusals = Counter(
            "quaymill_front_refusals",
            "Error responses of the gateway itself, by status.",
            ("status",),
            registry=registry,
        )
        self._over_limit = Counter(
            "quaymill_front_over_limit",
            "Requests refused because their tenant was over its limits.",
            ("tenant",),
            registry=registry,
        )
        self._tenants_shown: set[str] = set()
        self.answer_s = Histogram(
            "quaymill_front_answer_seconds",
            "Time from a request's arrival to the end of its answer.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )

    def count_over_limit(self, tenant: str) -> None:
        """Count a refusal; tenants after the first ``MAX_TENANTS_SHOWN`` share one counter."""
        if len(self._tenants_shown) < MAX_TENANTS_SHOWN:
            self._tenants_shown.add(tenant)
        label = tenant if tenant in self._tenants_shown else OTHER_TENANTS
        self._over_limit.labels(label).inc()
