"""Stand-in for one replica of the users' platform: answers opaque requests, keeps a journal.

A request for tokens is answered by a stream of numbered events whose data depends on the
request's id and the replica's software version, so that a stream taken up by another replica of
that version goes on with the same text, and one of another version can be told apart.

It may be cold for a time: it says so in its entry and in health answers, takes longer for each
answer, and refuses requests above a rate. The journal holds the arrival of each request, also of
those that it refuses.
"""

from __future__ import annotations

import math
import threading
import time
from collections import deque
from collections.abc import Callable

import msgspec

from quaymill_standins.faults import Faults, FaultSwitches, RequestFaults
from quaymill_standins.http_support import (
    CLOSED,
    Answer,
    ClientConnection,
    Request,
    Response,
    StandinServer,
    StreamedResponse,
    json_response,
)

THREADS = 96
REPORT_PATH = "/v1/report"
HEALTH_PATH = "/health"
COLD_WINDOW_S = 1.0
"""Time over which the requests to a cold replica are counted."""
WAIT_STEP_S = 0.005
FIRST_VERSION = "v1"


class EndlessForm(msgspec.Struct, frozen=True):
    """An answer that never ends: ``repeated`` follows again and again.

    Attributes
    ----------
    headers
        Header lines of a complete head before ``start``; ``None`` if the head never ends.
    """

    repeated: bytes
    start: bytes = b""
    headers: bytes | None = None


_CHUNKED_HEADER = b"Transfer-Encoding: chunked\r\n"
_EVENTS_HEADER = b"Content-Type: text/event-stream\r\n"
SURPLUS = "bytes after the answer"
ENDLESS_FORMS = {
    "interim answers": EndlessForm(b"HTTP/1.1 100 Continue\r\n\r\n"),
    "status line": EndlessForm(b"x", b"HTTP/1.1 200 "),
    "header": EndlessForm(b"x", b"HTTP/1.1 200 OK\r\nX: "),
    "chunk extension": EndlessForm(b"x", b"4\r\nbody\r\n4;x=", _CHUNKED_HEADER),
    "trailers": EndlessForm(b"X: x\r\n", b"4\r\nbody\r\n0\r\n", _CHUNKED_HEADER),
    "event": EndlessForm(b"data: x\n", b"", _EVENTS_HEADER),
    "comments": EndlessForm(b": x\n", b"", _EVENTS_HEADER),
    SURPLUS: EndlessForm(b"x"),
}
ENDLESS_BLOCK_BYTES = 8192
ENDLESS_BLOCK_INTERVAL_S = 0.001


class ReplicaBehaviour(msgspec.Struct, frozen=True):
    """How the replica serves.

    Attributes
    ----------
    events, event_s
        Length of a stream, and the time each event takes.
    answer_s
        Time that a whole answer takes.
    shed
        Everything is refused as not executed.
    cut_at_event
        The connection is closed in the middle of this event.
    end_after_event
        The connection is closed after this event, and further ones are missing; 0 for none.
    end_inside_event
        The stream ends in the middle of this event, as if it were complete; 0 for none.
    cut_body
        The connection is closed in the middle of a whole answer.
    unframed
        Answers have neither a length nor chunks, and end with their connection.
    resets
        An answer that is cut ends with a reset of its connection instead of its close.
    stall_at_event
        Nothing comes from this event on.
    break_off
        The connection is closed before any answer.
    foreign_id
        The answer carries another request's id.
    status
        Answered instead of 200, by the end of the request's path.
    waiting
        What the report says of requests that wait, beside the true ones.
    crash_suffix
        The replica ends as it begins to run a request whose path ends so; none if empty.
    crash_part
        The replica ends as it begins to write an answer to a request whose prompt has this part,
        other than as its last one; none if empty.
    cold_extra_s
        Additional time of each event and of each whole answer while the replica is cold.
    cold_most_per_s
        Requests in any second above which a cold replica refuses; 0 for no bound.
    pause_in_body_s
        Time between the two halves of a whole answer without framing.
    endless
        Form of ``ENDLESS_FORMS`` in which an answer never ends; none if empty.
    endless_interval_s
        Time between two bytes of such an answer; 0 for some megabytes a second.
    """

    events: int = 3
    event_s: float = 0.01
    answer_s: float = 0.0
    shed: bool = False
    cut_at_event: int = 0
    end_after_event: int = 0
    end_inside_event: int = 0
    cut_body: bool = False
    unframed: bool = False
    resets: bool = False
    stall_at_event: int = 0
    break_off: bool = False
    foreign_id: bool = False
    status_by_suffix: dict[str, int] = {}
    waiting: int = 0
    crash_suffix: str = ""
    crash_part: str = ""
    cold_extra_s: float = 0.0
    cold_most_per_s: float = 0.0
    pause_in_body_s: float = 0.0
    endless: str = ""
    endless_interval_s: float = 0.0


class ReplicaRun(msgspec.Struct):
    """One request that was run.

    Attributes
    ----------
    finished
        Whether it ran to its end; false while it runs and when it was cut.
    crashed
        Whether the replica ended at it.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    started_s: float
    after_event: int = 0
    events_made: int = 0
    finished: bool = False
    cancelled: bool = False
    crashed: bool = False


class Arrival(msgspec.Struct, frozen=True):
    """One request that reached the replica and was meant for it.

    Attributes
    ----------
    at_s
        Monotonic time.
    sender
        Address that it came from.
    cold
        Whether the replica was cold.
    """

    request_id: str
    at_s: float
    sender: str
    cold: bool


class FleetReplica:
    """A running replica.

    Attributes
    ----------
    runs
        Everything that was run, in order.
    arrivals
        Every request that came, in order; health checks and requests for another replica don't
        count.
    crashed
        Whether a request has ended it.

    Parameters
    ----------
    on_crash
        Called with the replica once it has ended.
    port
        Where to listen; 0 for any free one.
    cold_s
        How long the replica is cold from its start.
    version
        Version of its software.
    """

    def __init__(
        self,
        replica_id: str,
        service: str,
        zone: str,
        slots: int = 4,
        address: str = "127.0.0.1",
        on_crash: Callable[[FleetReplica], None] = lambda replica: None,
        port: int = 0,
        cold_s: float = 0.0,
        version: str = FIRST_VERSION,
    ) -> None:
        self.id = replica_id
        self.version = version
        self.started_ms = time.time_ns() // 1_000_000
        self.service = service
        self.zone = zone
        self.slots = slots
        self.address = address
        self.behaviour = ReplicaBehaviour()
        self.runs: list[ReplicaRun] = []
        self.arrivals: list[Arrival] = []
        self.probes = 0
        self.crashed = False
        self._on_crash = on_crash
        self._cold_s = cold_s
        self._cold_until = 0.0
        self._recent: deque[float] = deque()
        self._running = 0
        self._lock = threading.Lock()
        self._stopping = False
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

    @property
    def running(self) -> int:
        """Requests in service."""
        return self._running

    def start(self) -> None:
        """Start to serve, cold if so made."""
        self.become_cold(self._cold_s)
        self._server.start()

    def stop(self) -> None:
        """End what runs, and stop."""
        self._stopping = True
        self._server.stop()

    def become_cold(self, for_s: float) -> None:
        """Be cold from now on for so long; 0 makes the replica warm."""
        self._cold_until = time.monotonic() + for_s

    @property
    def cold_left_ms(self) -> int:
        """How much longer the replica is cold; 0 once it is warm."""
        return math.ceil(1000 * max(0.0, self._cold_until - time.monotonic()))

    def entry(self, state: str = "ready", seq: int = 1) -> dict[str, object]:
        """Return what the replica writes into the platform's store."""
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": self.cold_left_ms,
            "seq": seq,
            "born": self.started_ms,
        }

    def runs_of(self, request_id: str) -> list[ReplicaRun]:
        """Return the runs of one request."""
        return [run for run in self.runs if run.request_id == request_id]

    def _handle(self, request: Request, faults: RequestFaults) -> Answer:
        cold_left = (("Cold-Ms", str(self.cold_left_ms)),)
        if request.path == HEALTH_PATH:
            return Response(200, b"", cold_left)
        if request.path == REPORT_PATH:
            self.probes += 1
            report = {"waiting": self.behaviour.waiting, "running": self._running}
            memory = {"kv_used": 0, "kv_total": 100_000}
            return json_response(200, report | memory | {"born": self.started_ms}, cold_left)
        if request.header("Expect-Instance") not in ("", self.id):
            return Response(421, b"", (("Instance-Id", self.id),))
        if not self._admit(request) or self.behaviour.shed:
            return Response(503, b"", (("Not-Executed", "1"),))
        return self._run(request)

    def _admit(self, request: Request) -> bool:
        """Note a request's arrival; return false if a cold replica must refuse it."""
        most = self.behaviour.cold_most_per_s
        sender = str(request.environ.get("REMOTE_ADDR", ""))
        with self._lock:
            now = time.monotonic()
            cold = now < self._cold_until
            self.arrivals.append(Arrival(request.header("Request-Id"), now, sender, cold))
            self._recent.append(now)
            while self._recent[0] <= now - COLD_WINDOW_S:
                self._recent.popleft()
            return not cold or not most or len(self._recent) <= most

    def _cold_extra_s(self) -> float:
        """Return the time that an answer or an event takes longer now."""
        return self.behaviour.cold_extra_s if time.monotonic() < self._cold_until else 0.0

    def _run(self, request: Request) -> Answer:
        behaviour = self.behaviour
        if behaviour.unframed:
            request.connection.omit_framing()
        run = ReplicaRun(
            request.header("Request-Id"),
            request.method,
            _target(request),
            _headers(request),
            request.body,
            time.monotonic(),
            int(request.header("Last-Event-Id") or 0),
        )
        with self._lock:
            self.runs.append(run)
        if behaviour.break_off:
            return CLOSED
        is_stream = bool(request.header("Token-Count"))
        if behaviour.endless and not (is_stream and behaviour.endless == SURPLUS):
            return self._send_endless(run, request.connection, behaviour)
        if _crashes(behaviour, request):
            return self._crash_at(run, request)
        for suffix, status in behaviour.status_by_suffix.items():
            if request.path.endswith(suffix):
                run.finished = True
                return Response(status, b"no", self._head(run))
        if not is_stream:
            return self._whole(run, request)
        return StreamedResponse(
            200,
            (*self._head(run), ("Content-Type", "text/event-stream")),
            lambda connection: self._stream(run, connection, behaviour),
        )

    def _crash_at(self, run: ReplicaRun, request: Request) -> Answer:
        """End as a run begins: of a stream the head goes out, and nothing else."""
        run.crashed = True
        if not request.header("Token-Count"):
            self.crash()
            return CLOSED
        headers = (*self._head(run), ("Content-Type", "text/event-stream"))
        return StreamedResponse(200, headers, lambda connection: self.crash())

    def crash(self) -> None:
        """End at once, as a process that is killed."""
        with self._lock:
            if self.crashed:
                return
            self.crashed = True
        self._stopping = True
        self._server.crash()
        self._on_crash(self)

    def has_ended(self) -> bool:
        """Return whether a crash has freed the port."""
        return self._server.has_ended()

    def _send_endless(
        self, run: ReplicaRun, connection: ClientConnection, behaviour: ReplicaBehaviour
    ) -> Answer:
        """Send an answer without end, until the gateway closes the connection."""
        form = ENDLESS_FORMS[behaviour.endless]
        start = form.start
        if behaviour.endless == SURPLUS:
            body = b"answer to " + run.request_id.encode()
            start = self._raw_head(run, f"Content-Length: {len(body)}\r\n".encode()) + body
        elif form.headers is not None:
            start = self._raw_head(run, form.headers) + start
        block, interval_s = form.repeated[:1], behaviour.endless_interval_s
        if not interval_s:
            block = form.repeated * (ENDLESS_BLOCK_BYTES // len(form.repeated))
            interval_s = ENDLESS_BLOCK_INTERVAL_S
        self._count(1)
        try:
            connection.send_raw(start)
            while self._pause(interval_s, connection.is_closed_by_peer):
                connection.send_raw(block)
        except OSError:
            pass  # The gateway has closed the connection.
        finally:
            self._count(-1)
        run.cancelled = True
        return CLOSED

    def _whole(self, run: ReplicaRun, request: Request) -> Answer:
        self._count(1)
        try:
            answer_s = self.behaviour.answer_s + self._cold_extra_s()
            if not self._pause(answer_s, request.connection.is_closed_by_peer):
                run.cancelled = True
                return CLOSED
        finally:
            self._count(-1)
        body = b"answer to " + run.request_id.encode()
        behaviour = self.behaviour
        if behaviour.cut_body or behaviour.unframed:
            head = self._head(run)
            if not behaviour.unframed:
                head += (("Content-Length", str(len(body))),)
            return StreamedResponse(
                200, head, lambda connection: _send_body(run, connection, body, behaviour)
            )
        run.finished = True
        return Response(200, body, self._head(run))

    def _stream(
        self, run: ReplicaRun, connection: ClientConnection, behaviour: ReplicaBehaviour
    ) -> None:
        self._count(1)
        try:
            for number in range(run.after_event + 1, behaviour.events + 1):
                pause_s = behaviour.event_s + self._cold_extra_s()
                if number == behaviour.stall_at_event:
                    pause_s = 3600.0
                if not self._pause(pause_s, connection.is_closed_by_peer):
                    run.cancelled = True
                    connection.break_off()
                    return
                event = event_bytes(run.request_id, number, self.version)
                if number == behaviour.cut_at_event:
                    connection.send(event[: len(event) // 2])
                    _break_off(connection, behaviour)
                    return
                if number == behaviour.end_inside_event:
                    connection.send(event[: len(event) // 2])
                    return
                connection.send(event)
                run.events_made = number
                if number == behaviour.end_after_event:
                    _break_off(connection, behaviour)
                    return
            run.finished = True
        except OSError:
            run.cancelled = True
            connection.break_off()
        finally:
            self._count(-1)

    def _head(self, run: ReplicaRun) -> tuple[tuple[str, str], ...]:
        request_id = "another-request" if self.behaviour.foreign_id else run.request_id
        return (
            ("Request-Id", request_id),
            ("Response-Seal", f"seal-{self.id}"),
            ("Server-Load", f"{self._running},0,{self.slots}"),
        )

    def _raw_head(self, run: ReplicaRun, framing: bytes) -> bytes:
        """Return the head of an answer as it is sent."""
        own = "".join(f"{name}: {value}\r\n" for name, value in self._head(run))
        return b"HTTP/1.1 200 OK\r\n" + own.encode() + framing + b"\r\n"

    def _count(self, change: int) -> None:
        with self._lock:
            self._running += change

    def _pause(self, seconds: float, gone: Callable[[], bool]) -> bool:
        """Wait; return false as soon as the caller is gone or the replica stops."""
        deadline = time.monotonic() + seconds
        while not self._stopping and not gone():
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return True
            time.sleep(min(WAIT_STEP_S, remaining_s))
        return False


def _send_body(
    run: ReplicaRun, connection: ClientConnection, body: bytes, behaviour: ReplicaBehaviour
) -> None:
    if behaviour.cut_body:
        connection.send(body[: len(body) // 2])
        _break_off(connection, behaviour)
        return
    if behaviour.pause_in_body_s:
        connection.send(body[: len(body) // 2])
        time.sleep(behaviour.pause_in_body_s)
        body = body[len(body) // 2 :]
    connection.send(body)
    run.finished = True


def _break_off(connection: ClientConnection, behaviour: ReplicaBehaviour) -> None:
    """Close or reset the connection in the middle of an answer."""
    if behaviour.resets:
        connection.reset()
    else:
        connection.abort()


def event_bytes(request_id: str, number: int, version: str = FIRST_VERSION) -> bytes:
    """Return one event of a request's stream, as replicas of a software version write it."""
    return f"id: {number}\ndata: {event_data(request_id, number, version)}\n\n".encode()


def event_data(request_id: str, number: int, version: str = FIRST_VERSION) -> str:
    """Return the data of one event."""
    suffix = "" if version == FIRST_VERSION else f"@{version}"
    return f"{request_id}-{number}{suffix}"


def _crashes(behaviour: ReplicaBehaviour, request: Request) -> bool:
    if behaviour.crash_suffix and request.path.endswith(behaviour.crash_suffix):
        return True
    parts = [part.split(":")[0] for part in request.header("Prompt-Prefix").split(",")]
    return bool(behaviour.crash_part) and behaviour.crash_part in parts[:-1]


def _target(request: Request) -> str:
    query = str(request.environ.get("QUERY_STRING", ""))
    return f"{request.path}?{query}" if query else request.path


def _headers(request: Request) -> dict[str, str]:
    return {
        key[5:].replace("_", "-").lower(): str(value)
        for key, value in request.environ.items()
        if key.startswith("HTTP_")
    }
