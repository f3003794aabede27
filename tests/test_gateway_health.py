"""When a node says that it is ready."""

from __future__ import annotations

import unittest
from unittest import mock

import msgspec
from nose2.tools import params

from gateway_rig import GatewayRig, wait_until
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.gateway import gateway as gateway_module
from quaymill.process.gateway.body import RequestBody
from quaymill.process.gateway.health import Health
from quaymill.process.gateway.http import Request, RouteTable
from quaymill.process.gateway.metrics import GatewayMetrics
from quaymill.process.machine_list import MachineList, MachineListHolder
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


class LateMachineListTest(unittest.TestCase):
    """The platform lists machines late, one after the other."""

    def setUp(self):
        self.rig = GatewayRig(machine_list=MachineListHolder())
        self.rig.add_engine()
        self.rig.add_application()
        self.rig.add_application("lookup")
        self.rig.start()
        self.addCleanup(self.rig.stop)
        self.machines = self.rig.machine_list.current().machines

    def list_machines(self, count: int) -> None:
        version = self.rig.machine_list.current().version + 1
        self.rig.machine_list.offer(MachineList(version, self.machines[:count]))

    def ready_status(self) -> int:
        return self.rig.request("GET", "/readyz", key="").status

    def test_not_ready_before_a_replica_is_listed(self):
        """Guards against "no replica" for callers of a node that has just become ready."""
        with mock.patch.object(gateway_module, "MACHINE_LIST_TIMEOUT_S", 60.0):
            statuses = []
            for count in range(len(self.machines) + 1):
                self.list_machines(count)
                statuses.append(self.ready_status())
        self.assertEqual([503, 200, 200, 200], statuses)

    def test_list_without_replicas_does_not_keep_a_node_from_being_ready(self):
        self.list_machines(0)
        wait_until(lambda: self.ready_status() == 200, 2 * gateway_module.MACHINE_LIST_TIMEOUT_S)
