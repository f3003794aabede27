"""Stand-in for the platform's object API: Kubernetes-style REST with watches."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from quaymill_standins.faults import Faults, FaultSwitches, RequestFaults
from quaymill_standins.http_support import (
    DEFAULT_THREADS,
    Answer,
    ClientConnection,
    Request,
    Response,
    StandinServer,
    StreamedResponse,
    dispatch,
    error_response,
    json_response,
)
from quaymill_standins.object_store import (
    KINDS,
    Change,
    Object,
    ObjectStore,
    Refusal,
    object_name,
)

API_ROOT = "/apis/quaymill.io/v1/"
DEFAULT_WATCH_TIMEOUT_S = 60.0
WATCH_CHECK_INTERVAL_S = 0.05
METADATA_ONLY = "as=PartialObjectMetadata;"
DEFAULT_SNAPSHOT = "latest"
BAD_SNAPSHOT_NAME = error_response(400, 'the body is not {"name": ".."}', "invalid_request_error")


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings of the platform.

    Attributes
    ----------
    machine_lag_s
        Seconds by which lists and watches of machines are late.
    history_limit
        Changes that a watch can go back.
    bookmark_interval_s
        Seconds between bookmarks of a watch.
    """

    address: str = "127.0.0.1"
    port: int = 0
    machine_lag_s: float = 1.0
    history_limit: int = 1000
    bookmark_interval_s: float = 5.0
    faults: Faults = Faults()


class SnapshotName(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/snapshot`` and ``POST /standin/restore``."""

    name: str = DEFAULT_SNAPSHOT


class WatchQuery(msgspec.Struct, frozen=True):
    """What a watch asks for; version 0 asks for the objects as they are first."""

    version: int
    timeout_s: float


class Platform:
    """A running platform stand-in."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self.switches = FaultSwitches(settings.faults)
        self._store = ObjectStore(settings.history_limit, {"machines": settings.machine_lag_s})
        self._snapshots: dict[str, ObjectStore] = {}
        self._lock = threading.Lock()
        self._requests: Counter[str] = Counter()
        self._open_watches = 0
        self._server = StandinServer(
            settings.address,
            settings.port,
            self.switches,
            handle_data=self._handle_data,
            handle_control=self._handle_control,
            is_control=lambda path: not path.startswith(API_ROOT),
            threads=DEFAULT_THREADS,
        )

    @property
    def port(self) -> int:
        """The port in use."""
        return self._server.port

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def stop(self) -> None:
        """Close all connections and stop."""
        self._server.stop()

    def _handle_data(self, request: Request, faults: RequestFaults) -> Answer:
        """Answer one request to the object API."""
        plural, _, name = request.path.removeprefix(API_ROOT).partition("/")
        if plural not in KINDS:
            return _status(Refusal(404, "NotFound", f"no kind {plural!r} here"))
        watching = request.method == "GET" and request.query.get("watch") == "true"
        self._count("WATCH" if watching else request.method, plural)
        if watching:
            return self._watch(request, plural, faults)
        if request.method == "GET":
            return self._read(plural, name, METADATA_ONLY in request.header("Accept"))
        return self._write(request, plural, name)

    def _read(self, plural: str, name: str, metadata_only: bool) -> Response:
        if name:
            found = self._store.get(plural, name)
            if metadata_only and not isinstance(found, Refusal):
                found = {"kind": "PartialObjectMetadata", "metadata": found["metadata"]}
            return _answer(200, found)
        listing = self._store.list_objects(plural)
        content = {
            "kind": "List",
            "apiVersion": "v1",
            "metadata": {"resourceVersion": str(listing.version)},
            "items": list(listing.objects.values()),
        }
        return json_response(200, content)

    def _write(self, request: Request, plural: str, name: str) -> Response:
        if request.method == "DELETE" and name:
            removed = self._store.delete(plural, name)
            if isinstance(removed, Refusal):
                return _status(removed)
            return json_response(200, {"kind": "Status", "status": "Success"})
        content = _decode_object(request.body, name)
        if isinstance(content, Refusal):
            return _status(content)
        if request.method == "POST" and not name:
            return _answer(201, self._store.create(plural, content))
        if request.method == "PUT" and name:
            return _answer(200, self._store.replace(plural, name, content))
        return _status(Refusal(405, "MethodNotAllowed", f"no {request.method} on {request.path}"))

    def _watch(self, request: Request, plural: str, faults: RequestFaults) -> Answer:
        """Stream the changes after a version, or refuse a version that is gone."""
        epoch = self._store.epoch()
        query = _read_watch_query(request.query)
        if isinstance(query, Refusal):
            return _status(query)
        initial: list[bytes] = []
        version = query.version
        if version == 0:
            listing = self._store.list_objects(plural)
            initial = [_event("ADDED", found) for found in listing.objects.values()]
            version = listing.version
        first = self._store.changes_after(plural, version, epoch, 0.0)
        if isinstance(first, Refusal):
            return _status(first)
        if faults.truncate:
            self.switches.count("truncate")

        def produce(connection: ClientConnection) -> None:
            stream = _WatchStream(connection, cut=faults.truncate)
            self._count_watches(1)
            try:
                for line in initial:
                    stream.send(line)
                self._stream_changes(stream, plural, version, epoch, query.timeout_s)
            finally:
                self._count_watches(-1)

        return StreamedResponse(200, (("Content-Type", "application/json"),), produce)

    def _stream_changes(
        self, stream: _WatchStream, plural: str, version: int, epoch: int, timeout_s: float
    ) -> None:
        """Send changes until the time is over, the client leaves or the version is gone."""
        deadline_s = time.monotonic() + timeout_s
        bookmark_s = time.monotonic() + self._settings.bookmark_interval_s
        while stream.is_open():
            if self._is_silent():
                if self.switches.wait(WATCH_CHECK_INTERVAL_S):
                    return
                continue
            if time.monotonic() >= deadline_s:
                return
            changes = self._store.changes_after(plural, version, epoch, WATCH_CHECK_INTERVAL_S)
            if self._is_silent():
                continue
            if isinstance(changes, Refusal):
                stream.send(_event("ERROR", _status_object(changes)))
                return
            for change in changes:
                stream.send(_change_event(change))
                version = change.version
            if time.monotonic() >= bookmark_s:
                bookmark_s += self._settings.bookmark_interval_s
                stream.send(_event("BOOKMARK", _bookmark(plural, version)))

    def _is_silent(self) -> bool:
        faults = self.switches.current()
        return faults.watch_silent or faults.freeze

    def _count_watches(self, change: int) -> None:
        with self._lock:
            self._open_watches += change

    def _count(self, verb: str, plural: str) -> None:
        with self._lock:
            self._requests[f"{verb} {plural}"] += 1

    def _handle_control(self, request: Request) -> Response:
        """Answer a request that is never faulted."""
        handlers: dict[tuple[str, str], Callable[[Request], Response]] = {
            ("GET", "/standin/state"): self._state,
            ("POST", "/standin/snapshot"): self._snapshot,
            ("POST", "/standin/restore"): self._restore,
            ("POST", "/standin/forget-history"): self._forget_history,
        }
        return dispatch(handlers, request)

    def _state(self, _request: Request) -> Response:
        with self._lock:
            requests = dict(self._requests)
            open_watches = self._open_watches
        content = {
            "objects": self._store.state(),
            "requests": requests,
            "open_watches": open_watches,
        }
        return json_response(200, content)

    def _snapshot(self, request: Request) -> Response:
        name = _snapshot_name(request)
        if name is None:
            return BAD_SNAPSHOT_NAME
        self._snapshots[name] = self._store.snapshot()
        return json_response(200, {"snapshot": name})

    def _restore(self, request: Request) -> Response:
        name = _snapshot_name(request)
        if name is None:
            return BAD_SNAPSHOT_NAME
        saved = self._snapshots.get(name)
        if saved is None:
            message = f"no snapshot {name!r}; take it by POST /standin/snapshot"
            return error_response(404, message, "invalid_request_error")
        version = self._store.restore(saved)
        return json_response(200, {"snapshot": name, "resourceVersion": str(version)})

    def _forget_history(self, _request: Request) -> Response:
        self._store.forget_history()
        return json_response(200, {})


class _WatchStream:
    """Lines of one watch; with ``cut`` the connection closes in the middle of the first."""

    def __init__(self, connection: ClientConnection, cut: bool) -> None:
        self._connection = connection
        self._cut = cut

    def is_open(self) -> bool:
        """Return whether the client still listens."""
        return not self._connection.is_closed_by_peer()

    def send(self, line: bytes) -> None:
        """Send one line at once."""
        if self._cut:
            self._connection.send(line[: len(line) // 2])
            self._connection.abort()
        else:
            self._connection.send(line)


def _read_watch_query(query: dict[str, str]) -> WatchQuery | Refusal:
    try:
        return WatchQuery(
            version=int(query.get("resourceVersion", "0")),
            timeout_s=float(query.get("timeoutSeconds", DEFAULT_WATCH_TIMEOUT_S)),
        )
    except ValueError as error:
        return Refusal(400, "BadRequest", f"resourceVersion or timeoutSeconds: {error}")


def _snapshot_name(request: Request) -> str | None:
    """Return the name in the body, or ``None`` if the body is malformed."""
    try:
        return msgspec.json.decode(request.body or b"{}", type=SnapshotName).name
    except msgspec.DecodeError:
        return None


def _decode_object(body: bytes, name: str) -> Object | Refusal:
    """Read an object and check that it has a name, and the one in the path if any."""
    try:
        content = msgspec.json.decode(body, type=dict)
    except msgspec.DecodeError as error:
        return Refusal(400, "BadRequest", f"not a JSON object: {error}")
    metadata = content.get("metadata")
    if not isinstance(metadata, dict) or not metadata.get("name"):
        return Refusal(422, "Invalid", "metadata.name is missing")
    if name and object_name(content) != name:
        return Refusal(400, "BadRequest", f"metadata.name is not {name!r}")
    return content


def _answer(status: int, result: Object | Refusal) -> Response:
    if isinstance(result, Refusal):
        return _status(result)
    return json_response(status, result)


def _status(refusal: Refusal) -> Response:
    return json_response(refusal.code, _status_object(refusal))


def _status_object(refusal: Refusal) -> Object:
    return {
        "kind": "Status",
        "apiVersion": "v1",
        "status": "Failure",
        "reason": refusal.reason,
        "message": refusal.message,
        "code": refusal.code,
    }


def _bookmark(plural: str, version: int) -> Object:
    return {"kind": KINDS[plural], "metadata": {"resourceVersion": str(version)}}


def _change_event(change: Change) -> bytes:
    return _event(change.type, change.object)


def _event(kind: str, content: Object) -> bytes:
    return msgspec.json.encode({"type": kind, "object": content}) + b"\n"
