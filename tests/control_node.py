"""Nodes with the control code only, for tests of membership and configuration.

A control node has membership, configuration, machine list and status, and if asked the load
view; it has no gateway, no batch scheduler and no log. Many of them share a process.
"""

from __future__ import annotations

import msgspec

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.platform_client import PlatformClient
from quaymill.process.configuration.service import ConfigurationService, ConfigurationTiming
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.machine_list import MachineListHolder
from quaymill.process.membership.membership import Membership
from quaymill.process.replicas.load_view import LoadView
from quaymill.process.replicas.status_rows import replica_rows
from quaymill.process.settings import NodeSettings
from quaymill.process.status.service import StatusService, StatusTiming
from quaymill_bench.ports import free_port

HOST = "127.0.0.1"
UNUSED_PORT = 1


class ControlNodeOptions(msgspec.Struct, frozen=True):
    """Which parts a control node has, and how fast its watches and its status are."""

    configuration: ConfigurationTiming = ConfigurationTiming()
    status: StatusTiming | None = None
    load_view: bool = False


class ControlNode:
    """One node without gateway, scheduler and store."""

    def __init__(self, settings: NodeSettings, options: ControlNodeOptions | None = None) -> None:
        options = options or ControlNodeOptions()
        self.settings = settings
        self.links = LinkFilter()
        self.holder = ConfigurationHolder()
        self.machines = MachineListHolder()
        self.membership = Membership(settings, self.links)
        self.platform = PlatformClient(Endpoint.parse(settings.platform), self.links)
        self.peer_client = PeerClient(self.links)
        self.peer_server = PeerServer(settings.peer_endpoint)
        self.service = ConfigurationService(
            settings,
            self.holder,
            self.machines,
            self.membership,
            self.platform,
            self.peer_client,
            self.peer_server,
            options.configuration,
        )
        self.status = StatusService(
            self.membership, self.platform, self.peer_client, self.service.report, options.status
        )
        self._has_status = options.status is not None
        self.load_view = self._build_load_view() if options.load_view else None

    @property
    def generation(self) -> int:
        """The generation in force."""
        return self.holder.current().generation

    def start(self) -> None:
        """Start all parts."""
        self.peer_server.start()
        self.membership.start()
        self.service.start()
        if self.load_view is not None:
            self.load_view.start()
        if self._has_status:
            self.status.start()

    def stop(self) -> None:
        """Stop all parts, without a word to the others."""
        self.status.stop()
        if self.load_view is not None:
            self.load_view.stop()
        self.service.stop()
        self.membership.stop()
        self.peer_server.stop()
        self.peer_client.close()
        self.platform.close()

    def _build_load_view(self) -> LoadView:
        load_view = LoadView(
            self.settings,
            self.machines,
            self.membership,
            self.peer_client,
            self.peer_server,
            self.links,
        )
        self.status.add_provider(lambda: replica_rows(load_view, self.holder.current()))
        return load_view


def control_node_settings(
    name: str,
    zone: str,
    platform_port: int,
    seeds: tuple[Endpoint, ...] = (),
    **fields: object,
) -> NodeSettings:
    """Return settings of a control node on a free port."""
    values = {
        "name": name,
        "zone": zone,
        "region": "region",
        "address": HOST,
        "http_port": UNUSED_PORT,
        "peer_port": free_port(),
        "platform": f"{HOST}:{platform_port}",
        "seeds": tuple(str(seed) for seed in seeds),
    }
    return NodeSettings(**{**values, **fields})
