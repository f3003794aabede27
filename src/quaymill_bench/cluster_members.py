"""The members of a local cluster: nodes and stand-ins, with the switches that tests use."""

from __future__ import annotations

import shutil
from pathlib import Path

from quaymill_bench.caller import Answer, Caller
from quaymill_bench.cluster_shape import TENANT_KEY, to_toml
from quaymill_bench.processes import ManagedProcess

HOST = "127.0.0.1"
CONTROL_TIMEOUT_S = 5.0


class StandIn:
    """One stand-in process with its control interface."""

    def __init__(self, process: ManagedProcess, port: int, zone: str, service: str) -> None:
        self.process = process
        self.port = port
        self.zone = zone
        self.service = service
        self.caller = Caller(f"http://{HOST}:{port}", key="")

    @property
    def name(self) -> str:
        """Name of the machine."""
        return self.process.name

    def set_faults(self, **switches: float | str | bool) -> None:
        """Replace all fault switches; without arguments, all are off."""
        expect_status(self.caller.post_json("/standin/faults", switches), 200)

    def drain(self, draining: bool = True) -> None:
        """Tell the machine to refuse, or to take, new work."""
        expect_status(self.caller.post_json("/drain", {"draining": draining}), 200)

    def journal(self) -> list[dict]:
        """Return every run that the machine has made, oldest first."""
        return expect_status(self.caller.request("GET", "/standin/journal"), 200).json()["runs"]


class Node:
    """One node process with its settings file and data folder."""

    def __init__(self, process: ManagedProcess, settings: dict, folder: Path) -> None:
        self.process = process
        self.settings = settings
        self.folder = folder
        self.base_url = f"http://{HOST}:{settings['http_port']}"
        self.caller = Caller(self.base_url, TENANT_KEY)
        self.write_settings()

    @property
    def name(self) -> str:
        """Name of the machine."""
        return self.process.name

    @property
    def zone(self) -> str:
        """Zone that the node runs in."""
        return self.settings["zone"]

    @property
    def peer_address(self) -> str:
        """``host:port`` of the internal protocol."""
        return f"{HOST}:{self.settings['peer_port']}"

    @property
    def settings_path(self) -> Path:
        """The settings file."""
        return self.folder / "settings.toml"

    @property
    def log_path(self) -> Path:
        """The node's structured log."""
        return self.folder / "node.log"

    def write_settings(self) -> None:
        """Write the settings file anew."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.settings_path.write_text(to_toml(self.settings))

    def is_ready(self) -> bool:
        """Return whether the node takes requests."""
        return self.caller.request("GET", "/readyz", timeout_s=CONTROL_TIMEOUT_S).status == 200

    def block_links(self, addresses: list[str]) -> None:
        """Cut the node's outgoing links to these addresses, and heal all others."""
        answer = self.caller.post_json(
            "/debug/links", {"blocked": addresses}, timeout_s=CONTROL_TIMEOUT_S
        )
        expect_status(answer, 200)

    def wipe_data(self) -> None:
        """Lose the disk; the process must not be running."""
        if self.process.is_running():
            raise RuntimeError(f"{self.name} still runs")
        data_folder = self.settings.get("data_folder")
        if data_folder:
            shutil.rmtree(data_folder, ignore_errors=True)
            Path(data_folder).mkdir()


def expect_status(answer: Answer, *statuses: int) -> Answer:
    """Return the answer of a control request; raises ``RuntimeError`` on another status."""
    if answer.status not in statuses:
        raise RuntimeError(f"control request failed: {answer.status} {answer.error} {answer.body}")
    return answer
