"""When a node says that it is ready."""

from __future__ import annotations

import unittest

import msgspec
from nose2.tools import params

from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.gateway.body import RequestBody
from quaymill.process.gateway.health import Health
from quaymill.process.gateway.http import Request, RouteTable
from quaymill.process.gateway.metrics import GatewayMetrics
from quaymill.version.configuration import EMPTY_CONFIGURATION


class ReadinessTest(unittest.TestCase):
    """A node that cannot find a replica must not be sent callers."""

    @params(
        ("knows all", 1, True, False, 200),
        ("no configuration", 0, True, False, 503),
        ("configuration from its disk, no machine list yet", 1, False, False, 503),
        ("draining", 1, True, True, 503),
    )
    def test_ready(self, _, generation, machines_known, draining, status):
        holder = ConfigurationHolder()
        holder.offer(msgspec.structs.replace(EMPTY_CONFIGURATION, generation=generation))
        routes = RouteTable()
        health = Health(holder, GatewayMetrics(), lambda: draining, dict, lambda: machines_known)
        health.register_routes(routes)
        route, _ = routes.find("GET", "/readyz")
        request = Request("GET", "/readyz", {}, RequestBody(None, 0))
        self.assertEqual(status, route.handler(request).status)
