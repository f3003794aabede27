"""A whole system on loopback: platform, nodes, engines and applications, each a process.

The cluster starts everything on free ports in a temporary folder, puts the machines and a
first configuration into the platform, and offers the faults that experiments and tests need.
It ends only processes that it started, by their ids.
"""

from __future__ import annotations

import contextlib
import shutil
import sys
import tempfile
from pathlib import Path

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill_bench.caller import Caller
from quaymill_bench.cluster_members import CONTROL_TIMEOUT_S, HOST, Node, StandIn, expect_status
from quaymill_bench.cluster_shape import (
    APPLICATION,
    MODEL,
    REGION,
    ClusterShape,
    first_configuration,
)
from quaymill_bench.ports import free_port
from quaymill_bench.processes import (
    ConditionNotMetError,
    ManagedProcess,
    wait_until,
)

API_ROOT = "/apis/quaymill.io/v1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0


class LocalCluster:
    """Starts and ends all processes of one shape; a context manager.

    Parameters
    ----------
    folder
        Where settings, data and logs go; a temporary folder that is removed after an orderly
        end if ``None``, and kept when the body of the ``with`` statement raises.
    """

    def __init__(self, shape: ClusterShape, folder: Path | None = None) -> None:
        self.shape = shape
        self._own_folder = folder is None
        self.folder = folder or Path(tempfile.mkdtemp(prefix="quaymill-bench-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.platform = self._stand_in("platform", "platform", [*shape.platform_flags])
        self.engines = self._engines()
        self.applications = self._applications()
        self.nodes = self._nodes()

    def __enter__(self) -> LocalCluster:
        try:
            self.start()
        except BaseException:
            self.kill_all()
            raise
        return self

    def __exit__(self, kind: type | None, error: BaseException | None, trace: object) -> None:
        self.close(keep_folder=kind is not None)

    def close(self, keep_folder: bool = False) -> None:
        """End the processes; remove the folder if it is the cluster's own."""
        self.kill_all()
        if self._own_folder and not keep_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def processes(self) -> list[ManagedProcess]:
        """Every process of the cluster, in the order of the start."""
        stand_ins = [self.platform, *self.engines, *self.applications]
        return [entry.process for entry in [*stand_ins, *self.nodes]]

    def start(self) -> None:
        """Start all processes and wait until each node is ready."""
        self.start_platform()
        self.start_back_ends()
        self.register_machines()
        self.create_configuration()
        self.start_nodes()

    def start_platform(self) -> None:
        """Start the platform and wait until it answers."""
        self.platform.process.start()
        self.wait_for_stand_in(self.platform, "/standin/state")

    def start_back_ends(self) -> None:
        """Start engines and applications and wait until they answer."""
        back_ends = [*self.engines, *self.applications]
        for back_end in back_ends:
            back_end.process.start()
        for back_end in back_ends:
            self.wait_for_stand_in(back_end, "/health")

    def start_nodes(self) -> None:
        """Start the nodes and wait until they take requests."""
        for node in self.nodes:
            node.process.start()
        for node in self.nodes:
            self.wait_for_node(node)

    def wait_for_stand_in(self, stand_in: StandIn, path: str) -> None:
        """Wait until a stand-in answers."""
        self._wait_for(stand_in.process, stand_in.caller, path, START_TIMEOUT_S)

    def wait_for_node(self, node: Node, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until a node takes requests."""
        self._wait_for(node.process, node.caller, "/readyz", timeout_s)

    def register_machines(self) -> None:
        """Put every machine into the platform's list."""
        for node in self.nodes:
            self._register(node.name, "node", node.zone, node.settings["peer_port"], "")
        for engine in self.engines:
            self._register(engine.name, "engine", engine.zone, engine.port, MODEL)
        for application in self.applications:
            self._register(
                application.name, "application", application.zone, application.port, APPLICATION
            )

    def create_configuration(self) -> None:
        """Put the first configuration into the platform."""
        spec = msgspec.to_builtins(first_configuration(self.shape))
        self._create("servingconfigurations", "ServingConfiguration", "serving", spec)

    def stop_nodes_in_order(self) -> list[int]:
        """Stop the nodes one by one with a planned stop; return their exit codes."""
        return [self._stop(node.process) for node in self.nodes]

    def stop_stand_ins(self) -> list[int]:
        """Stop applications, engines and the platform; return their exit codes."""
        stand_ins = [*self.applications, *self.engines, self.platform]
        return [self._stop(stand_in.process) for stand_in in stand_ins]

    def kill_all(self) -> None:
        """End every process that this cluster started and that still runs."""
        for process in self.processes:
            process.kill()

    def restart_node(self, node: Node, wipe: bool = False) -> None:
        """Kill a node, lose its disk if asked, and start it again; does not wait for it."""
        node.process.kill()
        if wipe:
            node.wipe_data()
        node.process.start()

    def cut_zone(self, zone: str, one_way: bool = False) -> None:
        """Cut the nodes of ``zone`` from those of the others, outgoing only if ``one_way``.

        Nodes that are down, starting or frozen at the moment keep their links.
        """
        inside = [node for node in self.nodes if node.zone == zone]
        outside = [node for node in self.nodes if node.zone != zone]
        _tell_blocked(inside, outside)
        if not one_way:
            _tell_blocked(outside, inside)

    def heal_links(self) -> None:
        """Restore every link, as far as the nodes can be told."""
        _tell_blocked(self.nodes, [])

    def _stop(self, process: ManagedProcess) -> int:
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def _register(self, name: str, role: str, zone: str, port: int, service: str) -> None:
        spec = {
            "name": name,
            "role": role,
            "zone": zone,
            "endpoint": {"host": HOST, "port": port},
            "service": service,
            "draining": False,
        }
        self._create("machines", "Machine", name, spec)

    def _create(self, plural: str, kind: str, name: str, spec: dict) -> None:
        document = {
            "apiVersion": "quaymill.io/v1",
            "kind": kind,
            "metadata": {"name": name},
            "spec": spec,
        }
        expect_status(self.platform.caller.post_json(f"{API_ROOT}/{plural}", document), 201, 200)

    def _wait_for(
        self, process: ManagedProcess, caller: Caller, path: str, timeout_s: float
    ) -> None:
        def answers() -> bool:
            if not process.is_running():
                raise ConditionNotMetError(f"{process.name} ended:\n{process.output_tail()}")
            return caller.request("GET", path, timeout_s=CONTROL_TIMEOUT_S).status == 200

        try:
            wait_until(answers, timeout_s, f"{process.name} answers {path}")
        except ConditionNotMetError as error:
            raise ConditionNotMetError(f"{error}\n{process.output_tail()}") from error

    def _stand_in(
        self, kind: str, name: str, flags: list[str], zone: str = "", service: str = ""
    ) -> StandIn:
        port = free_port()
        command = [
            _script("quaymill-standin"),
            kind,
            "--address",
            HOST,
            "--port",
            str(port),
            *flags,
        ]
        process = ManagedProcess(name, command, self.folder / f"{name}.out")
        return StandIn(process, port, zone, service)

    def _engines(self) -> list[StandIn]:
        engines = []
        for zone in self.shape.zones:
            for number in range(self.shape.engines_per_zone):
                name = f"engine-{zone}-{number}"
                flags = ["--name", name, "--zone", zone, "--model", MODEL, *self.shape.engine_flags]
                engines.append(self._stand_in("engine", name, flags, zone, MODEL))
        return engines

    def _applications(self) -> list[StandIn]:
        applications = []
        for number in range(self.shape.applications):
            zone = self.shape.zones[number % len(self.shape.zones)]
            name = f"application-{number}"
            flags = ["--name", name, "--zone", zone, "--service", APPLICATION]
            applications.append(self._stand_in("application", name, flags, zone, APPLICATION))
        return applications

    def _nodes(self) -> list[Node]:
        places = [
            (zone, number)
            for number in range(self.shape.nodes_per_zone)
            for zone in self.shape.zones
        ]
        peer_ports = [free_port() for _ in places]
        seeds = [f"{HOST}:{port}" for port in peer_ports[: len(self.shape.zones)]]
        return [
            self._node(zone, number, peer_port, seeds)
            for (zone, number), peer_port in zip(places, peer_ports, strict=True)
        ]

    def _node(self, zone: str, number: int, peer_port: int, seeds: list[str]) -> Node:
        name = f"node-{zone}-{number}"
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        settings = {
            "name": name,
            "zone": zone,
            "region": REGION,
            "address": HOST,
            "http_port": free_port(),
            "peer_port": peer_port,
            "platform": f"{HOST}:{self.platform.port}",
            "seeds": seeds,
            "log_file": str(folder / "node.log"),
            "fault_switch": True,
        }
        if number < self.shape.disk_nodes_per_zone:
            settings["data_folder"] = str(folder / "data")
            (folder / "data").mkdir(exist_ok=True)
        settings.update(self.shape.node_settings)
        command = [
            _script("quaymill"),
            "node",
            "--settings",
            str(folder / "settings.toml"),
        ]
        return Node(ManagedProcess(name, command, folder / "node.out"), settings, folder)


def run_quaymill(arguments: list[str], output_path: Path, timeout_s: float = 30.0) -> str:
    """Run one operator's command to its end and return its output.

    Raises
    ------
    RuntimeError
        If it does not exit with 0.
    """
    command = [_script("quaymill"), *arguments]
    process = ManagedProcess(f"quaymill {arguments[0]}", command, output_path)
    offset = output_path.stat().st_size if output_path.exists() else 0
    process.start()
    try:
        code = process.wait(timeout_s)
    finally:
        process.kill()
    output = output_path.read_text(errors="replace")[offset:]
    if code != 0:
        raise RuntimeError(f"quaymill {' '.join(arguments)} exited with {code}:\n{output}")
    return output


def endpoint_of(stand_in: StandIn) -> Endpoint:
    """Return where a stand-in listens."""
    return Endpoint(HOST, stand_in.port)


def _tell_blocked(nodes: list[Node], peers: list[Node]) -> None:
    """Cut the links from each of ``nodes`` to ``peers``, as far as the nodes can be told."""
    addresses = [peer.peer_address for peer in peers]
    for node in nodes:
        if node.process.is_running() and not node.process.frozen:
            # A node that is just starting does not answer yet; it keeps its links.
            with contextlib.suppress(RuntimeError):
                node.block_links(addresses)


def _script(name: str) -> str:
    """Return the path of a console script of the environment that runs the bench."""
    return str(Path(sys.executable).parent / name)
