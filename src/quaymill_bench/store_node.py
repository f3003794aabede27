"""A disk node with the job store alone, as a process that may be frozen or killed.

Arguments: name, folder shared by the cluster, then ``name:port`` of every node. The platform
is the shared folder, where a file is created once; all nodes are members, always.
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
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.job_store.service import JobStoreService
from quaymill.process.settings import NodeSettings


class StoredObject(msgspec.Struct):
    """An object as the platform's client returns it."""

    spec: msgspec.Raw


class FolderPlatform:
    """The platform's objects as files."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def get(self, plural: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if there is none."""
        path = self._folder / name
        return StoredObject(msgspec.Raw(path.read_bytes())) if path.exists() else None

    def create(self, plural: str, name: str, spec: msgspec.Struct) -> None:
        """Create an object unless there is one."""
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

    def live(self) -> tuple[Member, ...]:
        """Return all nodes."""
        return self._members

    members = live


def node_settings(name: str, port: int, folder: Path) -> NodeSettings:
    """Return the settings of one node, with the timing of production."""
    return NodeSettings(
        name=name,
        zone=f"zone-{name}",
        region="r",
        address="127.0.0.1",
        http_port=1,
        peer_port=port,
        platform="127.0.0.1:1",
        data_folder=str(folder / name),
    )


def main() -> None:
    """Run one node until the process is ended."""
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
