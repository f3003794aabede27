"""Which node polls a replica, and how its reports reach the other nodes."""

import unittest
from collections import Counter

from gateway_rig import HOST, FakeMembership, wait_until
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.load_messages import GetLoad
from quaymill.connection.member import Machine, MachineRole, Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.machine_list import MachineList, MachineListHolder
from quaymill.process.replicas.load_view import LoadView
from quaymill.process.settings import NodeSettings
from quaymill_standins.engine import Engine, EngineSettings
from quaymill_standins.faults import Faults

MODEL = "drafting"
ZONES = {"node-1": "a", "node-2": "a", "node-3": "b"}


class CountingPeerClient(PeerClient):
    """Counts pulls of load reports by peer."""

    def __init__(self, links: LinkFilter) -> None:
        super().__init__(links)
        self.pulls_by_peer: Counter[Endpoint] = Counter()

    def call(self, endpoint, message, reply_type, timeout_s):
        if isinstance(message, GetLoad):
            self.pulls_by_peer[endpoint] += 1
        return super().call(endpoint, message, reply_type, timeout_s)


class LoadViewFleet:
    """Load views of three nodes in two zones over real engines and peer links."""

    def __init__(self) -> None:
        self.machine_list = MachineListHolder()
        self.engines = {f"engine-{zone}": self._engine(zone) for zone in ("a", "b")}
        self.servers = {name: PeerServer(Endpoint(HOST, 0)) for name in ZONES}
        self.links = {name: LinkFilter() for name in ZONES}
        self.clients = {name: CountingPeerClient(self.links[name]) for name in ZONES}
        self.members = {
            name: Member(name, zone, "r", self.servers[name].endpoint, Endpoint(HOST, 1))
            for name, zone in ZONES.items()
        }
        self.memberships = {name: FakeMembership(member) for name, member in self.members.items()}
        self.set_live(*ZONES)
        machines = [
            Machine(name, MachineRole.ENGINE, name[-1], Endpoint(HOST, engine.port), MODEL)
            for name, engine in self.engines.items()
        ]
        self.machine_list.offer(MachineList(1, tuple(machines)))
        self.views = {name: self._view(name) for name in ZONES}
        for name, view in self.views.items():
            self.servers[name].start()
            view.start()

    def _engine(self, zone: str) -> Engine:
        settings = EngineSettings(f"engine-{zone}", zone, MODEL, load_lag_s=0.0)
        engine = Engine(settings)
        engine.start()
        return engine

    def _view(self, name: str) -> LoadView:
        settings = NodeSettings(name, ZONES[name], "r", HOST, 1, 1, f"{HOST}:1")
        return LoadView(
            settings,
            self.machine_list,
            self.memberships[name],
            self.clients[name],
            self.servers[name],
            self.links[name],
        )

    def set_live(self, *names: str) -> None:
        """Set the nodes that all nodes see as live."""
        for membership in self.memberships.values():
            membership.members_now = tuple(self.members[name] for name in names)

    def report(self, node: str, engine: str):
        views = {view.name: view for view in self.views[node].replicas(MODEL)}
        return views[engine].report()

    def pollers(self, engine: str) -> list[str]:
        return [
            name
            for name, view in self.views.items()
            if engine in [replica.name for replica in view.scheduled_here()]
        ]

    def first_poller(self, engine: str) -> str:
        """Wait until an engine is polled and return the first node that polls it."""
        wait_until(lambda: self.pollers(engine))
        return self.pollers(engine)[0]

    def stop(self) -> None:
        for name, view in self.views.items():
            view.stop()
            self.servers[name].stop()
            self.clients[name].close()
        for engine in self.engines.values():
            engine.stop()


class LoadViewTest(unittest.TestCase):
    """Three nodes, two zones, an engine in each zone."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = LoadViewFleet()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def setUp(self):
        self.fleet.set_live(*ZONES)
        for engine in self.fleet.engines.values():
            engine.switches.replace(Faults())
        for links in self.fleet.links.values():
            links.set_blocked(frozenset())
        wait_until(lambda: all(len(self.fleet.pollers(one)) == 1 for one in self.fleet.engines))

    def test_each_replica_is_polled_by_one_node_of_its_zone(self):
        for engine in self.fleet.engines:
            zone = ZONES[self.fleet.pollers(engine)[0]]
            self.assertEqual(zone, engine[-1])

    def test_reports_reach_every_node(self):
        for node in ZONES:
            for engine in self.fleet.engines:
                wait_until(lambda n=node, e=engine: self.fleet.report(n, e) is not None)
                wait_until(lambda n=node, e=engine: self.fleet.report(n, e).age_s < 1.5)

    def test_one_node_is_pulled_for_all_of_its_zone(self):
        pulls_before = Counter(self.fleet.clients["node-3"].pulls_by_peer)
        peers = {self.fleet.members[name].peer for name in ("node-1", "node-2")}
        pulls_by_peer = self.fleet.clients["node-3"].pulls_by_peer
        wait_until(lambda: sum((pulls_by_peer - pulls_before)[peer] for peer in peers) >= 3)
        self.assertEqual(
            len([peer for peer in peers if pulls_by_peer[peer] > pulls_before[peer]]), 1
        )

    def test_next_ranked_node_polls_when_the_polling_one_is_dead(self):
        first = self.fleet.first_poller("engine-a")
        self.fleet.set_live(*[name for name in ZONES if name != first])
        wait_until(lambda: first not in self.fleet.pollers("engine-a"))
        poller = self.fleet.first_poller("engine-a")
        self.assertEqual(ZONES[poller], "a")
        self.fleet.set_live("node-3")
        wait_until(lambda: self.fleet.pollers("engine-a") == ["node-3"])

    def test_replica_without_load_document_has_unknown_load(self):
        node = self.fleet.first_poller("engine-a")
        view = next(one for one in self.fleet.views[node].replicas(MODEL) if one.name == "engine-a")
        wait_until(lambda: view.load() is not None)
        self.fleet.engines["engine-a"].switches.replace(Faults(load_lies="none"))
        wait_until(lambda: view.load() is None)
        self.assertTrue(view.reachable)

    def test_replica_behind_a_blocked_link_is_not_reachable(self):
        node = self.fleet.first_poller("engine-b")
        port = self.fleet.engines["engine-b"].port
        self.fleet.links[node].set_blocked(frozenset({Endpoint(HOST, port)}))
        for name in ZONES:
            wait_until(lambda n=name: not self.fleet.report(n, "engine-b").reachable)
        self.fleet.links[node].set_blocked(frozenset())
        wait_until(lambda: self.fleet.report("node-1", "engine-b").reachable)
