"""Base class of tests that share one running fleet."""

from __future__ import annotations

import unittest
from typing import Any, ClassVar

from fleet_rig import FleetRig
from quaymill.process.gateway_node import GatewayFeatures
from quaymill_standins.fleet_replica import ReplicaBehaviour, ReplicaRun


class FleetCase(unittest.TestCase):
    """Starts the fleet once per class; the replicas are reset before each test.

    Attributes
    ----------
    configuration_fields
        Fields of the first configuration that differ from the defaults.
    features
        Optional parts of the gateways that are enabled.
    """

    configuration_fields: ClassVar[dict[str, Any]] = {}
    features: ClassVar[GatewayFeatures] = GatewayFeatures()

    @classmethod
    def setUpClass(cls) -> None:
        cls.rig = FleetRig(features=cls.features).start(**cls.configuration_fields)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.rig.stop()

    def setUp(self) -> None:
        for replica in self.rig.replicas.values():
            replica.behaviour = ReplicaBehaviour()
            replica.runs.clear()

    def runs(self, request_id: str = "") -> list[ReplicaRun]:
        """Return the runs of a request on all replicas; of all requests without an id."""
        found = [run for replica in self.rig.replicas.values() for run in replica.runs]
        return [run for run in found if not request_id or run.request_id == request_id]
