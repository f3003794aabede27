"""Stand-in for an application: answers any call and keeps a journal of its runs."""

from __future__ import annotations

import threading
import time
from collections import Counter

import msgspec

from quaymill_standins import text
from quaymill_standins.drain import BAD_DRAIN, read_draining
from quaymill_standins.faults import Faults, FaultSwitches, RequestFaults
from quaymill_standins.http_support import (
    CONTROL_THREADS,
    DEFAULT_THREADS,
    Answer,
    Request,
    Response,
    StandinServer,
    dispatch,
    error_response,
    json_response,
    not_run_response,
)
from quaymill_standins.load_report import Load, LoadReporter

CONTROL_PATHS = ("/load", "/health", "/drain")
CONTROL_PREFIX = "/standin/"
CROSSED_PREFIX = "crossed-"


class ApplicationSettings(msgspec.Struct, frozen=True):
    """Settings of one application.

    Attributes
    ----------
    slots
        Most calls that run at once; further ones wait.
    run_ms
        Time that a call takes, after its effect.
    load_lag_s
        Age of what ``GET /load`` tells.
    """

    name: str = "application"
    zone: str = ""
    service: str = "application"
    address: str = "127.0.0.1"
    port: int = 0
    slots: int = 64
    run_ms: float = 2.0
    load_lag_s: float = 0.2
    faults: Faults = Faults()


class ApplicationRun(msgspec.Struct):
    """What the journal says of one run; ``finished`` turns true when the run is over."""

    key: str
    request_id: str
    method: str
    path: str
    body_digest: str
    started_unix_s: float
    finished: bool = False


class Application:
    """A running application stand-in."""

    def __init__(self, settings: ApplicationSettings) -> None:
        self._settings = settings
        self.switches = FaultSwitches(settings.faults)
        self._reporter = LoadReporter(
            settings.name, settings.slots, settings.load_lag_s, self.switches
        )
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(settings.slots)
        self._journal: list[ApplicationRun] = []
        self._runs_by_key: Counter[str] = Counter()
        self._in_service = 0
        self._draining = False
        self._server = StandinServer(
            settings.address,
            settings.port,
            self.switches,
            handle_data=self._handle_data,
            handle_control=self._handle_control,
            is_control=_is_control,
            threads=max(DEFAULT_THREADS, settings.slots + 2 * CONTROL_THREADS),
            error_after_effect=True,
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
        """Run one call, in a slot."""
        if self._draining:
            return not_run_response("the application is draining; use another replica")
        self._count_in_service(1)
        try:
            with self._slots:
                run, number = self._begin(request)
                self.switches.wait(self._settings.run_ms / 1000.0)
                run.finished = True
        finally:
            self._count_in_service(-1)
        crossed = CROSSED_PREFIX if faults.cross else ""
        if crossed:
            self.switches.count("cross")
        content = {
            "run": number,
            "key": crossed + run.key,
            "body_digest": crossed + run.body_digest,
        }
        return json_response(200, content, (("X-Request-Id", crossed + run.request_id),))

    def _begin(self, request: Request) -> tuple[ApplicationRun, int]:
        """Take effect: write the run into the journal; return it and its number for the key."""
        run = ApplicationRun(
            key=request.header("Idempotency-Key"),
            request_id=request.header("X-Request-Id"),
            method=request.method,
            path=request.path,
            body_digest=text.digest(request.body),
            started_unix_s=time.time(),
        )
        with self._lock:
            self._journal.append(run)
            self._runs_by_key[run.key] += 1
            return run, self._runs_by_key[run.key]

    def _count_in_service(self, change: int) -> None:
        with self._lock:
            self._in_service += change
            self._report()

    def _report(self) -> None:
        running = min(self._in_service, self._settings.slots)
        waiting = self._in_service - running
        self._reporter.update(Load(running=running, waiting=waiting, draining=self._draining))

    def _handle_control(self, request: Request) -> Response:
        """Answer a request that is never faulted."""
        handlers = {
            ("GET", "/load"): self._load,
            ("GET", "/health"): self._health,
            ("POST", "/drain"): self._drain,
            ("GET", "/standin/journal"): self._list_journal,
        }
        return dispatch(handlers, request)

    def _load(self, _request: Request) -> Response:
        report = self._reporter.report()
        if report is None:
            return error_response(503, "the load is not known", "injected")
        return json_response(200, report)

    def _health(self, _request: Request) -> Response:
        return json_response(503 if self._draining else 200, {"draining": self._draining})

    def _drain(self, request: Request) -> Response:
        draining = read_draining(request)
        if draining is None:
            return BAD_DRAIN
        with self._lock:
            self._draining = draining
            self._report()
        return json_response(200, {"draining": draining})

    def _list_journal(self, _request: Request) -> Response:
        with self._lock:
            return json_response(200, {"runs": self._journal})


def _is_control(path: str) -> bool:
    return path in CONTROL_PATHS or path.startswith(CONTROL_PREFIX)
