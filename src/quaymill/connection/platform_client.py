"""Client for the platform's object API: typed results, compare-and-swap and watches.

After ``PlatformUnavailable`` with ``may_have_acted`` a change may have taken effect although no
answer was received; the caller must read the object to find out.
"""

from __future__ import annotations

import http.client
import time
from collections.abc import Iterator
from typing import Any

import msgspec
import urllib3

from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.platform_objects import (
    AlreadyExists,
    Bookmark,
    Conflict,
    Gone,
    NotFound,
    ObjectChanged,
    ObjectDeleted,
    ObjectList,
    PlatformObject,
    PlatformUnavailable,
    Refused,
    WatchEnded,
)
from quaymill.connection.strict_http import StrictHTTPConnection

API_PATH = "/apis/quaymill.io/v1"
API_VERSION = "quaymill.io/v1"
CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 3.0
WATCH_READ_MARGIN_S = 1.0
MAX_CONNECTIONS = 8
READ_BLOCK_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 64 * 1024 * 1024

# A platform that does not support this format returns the whole object, which is also accepted.
METADATA_ONLY = "application/json;as=PartialObjectMetadata;g=meta.k8s.io;v=v1,application/json"

CONFIGURATIONS = "servingconfigurations"
CONFIGURATION_NAME = "serving"
STATUSES = "servingstatuses"
STATUS_NAME = "serving"
STATUS_LEASES = "statusleases"
STATUS_LEASE_NAME = "writer"
STORE_GROUPS = "storegroups"
MACHINES = "machines"

KINDS = {
    CONFIGURATIONS: "ServingConfiguration",
    STATUSES: "ServingStatus",
    STATUS_LEASES: "StatusLease",
    STORE_GROUPS: "StoreGroup",
    MACHINES: "Machine",
}


WatchEvent = ObjectChanged | ObjectDeleted | Bookmark | Gone | WatchEnded
GetResult = PlatformObject | NotFound | Refused | PlatformUnavailable
ListResult = ObjectList | Refused | PlatformUnavailable
CreateResult = PlatformObject | AlreadyExists | Refused | PlatformUnavailable
ReplaceResult = PlatformObject | Conflict | NotFound | Refused | PlatformUnavailable


class _Metadata(msgspec.Struct):
    name: str = ""
    resourceVersion: str = ""  # noqa: N815 - the platform's spelling


class _Document(msgspec.Struct):
    metadata: _Metadata = msgspec.field(default_factory=_Metadata)
    spec: msgspec.Raw = msgspec.Raw(b"{}")
    reason: str = ""
    message: str = ""
    code: int = 0

    def as_object(self) -> PlatformObject:
        return PlatformObject(
            self.metadata.name, self.metadata.resourceVersion, msgspec.Raw(bytes(self.spec))
        )


class _ListDocument(msgspec.Struct):
    metadata: _Metadata = msgspec.field(default_factory=_Metadata)
    items: list[_Document] = []


class _WatchLine(msgspec.Struct):
    type: str
    object: _Document = msgspec.field(default_factory=_Document)


class _Answer(msgspec.Struct):
    status: int
    body: bytes


class _DeadlineConnection(StrictHTTPConnection):
    """A connection whose time-out bounds the whole answer, and not only each read of it."""

    def getresponse(self) -> urllib3.BaseHTTPResponse:
        """Read the head of the answer."""
        self.read_bounds.end_after(self.timeout)
        return super().getresponse()


class PlatformClient:
    """Reads, writes and watches objects of the platform over a few reused connections.

    Parameters
    ----------
    endpoint
        Address of the platform.
    link_filter
        Filter for fault tests; a blocked endpoint is treated as unreachable.
    """

    def __init__(self, endpoint: Endpoint, link_filter: LinkFilter | None = None) -> None:
        self.endpoint = endpoint
        self._link_filter = link_filter or LinkFilter()
        self._pool = urllib3.HTTPConnectionPool(
            endpoint.host, endpoint.port, maxsize=MAX_CONNECTIONS, retries=False
        )
        self._pool.ConnectionCls = _DeadlineConnection

    def get(self, plural: str, name: str, timeout_s: float = REQUEST_TIMEOUT_S) -> GetResult:
        """Read one object."""
        answer = self._request("GET", f"/{plural}/{name}", None, timeout_s)
        if isinstance(answer, PlatformUnavailable):
            return answer
        if answer.status == http.HTTPStatus.NOT_FOUND:
            return NotFound(name)
        return _object_or_refusal(answer)

    def get_version(
        self, plural: str, name: str, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> str | NotFound | Refused | PlatformUnavailable:
        """Read the resource version of one object, without its content if possible."""
        answer = self._request("GET", f"/{plural}/{name}", None, timeout_s, METADATA_ONLY)
        if isinstance(answer, PlatformUnavailable):
            return answer
        if answer.status == http.HTTPStatus.NOT_FOUND:
            return NotFound(name)
        result = _object_or_refusal(answer)
        return result.resource_version if isinstance(result, PlatformObject) else result

    def list_objects(self, plural: str, timeout_s: float = REQUEST_TIMEOUT_S) -> ListResult:
        """Read all objects of a resource type, and the version to watch from."""
        answer = self._request("GET", f"/{plural}", None, timeout_s)
        if isinstance(answer, PlatformUnavailable):
            return answer
        if answer.status != http.HTTPStatus.OK:
            return _refusal(answer)
        try:
            document = msgspec.json.decode(answer.body, type=_ListDocument)
        except msgspec.MsgspecError as error:
            return PlatformUnavailable(f"invalid answer: {error}", may_have_acted=False)
        return ObjectList(
            document.metadata.resourceVersion, tuple(item.as_object() for item in document.items)
        )

    def create(
        self, plural: str, name: str, spec: Any, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> CreateResult:
        """Create an object unless one of that name exists."""
        body = _encode(plural, name, "", spec)
        answer = self._request("POST", f"/{plural}", body, timeout_s)
        if isinstance(answer, PlatformUnavailable):
            return answer
        if answer.status == http.HTTPStatus.CONFLICT:
            return AlreadyExists(name)
        return _object_or_refusal(answer)

    def replace(
        self,
        plural: str,
        name: str,
        spec: Any,
        resource_version: str,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> ReplaceResult:
        """Replace an object if ``resource_version`` is still the current one."""
        body = _encode(plural, name, resource_version, spec)
        answer = self._request("PUT", f"/{plural}/{name}", body, timeout_s)
        if isinstance(answer, PlatformUnavailable):
            return answer
        if answer.status == http.HTTPStatus.NOT_FOUND:
            return NotFound(name)
        if answer.status == http.HTTPStatus.CONFLICT:
            return Conflict(name, _decode(answer).message)
        return _object_or_refusal(answer)

    def watch(
        self, plural: str, resource_version: str, timeout_s: float = 30.0
    ) -> Iterator[WatchEvent]:
        """Yield changes after ``resource_version``; the last event is ``Gone`` or ``WatchEnded``.

        The platform is asked to end the watch after ``timeout_s``. A watch that sends nothing for
        longer than that ends with ``WatchEnded.silent`` set; the caller must then list again.
        """
        if self._link_filter.blocks(self.endpoint):
            yield WatchEnded("blocked by the link filter", silent=True)
            return
        try:
            response = self._pool.request(
                "GET",
                f"{API_PATH}/{plural}?watch=true&resourceVersion={resource_version}"
                f"&timeoutSeconds={max(int(timeout_s), 1)}",
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=timeout_s + WATCH_READ_MARGIN_S
                ),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            yield WatchEnded(f"cannot watch: {error}", silent=True)
            return
        try:
            yield from self._read_watch(response)
        finally:
            response.close()  # Never reused: the connection may hold unread events.

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _read_watch(self, response: urllib3.BaseHTTPResponse) -> Iterator[WatchEvent]:
        if response.status == http.HTTPStatus.GONE:
            yield Gone()
            return
        if response.status != http.HTTPStatus.OK:
            yield WatchEnded(f"the platform answered {response.status}", silent=True)
            return
        try:
            for line in _lines(response):
                if self._link_filter.blocks(self.endpoint):
                    yield WatchEnded("the link to the platform was blocked", silent=True)
                    return
                event = _watch_event(msgspec.json.decode(line, type=_WatchLine))
                yield event
                if isinstance(event, Gone | WatchEnded):
                    return
        except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError) as error:
            yield WatchEnded(f"the watch failed: {error}", silent=True)
            return
        yield WatchEnded("the platform ended the watch", silent=False)

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        accept: str = "application/json",
    ) -> _Answer | PlatformUnavailable:
        if self._link_filter.blocks(self.endpoint):
            time.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            return PlatformUnavailable("blocked by the link filter", may_have_acted=False)
        try:
            response = self._pool.request(
                method,
                API_PATH + path,
                body=body,
                headers={"Content-Type": "application/json", "Accept": accept},
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
                preload_content=False,
            )
            content = _read_content(response)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return PlatformUnavailable(f"cannot connect: {error}", may_have_acted=False)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return PlatformUnavailable(f"no answer: {error}", may_have_acted=method != "GET")
        if response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return PlatformUnavailable(
                f"the platform answered {response.status}", may_have_acted=method != "GET"
            )
        return _Answer(response.status, content)


def _encode(plural: str, name: str, resource_version: str, spec: Any) -> bytes:
    metadata = {"name": name}
    if resource_version:
        metadata["resourceVersion"] = resource_version
    return msgspec.json.encode(
        {
            "apiVersion": API_VERSION,
            "kind": KINDS.get(plural, plural),
            "metadata": metadata,
            "spec": spec,
        }
    )


def _decode(answer: _Answer) -> _Document:
    try:
        return msgspec.json.decode(answer.body, type=_Document)
    except msgspec.MsgspecError:
        return _Document(message=answer.body[:200].decode(errors="replace"))


def _refusal(answer: _Answer) -> Refused:
    return Refused(answer.status, _decode(answer).message)


def _object_or_refusal(answer: _Answer) -> PlatformObject | Refused | PlatformUnavailable:
    if answer.status not in (http.HTTPStatus.OK, http.HTTPStatus.CREATED):
        return _refusal(answer)
    try:
        return msgspec.json.decode(answer.body, type=_Document).as_object()
    except msgspec.MsgspecError as error:
        return PlatformUnavailable(f"invalid answer: {error}", may_have_acted=True)


def _watch_event(line: _WatchLine) -> WatchEvent:
    match line.type:
        case "ADDED" | "MODIFIED":
            return ObjectChanged(line.object.as_object())
        case "DELETED":
            return ObjectDeleted(line.object.as_object())
        case "BOOKMARK":
            return Bookmark(line.object.metadata.resourceVersion)
        case "ERROR" if line.object.code == http.HTTPStatus.GONE:
            return Gone()
    return WatchEnded(f"{line.type}: {line.object.message}", silent=True)


def _read_content(response: urllib3.BaseHTTPResponse) -> bytes:
    """Read the whole body; raises ``ProtocolError`` if it is too long."""
    content = bytearray()
    while block := response.read1(READ_BLOCK_BYTES):
        content += block
        if len(content) > MAX_ANSWER_BYTES:
            response.close()
            raise urllib3.exceptions.ProtocolError(
                f"the body of the answer is longer than {MAX_ANSWER_BYTES} bytes"
            )
    response.release_conn()
    return bytes(content)


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the lines of the body as they arrive; raises ``ProtocolError`` if one is too long."""
    partial = bytearray()
    while block := response.read1(READ_BLOCK_BYTES):
        searched_bytes = len(partial)
        partial += block
        end = partial.rfind(b"\n", searched_bytes) + 1
        if end:
            lines = bytes(partial[:end]).split(b"\n")
            del partial[:end]
            yield from (line for line in lines if line.strip())
        if len(partial) > MAX_ANSWER_BYTES:
            raise urllib3.exceptions.ProtocolError(
                f"a line of the watch is longer than {MAX_ANSWER_BYTES} bytes"
            )
