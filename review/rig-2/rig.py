"""A small fleet on loopback for the cases of this review.

The roles run with the commands of the deploy file, each with settings made from the template
``deploy/node.toml``. The platform's store, the replicas and the clients are stand-ins of this file;
they need the standard library only.
"""

import contextlib
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
ZONES = ("zone-a", "zone-b", "zone-c")
READY_TIMEOUT_S = 25.0
CANNOT_RUN = 2


class CannotRun(Exception):
    """The case could not be played."""


def free_port():
    """Return a port that no process listens on now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._file.flush()


class Store:
    """The platform's store: objects by kind under one revision counter."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 1
        self.objects = {}
        self.history = []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def _reply(self, status, document):
                body = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def _handle(self):
                url = urlsplit(self.path)
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else {}
                kind, _, rest = url.path.removeprefix("/v1/objects/").partition("/")
                name, _, part = rest.partition("/")
                query = {key: values[0] for key, values in parse_qs(url.query).items()}
                self._reply(*store.handle(self.command, kind, name, part, query, body))

            do_GET = do_POST = do_PUT = do_DELETE = _handle

        self.server = _Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """Write an object as the operator or a replica does."""
        with self.lock:
            self._commit(kind, name, spec, None)

    def status_of(self, kind, name):
        """Return the status of an object."""
        with self.lock:
            held = self.objects.get(kind, {}).get(name)
            return held and held["status"]

    def handle(self, method, kind, name, part, query, body):
        """Answer one call."""
        with self.lock:
            held = self.objects.get(kind, {}).get(name)
            if method == "GET" and name:
                return (200, held) if held else (404, {})
            if method == "GET" and "watch" in query:
                return 200, self._watch(kind, query)
            if method == "GET":
                items = [self.objects[kind][one] for one in sorted(self.objects.get(kind, {}))]
                items = [one for one in items if one["metadata"]["name"] > query.get("since_rev", "")]
                return 200, {"items": items, "more": False, "at": self.revision}
            if method == "POST":
                name = body["metadata"]["name"]
                held = self.objects.get(kind, {}).get(name)
                return (409, held) if held else (200, self._commit(kind, name, body["spec"], None))
            if held is None:
                return 404, {}
            expected = body.get("metadata", {}).get("revision")
            if expected and expected != held["metadata"]["revision"]:
                return 409, held
            if method == "DELETE":
                del self.objects[kind][name]
                self.revision += 1
                self._note(kind, held, gone=True)
                return 200, held
            if part == "status":
                return 200, self._commit(kind, name, held["spec"], body["status"])
            return 200, self._commit(kind, name, body["spec"], held["status"])

    def _watch(self, kind, query):
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            found = [one for one in self.history if one[0] > int(query["watch"]) and one[1] == kind]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return {"events": [one[2] for one in found], "at": self.revision}
            self.lock.wait(left_s)

    def _commit(self, kind, name, spec, status):
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "made": 1, "finalizers": []}
        stored = {"metadata": metadata | {"deleting": False}, "spec": spec, "status": status}
        self.objects.setdefault(kind, {})[name] = stored
        self._note(kind, stored, gone=False)
        return stored

    def _note(self, kind, stored, gone):
        self.history.append((self.revision, kind, {"object": stored, "gone": gone}))
        self.lock.notify_all()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # The other end has closed the connection.


class Replica:
    """A model replica: answers a request for tokens with numbered events.

    Parameters
    ----------
    events, event_s
        Number of events of a stream, and the time that each takes.
    """

    def __init__(self, store, record, name, service, zone, slots=8, events=3, event_s=0.02):
        self.id, self.service, self.zone, self.slots = name, service, zone, slots
        self.events, self.event_s = events, event_s
        self.store, self.record = store, record
        self.lock = threading.Lock()
        self.running = 0
        self.runs = []
        self._seq = 0
        replica = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                replica.answer_get(self)

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                replica.answer_post(self, self.rfile.read(length))

        self.server = _Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.beat()
        threading.Thread(target=self._beat_regularly, daemon=True).start()

    def beat(self):
        """Write the entry into the store."""
        self._seq += 1
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone}
        entry |= {"version": "v1", "slots": self.slots, "state": "ready", "cold_left_ms": 0}
        self.store.put("servers", self.id, entry | {"seq": self._seq})

    def _beat_regularly(self):
        while True:
            time.sleep(1.2)
            self.beat()

    def answer_get(self, call):
        """Answer a health check or a question for the report."""
        report = {"stage": "mixed", "busy": False, "seq": 1, "waiting": 0, "running": self.running}
        report |= {"kv_used": 100 * self.running, "kv_total": 171000, "handles": 0}
        body = json.dumps(report).encode()
        call.send_response(200)
        call.send_header("Instance-Id", self.id)
        call.send_header("Content-Type", "application/json")
        call.send_header("Content-Length", str(len(body)))
        call.end_headers()
        call.wfile.write(body)

    def refuse(self, call, status, headers=()):
        """Answer that the request has not run."""
        call.send_response(status)
        for name, value in headers:
            call.send_header(name, value)
        call.send_header("Content-Length", "0")
        call.end_headers()

    def answer_post(self, call, body):
        """Run a request, or refuse it as the pages say."""
        request_id = call.headers.get("Request-Id", "")
        if call.headers.get("Expect-Instance") not in (None, self.id):
            self.refuse(call, 421, [("Instance-Id", self.id)])
            return
        with self.lock:
            full = self.running >= self.slots
            self.running += not full
        if full:
            self.refuse(call, 503, [("Not-Executed", "1"), ("Request-Id", request_id)])
            return
        try:
            self.run(call, request_id)
        finally:
            with self.lock:
                self.running -= 1

    def run(self, call, request_id):
        """Run a request to its end, or until the connection is closed."""
        first = int(call.headers.get("Last-Event-Id") or 0) + 1
        self.runs.append((time.monotonic(), request_id))
        self.record(f"{self.id} runs {request_id} from event {first}")
        call.send_response(200)
        call.send_header("Request-Id", request_id)
        call.send_header("Response-Seal", f"seal-{self.id}")
        if not call.headers.get("Token-Count"):
            body = b"answer to " + request_id.encode()
            call.send_header("Content-Length", str(len(body)))
            call.end_headers()
            call.wfile.write(body)
            self.record(f"{self.id} has finished {request_id}")
            return
        call.send_header("Content-Type", "text/event-stream")
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        for number in range(first, self.events + 1):
            time.sleep(self.event_s)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            if _is_closed(call.connection):
                call.close_connection = True
                return
            call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        call.wfile.write(b"0\r\n\r\n")
        self.record(f"{self.id} has finished {request_id}")


def _is_closed(connection):
    connection.setblocking(False)
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.setblocking(True)


def route(name, prefix, kind, service, **fields):
    """Return a route of the operator's configuration."""
    base = {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "service": service}
    base |= {"timeout_ms": 8000, "slo_ms": 500, "priority": 0, "max_attempts": 2}
    return base | {"sticky": False, "resumable": False} | fields


def configuration(routes, services):
    """Return the first configuration."""
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": 7, "routes": routes, "services": services, "limits": limits}


class Process:
    """A gateway or a storage node, started with the command of the deploy file."""

    def __init__(self, fleet, role, values):
        self.fleet, self.role, self.values = fleet, role, values
        self.name, self.address = values["node_id"], values["ip"]
        self.process = None
        self.settings = fleet.folder / f"{self.name}.toml"
        self.log = fleet.folder / f"{self.name}.log"
        self.callers = values.get("listen", {}).get("front", "")

    def start(self):
        """Start the process."""
        deploy = self.fleet.deploy["roles"][self.role]
        template = (ROOT / deploy["template"]).read_text()
        self.settings.write_text(fill(template, self.values))
        words = [sys.executable if one == "python3" else one for one in deploy["run"].split()]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"QUAYMILL_BOOT": str(self.settings)}
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps")}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
            )
        self.fleet.record(f"{self.name} is started")

    def signal(self, number):
        """Send a signal to the process."""
        self.fleet.record(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def kill(self):
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log_lines(self, text):
        """Return the lines of the log that hold a text."""
        with contextlib.suppress(OSError):
            return [one for one in self.log.read_text().splitlines() if text in one]
        return []

    def call(self, method, path, body=b"", headers=(), timeout_s=6.0):
        """Send one request; return the status and the body, or a text for a failure."""
        host, _, port = self.callers.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.request(method, path, body, {"Host": HOST} | dict(headers))
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException) as error:
            return 0, repr(error).encode()
        finally:
            connection.close()


class Fleet:
    """Gateways and storage nodes before a store; ends everything in ``stop``."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="quaymill-review-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        if not (ROOT / "target" / "deps" / "quaymill").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self.store = Store()
        self.processes = {}
        self.peer_port = free_port()
        self._addresses = iter(f"127.77.{os.getpid() % 250}.{number}" for number in range(10, 250))

    def add(self, role, name, zone):
        """Add a process; it is not started."""
        address = next(self._addresses)
        ports = f"{self.peer_port},{self.peer_port + 15}"
        gateways = [one for one in self.processes.values() if one.role == "gateway"]
        seeds = [f"{one.address}:9" for one in gateways[:3]] or [f"{address}:9"]
        values = {"node_id": name, "zone": zone, "region": "north", "ip": address}
        values |= {"port_range": ports, "seeds": ",".join(seeds)}
        values |= {"contracts": "base,drain,config,cost,recover,batch,stream,engine,platform"}
        values |= {"zones": dict.fromkeys(ZONES, "north")}
        values["fault_tolerance"] = {"machines": 1, "zones": 0, "regions": 0}
        values["provider"] = {"address": f"127.0.0.1:{self.store.port}", "writes_per_s": 400}
        values["bounds"] = {"contact_ms": 3000, "config_ms": 2000, "drain_ms": 2000, "grace_s": 8}
        values["bounds"] |= {"status_s": 120, "settle_ms": 1000, "quota_over": 0.1}
        values["limits"] = {"memory_mb": 300, "max_fds": 4100, "cpu_share": 0.537, "cores": 2}
        if role == "job-storage":
            values["data_dir"] = str(self.folder / name)
            values["limits"] |= {"disk_mb": 480}
        else:
            front, ready = free_port(), free_port()
            values["listen"] = {"front": f"{address}:{front}", "ready": f"{address}:{ready}"}
        process = self.processes[name] = Process(self, role, values)
        return process

    def start(self):
        """Start every process, and wait until the gateways are ready."""
        for process in self.processes.values():
            process.start()
        for process in self.gateways:
            self.wait_ready(process)

    @property
    def gateways(self):
        """The gateways."""
        return [one for one in self.processes.values() if one.role == "gateway"]

    @property
    def storage_nodes(self):
        """The storage nodes."""
        return [one for one in self.processes.values() if one.role == "job-storage"]

    def wait_ready(self, gateway):
        """Wait until a gateway calls itself ready."""
        host, _, port = gateway.values["listen"]["ready"].rpartition(":")
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
            try:
                connection.request("GET", "/v1/ready")
                if connection.getresponse().status == 200:
                    return
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            time.sleep(0.1)
        raise CannotRun(f"{gateway.name} is not ready")

    def stop(self):
        """End every process that was started, and remove the temporary folder."""
        for process in self.processes.values():
            if process.process is not None and process.process.poll() is None:
                with contextlib.suppress(OSError):
                    process.process.send_signal(signal.SIGCONT)
                    process.process.kill()
                process.process.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def fill(template, values):
    """Fill a template as the page on deployment tells."""
    template = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
        lambda found: _fill_section(found[2], _look_up(values, found[1])),
        template,
        flags=re.DOTALL,
    )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: _text(_look_up(values, found[1])), template)


def _fill_section(text, value):
    if value in (None, False):
        return ""
    entries = value.items() if isinstance(value, dict) else [("", value)]
    filled = (text.replace("{{@}}", str(key)).replace("{{.}}", str(one)) for key, one in entries)
    return "".join(filled)


def _look_up(values, path):
    for key in path.split("."):
        values = values.get(key) if isinstance(values, dict) else None
    return values


def _text(value):
    return "" if value is None else str(value)


def main(folder, play):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    fleet = None
    try:
        fleet = Fleet(record)
        broken = play(fleet, record, os.environ.get("TROUBLE", "1") != "0")
    except (CannotRun, OSError) as error:
        record(f"the case could not run: {error!r}")
        code = CANNOT_RUN
    else:
        for line in broken:
            record(f"BROKEN: {line}")
            print(line)
        code = 1 if broken else 0
    finally:
        if fleet is not None:
            fleet.stop()
    record(f"exit code {code}")
    print(f"exit code {code}", flush=True)
    os._exit(code)
