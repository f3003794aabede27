"""Stand-in for the users' platform store: objects by kind under one revision counter.

Speaks the users' published pages: lists, watches, conditional writes, history that is
forgotten. Faults are set with ``FleetStoreFaults``; ``refused_clients`` turns some callers
away while others are served.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import Any

import msgspec

from quaymill_standins.faults import Faults, FaultSwitches, RequestFaults
from quaymill_standins.http_support import (
    CLOSED,
    Answer,
    Request,
    Response,
    StandinServer,
    json_response,
)

OBJECTS_PATH = "/v1/objects/"
PAGE_SIZE = 500
THREADS = 128


class FleetStoreFaults(msgspec.Struct, frozen=True):
    """What goes wrong with the store.

    Attributes
    ----------
    down
        Every call is answered 503.
    silent
        Calls are taken and never answered.
    lose_writes
        Writes are done and not answered.
    late_writes_s
        Writes are done at once, and answered after this time.
    deaf_watches
        Watches hear nothing of changes until they end.
    refused_clients
        Addresses whose calls are answered 503 while others are served.
    """

    down: bool = False
    silent: bool = False
    lose_writes: bool = False
    late_writes_s: float = 0.0
    deaf_watches: bool = False
    refused_clients: frozenset[str] = frozenset()


class StoreChange(msgspec.Struct, frozen=True):
    """One change of an object.

    Attributes
    ----------
    at_s
        Monotonic time when it was done; whoever writes with ``put`` or ``remove`` has its
        acknowledgement then.
    gone
        Whether the object was removed.
    """

    name: str
    gone: bool
    at_s: float


class _Change(msgspec.Struct):
    revision: int
    kind: str
    object: dict[str, Any]
    gone: bool


class FleetStore:
    """A running store; objects may also be read and written directly by tests."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        self.faults = FleetStoreFaults()
        self.calls: Counter[str] = Counter()
        self._changed = threading.Condition()
        self._stopping = False
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[_Change] = []
        self._changes: dict[str, list[StoreChange]] = {}
        self._forgotten = 0
        self._server = StandinServer(
            address,
            port,
            FaultSwitches(Faults()),
            handle_data=self._handle,
            handle_control=lambda request: Response(404),
            is_control=lambda path: False,
            threads=THREADS,
        )

    @property
    def port(self) -> int:
        """The port in use."""
        return self._server.port

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def stop(self) -> None:
        """Let waiting watches go, and stop."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._server.stop()

    # Direct access, as the operator and the replicas have it.

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> int:
        """Write an object whatever its revision; return the new revision."""
        with self._changed:
            held = self._objects.get(kind, {}).get(name)
            status = held["status"] if held and status is None else status
            return self._commit(kind, name, spec, status)["metadata"]["revision"]

    def read(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object as it stands."""
        with self._changed:
            return self._objects.get(kind, {}).get(name)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self._changed:
            held = self._objects.get(kind, {}).pop(name, None)
            if held is not None:
                self._revision += 1
                self._note(_Change(self._revision, kind, held, gone=True))

    def changes_of(self, kind: str) -> list[StoreChange]:
        """Return every change of a kind's objects, in order, also those of forgotten history."""
        with self._changed:
            return list(self._changes.get(kind, ()))

    def forget_history(self) -> None:
        """Drop the history; watches from before are told so."""
        with self._changed:
            self._history.clear()
            self._forgotten = self._revision
            self._changed.notify_all()

    # Calls.

    def _handle(self, request: Request, faults: RequestFaults) -> Answer:
        client = str(request.environ["REMOTE_ADDR"])
        self.calls[request.method] += 1
        if self.faults.silent:
            self._wait_until(lambda: not self.faults.silent)
            return CLOSED
        if self.faults.down or client in self.faults.refused_clients:
            return json_response(503, {"error": "unavailable"})
        if not request.path.startswith(OBJECTS_PATH):
            return Response(404)
        kind, _, rest = request.path[len(OBJECTS_PATH) :].partition("/")
        name, _, part = rest.partition("/")
        if request.method == "GET":
            return self._read_call(kind, name, request.query)
        answer = self._write_call(kind, name, part, request)
        time.sleep(self.faults.late_writes_s)
        return CLOSED if self.faults.lose_writes else answer

    def _read_call(self, kind: str, name: str, query: dict[str, str]) -> Response:
        if name:
            held = self.read(kind, name)
            return json_response(200, held) if held else Response(404)
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        with self._changed:
            names = sorted(self._objects.get(kind, {}))
            later = [one for one in names if one > query.get("since_rev", "")]
            items = [self._objects[kind][one] for one in later[:PAGE_SIZE]]
            more = len(later) > PAGE_SIZE
            return json_response(200, {"items": items, "more": more, "at": self._revision})

    def _watch(self, kind: str, revision: int, wait_s: float) -> Response:
        deadline = time.monotonic() + wait_s
        with self._changed:
            while True:
                if revision < self._forgotten:
                    return json_response(410, {"error": "history is gone"})
                found = [
                    change
                    for change in self._history
                    if change.kind == kind and change.revision > revision
                ]
                if found and not self.faults.deaf_watches:
                    events = [{"object": one.object, "gone": one.gone} for one in found]
                    return json_response(200, {"events": events, "at": self._revision})
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0 or self._stopping:
                    return json_response(200, {"events": [], "at": self._revision})
                self._changed.wait(remaining_s)

    def _write_call(self, kind: str, name: str, part: str, request: Request) -> Response:
        with self._changed:
            if request.method == "POST":
                document = msgspec.json.decode(request.body)
                name = document["metadata"]["name"]
                held = self._objects.get(kind, {}).get(name)
                if held is not None:
                    return json_response(409, held)
                return json_response(200, self._commit(kind, name, document.get("spec"), None))
            held = self._objects.get(kind, {}).get(name)
            if held is None:
                return Response(404)
            if request.method == "DELETE":
                self.remove(kind, name)
                return json_response(200, held)
            return self._replace(kind, name, part, held, msgspec.json.decode(request.body))

    def _replace(
        self, kind: str, name: str, part: str, held: dict[str, Any], document: dict[str, Any]
    ) -> Response:
        expected = document.get("metadata", {}).get("revision")
        if expected and expected != held["metadata"]["revision"]:
            return json_response(409, held)
        spec = held["spec"] if part == "status" else document.get("spec")
        status = document.get("status") if part == "status" else held["status"]
        if (spec, status) == (held["spec"], held["status"]):
            return json_response(200, held)
        return json_response(200, self._commit(kind, name, spec, status))

    def _commit(self, kind: str, name: str, spec: Any, status: Any) -> dict[str, Any]:
        self._revision += 1
        metadata = {
            "name": name,
            "revision": self._revision,
            "made": self._revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self._objects.setdefault(kind, {})[name] = stored
        self._note(_Change(self._revision, kind, stored, gone=False))
        return stored

    def _note(self, change: _Change) -> None:
        self._history.append(change)
        name = change.object["metadata"]["name"]
        done = StoreChange(name, change.gone, time.monotonic())
        self._changes.setdefault(change.kind, []).append(done)
        self._changed.notify_all()

    def _wait_until(self, condition) -> None:
        with self._changed:
            while not condition() and not self._stopping:
                self._changed.wait(0.02)
