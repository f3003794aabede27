"""Nodes find each other: by seeds, and by the platform's store when seeds are no help."""

from __future__ import annotations

import unittest

import msgspec

from fleet_rig import FleetRig, wait_until


class JoinTest(unittest.TestCase):
    """A node whose seeds are stale."""

    def test_node_with_stale_seeds_joins_through_the_store(self) -> None:
        rig = FleetRig(gateways=2, storage=3, engines=1).start()
        self.addCleanup(rig.stop)
        wait_until(lambda: rig.store.read("quaymill-nodes", "gateway-0"), "an entry")
        rig._settings_of("gateway-9", "zone-c")
        stale = msgspec.structs.replace(rig.settings["gateway-9"], seeds="127.0.0.250:1")
        rig.settings["gateway-9"] = stale
        late = rig.start_gateway("gateway-9", "zone-c")
        wait_until(lambda: len(late.network.storage_nodes()) == 3, "it knows the storage nodes")
