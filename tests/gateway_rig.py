"""A gateway in this process, with stand-ins as replicas and small fakes for its other parts."""

from __future__ import annotations

import hashlib
import http.client
import threading
import time
from collections.abc import Callable

import msgspec

from quaymill.connection.call_record_messages import (
    AbandonCall,
    BeginCall,
    CallRecord,
    CallState,
    FinishCall,
)
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.job_messages import Accepted, StoreConflict
from quaymill.connection.load_messages import Noted, OnlineStarts
from quaymill.connection.member import Machine, MachineRole, Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.process.gateway.gateway import Gateway
from quaymill.process.limits.region import build_region_limiter
from quaymill.process.machine_list import MachineList, MachineListHolder
from quaymill.process.replicas.load_view import LoadView
from quaymill.process.replicas.replica import ReplicaView
from quaymill.process.replicas.router import Router
from quaymill.process.settings import GatewaySettings, NodeSettings
from quaymill.request.outcome import NotRun, OutcomeUnknown
from quaymill.version.configuration import (
    Route,
    Service,
    ServiceKind,
    ServingConfiguration,
    Tenant,
    ZoneGroup,
)
from quaymill_standins.application import Application, ApplicationSettings
from quaymill_standins.engine import Engine, EngineSettings
from quaymill_standins.faults import Faults

MODEL = "drafting"
APPLICATION = "filing"
LOOKUP = "lookup"
KEY = "key-of-office"
TENANT = "office"
HOST = "127.0.0.1"


def wait_until(condition: Callable[[], object], timeout_s: float = 5.0) -> None:
    """Poll until the condition holds; fail after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not true within {timeout_s} s")
        time.sleep(0.01)


class FakeMembership:
    """Holds the members that a test names."""

    def __init__(self, local: Member) -> None:
        self.members_now = (local,)
        self._local = local

    def local(self) -> Member:
        return self._local

    def live(self) -> tuple[Member, ...]:
        return self.members_now


class FakeStore:
    """Keeps calls in a dictionary; ``failures`` are returned first, one for each message."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.calls: dict[tuple[str, str, str], tuple[str, CallRecord]] = {}
        self.failures: list[NotRun | OutcomeUnknown] = []
        self.applies_before_failure = False

    def group_of(self, key: str) -> int:
        return 0

    def call(self, message, reply_type, timeout_s: float):
        with self.lock:
            if self.failures:
                if self.applies_before_failure:
                    self._apply(message)
                return self.failures.pop(0)
            return self._apply(message)

    def _apply(self, message):
        name = (message.tenant, message.service, message.key)
        digest, record = self.calls.get(name, ("", None))
        if isinstance(message, BeginCall):
            return self._begin(name, message, digest, record)
        if record is not None and record.attempt == message.attempt:
            if isinstance(message, AbandonCall) and record.state is CallState.BEGUN:
                del self.calls[name]
            if isinstance(message, FinishCall):
                finished = msgspec.structs.replace(
                    record, state=CallState.FINISHED, answer=message.answer
                )
                self.calls[name] = (digest, finished)
        return Accepted()

    def _begin(self, name, message: BeginCall, digest: str, record: CallRecord | None):
        if record is None:
            begun = CallRecord(CallState.BEGUN, message.attempt, message.node)
            self.calls[name] = (message.digest, begun)
            return msgspec.structs.replace(begun, state=CallState.NEW)
        if digest != message.digest:
            return StoreConflict("the key was used with another content", "use another key")
        if record.attempt == message.attempt and record.state is CallState.BEGUN:
            return msgspec.structs.replace(record, state=CallState.NEW)
        return record


class GatewayRig:
    """One node's gateway; engines and applications are added before ``start``."""

    def __init__(
        self,
        zone: str = "zone-a",
        name: str = "node-1",
        store: FakeStore | None = None,
        gateway: GatewaySettings | None = None,
        tenant: Tenant | None = None,
        machine_list: MachineListHolder | None = None,
    ) -> None:
        self.engines: dict[str, Engine] = {}
        self.applications: dict[str, Application] = {}
        self.notices: list[str] = []
        self.store = store or FakeStore()
        self.links = LinkFilter()
        self.holder = ConfigurationHolder()
        self.machine_list = machine_list or MachineListHolder()
        self.peer_server = PeerServer(Endpoint(HOST, 0))
        self.peer_server.register(OnlineStarts, self._note)
        self.peer_client = PeerClient(self.links)
        self.settings = NodeSettings(
            name=name,
            zone=zone,
            region="region",
            address=HOST,
            http_port=0,
            peer_port=self.peer_server.endpoint.port,
            platform=f"{HOST}:1",
            gateway=gateway or GatewaySettings(threads=48, admission_limit=40),
        )
        self.member = Member(name, zone, "region", self.peer_server.endpoint, Endpoint(HOST, 1))
        self.membership = FakeMembership(self.member)
        tenant = tenant or Tenant()
        key_hash = hashlib.sha256(KEY.encode()).hexdigest()
        self.tenant = msgspec.structs.replace(tenant, key_hashes=(key_hash,))
        self.machines: list[Machine] = []

    def add_engine(self, zone: str = "zone-a", **settings) -> Engine:
        name = f"engine-{len(self.engines) + 1}"
        fields = {"model": MODEL, "step_ms": 2.0, "load_lag_s": 0.05} | settings
        engine = Engine(EngineSettings(name=name, zone=zone, **fields))
        engine.start()
        self.engines[name] = engine
        self._list(name, MachineRole.ENGINE, zone, engine.port, MODEL)
        return engine

    def add_application(self, service: str = APPLICATION, zone: str = "zone-a") -> Application:
        name = f"application-{len(self.applications) + 1}"
        application = Application(ApplicationSettings(name=name, zone=zone, service=service))
        application.start()
        self.applications[name] = application
        self._list(name, MachineRole.APPLICATION, zone, application.port, service)
        return application

    def _list(self, name: str, role: MachineRole, zone: str, port: int, service: str) -> None:
        self.machines.append(Machine(name, role, zone, Endpoint(HOST, port), service))

    def start(self, weights: dict[str, float] | None = None) -> GatewayRig:
        """Start the parts; ``weights`` by zone, each zone a group of its own."""
        zones = sorted({machine.zone for machine in self.machines} | {self.settings.zone})
        weights = weights or dict.fromkeys(zones, 1.0)
        self.configure(weights)
        version = self.machine_list.current().version + 1
        self.machine_list.offer(MachineList(version, tuple(self.machines)))
        self.load_view = LoadView(
            self.settings,
            self.machine_list,
            self.membership,
            self.peer_client,
            self.peer_server,
            self.links,
        )
        self.router = Router(self.load_view, self.holder, self.settings, seed=1)
        self.limiter = build_region_limiter(
            self.settings, self.holder, self.membership, self.peer_client, self.peer_server
        )
        self.gateway = Gateway(
            self.settings,
            self.holder,
            self.load_view,
            self.router,
            self.limiter,
            self.membership,
            self.store,
            self.peer_client,
            self.peer_server,
            self.links,
        )
        self.peer_server.start()
        self.load_view.start()
        self.limiter.start()
        self.gateway.start()
        wait_until(lambda: all(one.report() for one in self._replicas()))
        return self

    def configure(self, weights: dict[str, float], **route_fields) -> None:
        """Put weights by zone in force, as the next generation."""
        routes = {zone: Route(weight=weight, **route_fields) for zone, weight in weights.items()}
        services = {
            MODEL: Service(ServiceKind.MODEL),
            APPLICATION: Service(ServiceKind.APPLICATION, idempotent=False),
            LOOKUP: Service(ServiceKind.APPLICATION),
        }
        self.holder.offer(
            ServingConfiguration(
                generation=self.holder.current().generation + 1,
                zone_groups={zone: ZoneGroup((zone,)) for zone in weights},
                services=services,
                routes=dict.fromkeys(services, routes),
                tenants={TENANT: self.tenant},
            )
        )

    def heal(self) -> None:
        """Switch all faults off and forget what was learnt of them."""
        self.links.set_blocked(frozenset())
        for standin in (*self.engines.values(), *self.applications.values()):
            standin.switches.replace(Faults())
        self.router.forget_failures()
        healed_at = time.monotonic()
        wait_until(lambda: all(self._is_healed(one, healed_at) for one in self._replicas()))

    def _replicas(self) -> tuple[ReplicaView, ...]:
        return self.load_view.all_replicas()

    @staticmethod
    def _is_healed(replica: ReplicaView, healed_at: float) -> bool:
        report = replica.report()
        age_s = time.monotonic() - healed_at
        return report is not None and report.reachable and report.age_s < age_s

    def stop(self) -> None:
        """Stop all parts and stand-ins."""
        self.gateway.stop()
        self.limiter.stop()
        self.load_view.stop()
        self.peer_server.stop()
        self.peer_client.close()
        for standin in (*self.engines.values(), *self.applications.values()):
            standin.switches.replace(Faults())
            standin.stop()

    def request(
        self, method: str, path: str, body: object = b"", key: str = KEY, **headers: str
    ) -> Reply:
        """Send one request on a connection of its own and read the whole answer."""
        connection = self.connect()
        try:
            return send(connection, method, path, body, key, **headers)
        finally:
            connection.close()

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(HOST, self.gateway.endpoint.port, timeout=20.0)

    def runs(self) -> list[dict]:
        """All runs of all stand-ins, from their journals."""
        standins = (*self.engines.items(), *self.applications.items())
        runs = []
        for name, standin in standins:
            connection = http.client.HTTPConnection(HOST, standin.port, timeout=5.0)
            connection.request("GET", "/standin/journal")
            document = msgspec.json.decode(connection.getresponse().read())
            connection.close()
            runs += [{**run, "replica": name} for run in document["runs"]]
        return runs

    def _note(self, message: OnlineStarts) -> Noted:
        self.notices += message.replicas
        return Noted()


class Reply(msgspec.Struct):
    """An HTTP answer, read whole."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        return msgspec.json.decode(self.body)


def send(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: object = b"",
    key: str = KEY,
    **headers: str,
) -> Reply:
    """Send one request and read the whole answer."""
    response = begin(connection, method, path, body, key, **headers)
    content = response.read()
    answered = {name.lower(): value for name, value in response.getheaders()}
    return Reply(response.status, answered, content)


def begin(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: object = b"",
    key: str = KEY,
    **headers: str,
) -> http.client.HTTPResponse:
    """Send one request and read the head of its answer."""
    content = body if isinstance(body, bytes) else msgspec.json.encode(body)
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    if key:
        fields["Authorization"] = f"Bearer {key}"
    connection.request(method, path, content, fields)
    return connection.getresponse()


def chat(prompt: str = "hello", tokens: int = 8, **fields) -> dict:
    """Return the body of a chat completion."""
    message = {"role": "user", "content": prompt}
    return {"model": MODEL, "messages": [message], "max_tokens": tokens, **fields}


def streamed_text(content: bytes) -> tuple[str, bool, list[str]]:
    """Return the text of a chat stream, whether it ended properly, and its errors."""
    text, ended, errors = "", False, []
    for event in content.split(b"\n\n"):
        if not event:
            continue
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            ended = True
            continue
        document = msgspec.json.decode(data)
        if "error" in document:
            errors.append(document["error"]["message"])
            continue
        for choice in document["choices"]:
            text += choice["delta"].get("content") or ""
    return text, ended, errors
