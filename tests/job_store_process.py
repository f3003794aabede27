"""One disk node of the job store as a process of its own, for tests that freeze or kill it.

Arguments: name, folder shared by the cluster, then ``name:port`` of every node. The platform
is the shared folder, where a file is created once.
"""

from __future__ import annotations

import contextlib
import os
import sys
import threading
from pathlib import Path

import msgspec

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient, PeerServer
from quaymill.process.job_store.service import JobStoreService
from quaymill.process.settings import LogSettings, NodeSettings


class StoredObject(msgspec.Struct):
    """An object as the platform's client returns it."""

    spec: msgspec.Raw


class FolderPlatform:
    """The platform's objects as files."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def get(self, plural, name):
        path = self._folder / name
        return StoredObject(msgspec.Raw(path.read_bytes())) if path.exists() else None

    def create(self, plural, name, spec):
        draft = self._folder / f"{name}.{os.getpid()}"
        draft.write_bytes(msgspec.json.encode(spec))
        with contextlib.suppress(FileExistsError):
            os.link(draft, self._folder / name)


class StaticMembership:
    """All nodes of the cluster, always."""

    def __init__(self, ports: dict[str, int]) -> None:
        self._members = tuple(
            Member(name, f"zone-{name}", "r", endpoint, endpoint, has_disk=True)
            for name, endpoint in ((n, Endpoint("127.0.0.1", p)) for n, p in ports.items())
        )

    def live(self):
        return self._members

    members = live


def node_settings(name: str, port: int, folder: Path) -> NodeSettings:
    return NodeSettings(
        name=name,
        zone=f"zone-{name}",
        region="r",
        address="127.0.0.1",
        http_port=1,
        peer_port=port,
        platform="127.0.0.1:1",
        data_folder=str(folder / name),
        log=LogSettings(heartbeat_s=0.05, election_timeout_s=0.4),
    )


def main() -> None:
    name, folder, *nodes = sys.argv[1:]
    ports = {node: int(port) for node, _, port in (x.partition(":") for x in nodes)}
    settings = node_settings(name, ports[name], Path(folder))
    server = PeerServer(settings.peer_endpoint)
    service = JobStoreService(
        settings,
        server,
        PeerClient(LinkFilter()),
        FolderPlatform(Path(folder)),
        StaticMembership(ports),
    )
    server.start()
    service.start()
    threading.Event().wait()


if __name__ == "__main__":
    main()
