"""Counters and histograms of the callers' interface."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class FrontMetrics:
    """What the front counts; ``registry`` may hold other parts' metrics too."""

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
            "Answers of our own that are not successes, by status.",
            ("status",),
            registry=registry,
        )
        self.answer_s = Histogram(
            "quaymill_front_answer_seconds",
            "Time from a request's arrival to the end of its answer.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
