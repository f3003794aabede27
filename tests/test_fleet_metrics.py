"""The metrics of a gateway, and slow scrapers that must not block others."""

from __future__ import annotations

import socket
import unittest

import urllib3
from prometheus_client import CollectorRegistry
from prometheus_client.parser import text_string_to_metric_families

from fleet_rig import FleetRig
from quaymill.connection.endpoint import Endpoint
from quaymill.process.front.metrics import FrontMetrics
from quaymill.process.front.monitoring_servers import THREADS, MetricsServer
from quaymill_bench.ports import free_port


class MetricsPageTest(unittest.TestCase):
    """The metrics server without a gateway."""

    def setUp(self) -> None:
        registry = CollectorRegistry()
        self.metrics = FrontMetrics(registry)
        self.port = free_port()
        self.server = MetricsServer(Endpoint("127.0.0.1", self.port), registry)
        self.server.start_serving()
        self.addCleanup(self.server.stop)

    def scrape(self) -> dict[str, float]:
        answer = urllib3.request("GET", f"http://127.0.0.1:{self.port}/metrics", timeout=5.0)
        self.assertEqual(200, answer.status)
        return {
            f"{sample.name}{sorted(sample.labels.items())}": sample.value
            for family in text_string_to_metric_families(answer.data.decode())
            for sample in family.samples
        }

    def test_counters_and_histograms_are_shown(self) -> None:
        self.metrics.requests.labels("route", "delivered").inc()
        self.metrics.answer_s.labels("route").observe(0.2)
        shown = self.scrape()
        key = "quaymill_front_requests_total[('outcome', 'delivered'), ('route', 'route')]"
        self.assertEqual(1.0, shown[key])
        self.assertEqual(1.0, shown["quaymill_front_answer_seconds_count[('route', 'route')]"])

    def test_incomplete_scrapes_do_not_block_others(self) -> None:
        for _ in range(THREADS - 1):
            slow = socket.create_connection(("127.0.0.1", self.port))
            self.addCleanup(slow.close)
            slow.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n")
        self.assertTrue(self.scrape() is not None)


class GatewayMetricsTest(unittest.TestCase):
    """Gauges of a running gateway."""

    def test_gauges_follow_the_gateway(self) -> None:
        rig = FleetRig(gateways=1, storage=2, engines=1).start()
        self.addCleanup(rig.stop)
        registry = rig.gateways["gateway-0"]._metrics.registry
        self.assertEqual(1, registry.get_sample_value("quaymill_configuration_version"))
        self.assertEqual(2, registry.get_sample_value("quaymill_storage_nodes"))
        self.assertEqual(3, registry.get_sample_value("quaymill_replicas", {"state": "listed"}))
        self.assertLess(registry.get_sample_value("quaymill_control_age_seconds"), 5.0)
