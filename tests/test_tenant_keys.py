"""Tenant keys: which requests are accepted, for which tenant, and what replicas receive."""

from __future__ import annotations

import http.client
import json
import random
import socket
import threading
import unittest
from typing import Any, ClassVar

import eliot
from nose2.tools import params
from prometheus_client import generate_latest

from fleet_case import FleetCase
from fleet_rig import FleetRig, wait_until
from quaymill.platform.configuration import decode_configuration
from quaymill.process.front.access import Caller, KeyState, identify, key_state
from quaymill.version.request_routes import NO_ROUTES, RequestRoutes
from quaymill.version.tenants import RequestTenant, TenantLimits, bearer_key, key_digest
from quaymill_bench.fleet_world import (
    HOST,
    ROUTES,
    configuration,
    item_id,
    job_body,
    key_header,
    route,
    tenant,
)
from quaymill_standins.fleet_replica import ReplicaBehaviour

KEY = "k-office-1"
SECOND_KEY = "k-office-2"
OTHER_KEY = "k-kiosk-1"
OFFICE = tenant("office", KEY, SECOND_KEY, priority=1)
KIOSK = tenant("kiosk", OTHER_KEY)
PUBLIC = route("public", "/public/", "idempotent", service="application", public=True)
WITH_PUBLIC = (*ROUTES, PUBLIC)
ANSWER_LIMIT_BYTES = 65536
FUZZ_SEED = 20261203
FUZZ_CASES = 150

REFUSED_FORMS = (
    (),
    ("",),
    (" ",),
    ("Bearer",),
    ("Bearer ",),
    (KEY,),
    (f"Basic {KEY}",),
    (f"Token {KEY}",),
    (f"Bearer{KEY}",),
    (f"Bearer: {KEY}",),
    (f"Bearer={KEY}",),
    (f"Bearer,{KEY}",),
    ("Bearer unknown",),
    (f"Bearer {KEY.upper()}",),
    (f"Bearer {KEY}x",),
    (f"Bearer {KEY[:-1]}",),
    (f"Bearer {KEY} {KEY}",),
    (f"Bearer {KEY},",),
    (f"Bearer {KEY}, Bearer {OTHER_KEY}",),
    (f'Bearer "{KEY}"',),
    (f"Bearer '{KEY}'",),
    (f"Bearer {KEY}\x00",),
    (f"\x00Bearer {KEY}",),
    (f"Bearer\x0b{KEY}",),
    (f"Bearer \xff{KEY}",),
    ("Bearer \xc3\xa9",),
    (f"Bearer {KEY}", f"Bearer {KEY}"),
    (f"Bearer {KEY}", f"Bearer {OTHER_KEY}"),
    ("Bearer unknown", f"Bearer {KEY}"),
    (f"Bearer {KEY}", ""),
    (f"Bearer {key_digest(KEY.encode())}",),
    ("Bearer " + "x" * 8000,),
)
ACCEPTED_FORMS = (
    f"Bearer {KEY}",
    f"bearer {KEY}",
    f"BEARER {KEY}",
    f"Bearer  {KEY}",
    f"  Bearer {KEY}  ",
    f"Bearer {SECOND_KEY}",
)


def routes_with(*tenants: RequestTenant, version: int = 1) -> RequestRoutes:
    """Return routes for these tenants."""
    return RequestRoutes(version, tenants={one.name: one for one in tenants})


def holder(name: str, *keys: str) -> RequestTenant:
    """Return a tenant with these keys."""
    return RequestTenant(name, tuple(key_digest(key.encode()) for key in keys))


class DecodeTest(unittest.TestCase):
    """Tenants of a configuration as decoded by the adapter."""

    def test_keys_are_kept_as_digests_and_limits_by_name(self) -> None:
        spec = configuration(3, tenants=(tenant("office", KEY, rate_per_s=100, burst=50),))
        routes = decode_configuration(spec)
        self.assertNotIn(KEY, repr(routes))
        found = routes.find_tenant(key_digest(KEY.encode()))
        self.assertEqual("office", found.name)
        self.assertEqual(TenantLimits(100.0, 50.0), found.limits)
        self.assertIsNone(found.priority)
        self.assertFalse(routes.routes[0].public)

    @params(
        ("none", {}, None),
        ("empty", {"tenants": []}, {}),
    )
    def test_missing_and_empty_tenants_are_distinguished(self, _, fields, expected) -> None:
        self.assertEqual(expected, decode_configuration(configuration(1) | fields).tenants)

    @params(
        {"name": "a", "api_keys": "text"},
        {"name": "a", "api_keys": [1]},
        {"api_keys": []},
        {"name": "a", "rate_per_s": -1},
        {"name": "a", "rate_per_s": "many"},
    )
    def test_an_invalid_tenant_invalidates_the_configuration(self, bad) -> None:
        self.assertTrue(decode_configuration(configuration(1) | {"tenants": [bad]}).reason)


class IdentifyTest(unittest.TestCase):
    """The holder of a key in a given configuration version."""

    def test_no_key_is_needed_without_tenants(self) -> None:
        caller = identify(NO_ROUTES, b"", key_needed=True)
        self.assertIsNone(caller.tenant_name)
        self.assertEqual("job", caller.job_name("job"))

    def test_job_names_of_tenants_are_distinct(self) -> None:
        names = {
            Caller(holder(name_of_tenant), True).job_name(job_id)
            for name_of_tenant in ("a", "a~b", "a%7Eb", "a/b", "")
            for job_id in ("x", "b~x", "~x")
        }
        self.assertEqual(15, len(names))

    @params(
        ("unchanged version", (holder("office", KEY),), 1, KeyState.UNCHANGED),
        ("unchanged key", (holder("office", KEY),), 2, KeyState.UNCHANGED),
        ("revoked", (holder("office", SECOND_KEY),), 2, KeyState.REVOKED),
        ("tenant removed", (), 2, KeyState.REVOKED),
        ("reassigned", (holder("office"), holder("kiosk", KEY)), 2, KeyState.REASSIGNED),
    )
    def test_key_state_after_a_change(self, _, tenants, version, expected) -> None:
        caller = identify(routes_with(holder("office", KEY)), KEY.encode(), key_needed=True)
        self.assertIs(expected, key_state(caller, routes_with(*tenants, version=version)))

    def test_tenant_priority_overrides_route_priority(self) -> None:
        ranked = RequestTenant("a", priority=0)
        self.assertEqual(0, Caller(ranked, True).rank(2))
        self.assertEqual(2, Caller(RequestTenant("a"), True).rank(2))
        self.assertEqual(2, Caller(None, True).rank(2))

    def test_fuzzed_headers_give_only_exact_keys(self) -> None:
        rng = random.Random(FUZZ_SEED)
        letters = "Bearer \tk-office12=,:;\"'\x00\x7f\xff"
        for _ in range(20_000):
            text = "".join(rng.choice(letters) for _ in range(rng.randrange(24)))
            key = bearer_key([text])
            if key:
                self.assertEqual(["bearer", key], [text.split()[0].lower(), *text.split()[1:]])


class KeyCase(FleetCase):
    """A running fleet whose requests need keys."""

    configuration_fields: ClassVar[dict[str, Any]] = {
        "routes": WITH_PUBLIC,
        "tenants": (OFFICE, KIOSK),
    }
    version = 1

    def configure(self, *tenants: dict, routes=WITH_PUBLIC) -> None:
        type(self).version += 1
        self.rig.configure(self.version, routes=routes, tenants=tenants)

    def send_raw(self, headers: list[tuple[str, str]], gateway: str = "gateway-0") -> int:
        """Send a request with raw headers; return the response status, 0 without a response."""
        port = self.rig.ports(gateway)[0]
        lines = ["POST /read/x HTTP/1.1", f"Host: {HOST}", "Content-Length: 0"]
        lines += [f"{name}: {value}" for name, value in headers]
        with socket.create_connection((self.rig.settings[gateway].address, port), 5.0) as sent:
            sent.sendall("\r\n".join([*lines, "", ""]).encode("latin-1"))
            head = sent.recv(ANSWER_LIMIT_BYTES)
        return int(head.split()[1]) if head else 0


class HeaderTest(KeyCase):
    """Headers from callers, and the headers that replicas receive."""

    def test_invalid_forms_of_a_key_are_refused(self) -> None:
        for number, form in enumerate(REFUSED_FORMS):
            with self.subTest(form=str(form)[:60]):
                headers = [("Request-Id", f"bad-{number}")]
                status = self.send_raw(headers + [("Authorization", value) for value in form])
                # A NUL byte makes the request malformed HTTP, which gets a 400.
                self.assertIn(status, (400, 401) if "\x00" in "".join(form) else (401,))
        self.assertEqual([], self.runs())

    def test_valid_forms_of_a_key_are_accepted(self) -> None:
        for number, form in enumerate(ACCEPTED_FORMS):
            with self.subTest(form):
                headers = [("Request-Id", f"good-{number}"), ("Authorization", form)]
                self.assertEqual(200, self.send_raw(headers))
                (run,) = self.runs(f"good-{number}")
                self.assertEqual("office", run.headers["tenant"])

    def test_fuzzed_keys_identify_only_their_own_tenant(self) -> None:
        rng = random.Random(FUZZ_SEED)
        parts = [
            "Bearer",
            "bearer",
            "Basic",
            KEY,
            OTHER_KEY,
            " ",
            "  ",
            "\t",
            ",",
            "=",
            "x",
            "\xe9",
        ]
        for number in range(FUZZ_CASES):
            form = "".join(rng.choice(parts) for _ in range(rng.randrange(1, 5)))
            request_id = f"fuzz-{number}"
            with self.subTest(form):
                self.send_raw([("Request-Id", request_id), ("Authorization", form)])
                for run in self.runs(request_id):
                    self.assertIn(run.headers["tenant"], ("office", "kiosk"))
                    key = KEY if run.headers["tenant"] == "office" else OTHER_KEY
                    self.assertEqual(["bearer", key], [form.split()[0].lower(), *form.split()[1:]])

    def test_a_refusal_names_the_authentication_scheme(self) -> None:
        answer = self.rig.ask("gateway-0", "/read/x", "r-0")
        self.assertEqual(401, answer.status)
        self.assertEqual("Bearer", answer.headers["WWW-Authenticate"])
        self.assertNotIn("Retry-After", answer.headers)

    def test_a_refusal_does_not_end_the_connection(self) -> None:
        port = self.rig.ports("gateway-0")[0]
        connection = http.client.HTTPConnection(self.rig.settings["gateway-0"].address, port, 5.0)
        self.addCleanup(connection.close)
        connection.connect()
        kept = connection.sock
        for key, status in (("none", 401), (KEY, 200)):
            headers = {"Host": HOST, "Request-Id": "r"} | key_header(key)
            connection.request("POST", "/read/x", b"body", headers)
            answer = connection.getresponse()
            answer.read()
            self.assertEqual(status, answer.status)
            self.assertIs(kept, connection.sock)

    @params("Tenant", "tenant", "TENANT")
    def test_tenant_header_of_a_caller_is_replaced(self, name) -> None:
        request_id = f"r-{name}"
        headers = [
            ("Request-Id", request_id),
            (name, "kiosk"),
            (name, "root"),
            ("authorization", f"Bearer {KEY}"),
        ]
        self.assertEqual(200, self.send_raw(headers))
        (run,) = self.runs(request_id)
        self.assertEqual("office", run.headers["tenant"])
        self.assertNotIn("authorization", run.headers)

    @params("Tenant ", "Authorization\t")
    def test_a_header_name_with_a_space_is_refused(self, name) -> None:
        headers = [("Request-Id", "r-space"), ("Authorization", f"Bearer {KEY}"), (name, "root")]
        self.assertEqual(400, self.send_raw(headers))
        self.assertEqual([], self.runs("r-space"))

    def test_no_replica_of_a_resumed_stream_receives_the_key(self) -> None:
        self.rig.of_service("engine")[0].behaviour = ReplicaBehaviour(cut_at_event=2)

        def resumed() -> list:
            request_id = f"r-{random.random()}"
            path, headers = "/resumable/x", key_header(KEY)
            self.rig.ask("gateway-0", path, request_id, tokens=True, headers=headers)
            runs = self.runs(request_id)
            return runs if len(runs) == 2 else []

        runs = wait_until(resumed, "a stream ran on the replica that aborts it")
        for run in runs:
            self.assertEqual("office", run.headers["tenant"])
            self.assertNotIn("authorization", run.headers)

    def test_a_public_route_needs_no_key(self) -> None:
        for number, headers in enumerate(({}, key_header("unknown"), {"Tenant": "office"})):
            answer = self.rig.ask("gateway-0", "/public/x", f"r-public-{number}", headers=headers)
            self.assertEqual(200, answer.status)
            (run,) = self.runs(f"r-public-{number}")
            self.assertNotIn("tenant", run.headers)
            self.assertNotIn("authorization", run.headers)

    def test_a_known_key_identifies_its_tenant_on_a_public_route(self) -> None:
        self.rig.ask("gateway-0", "/public/x", "r-known", headers=key_header(KEY))
        self.assertEqual("office", self.runs("r-known")[0].headers["tenant"])

    def test_no_route_is_404_whatever_the_key(self) -> None:
        for headers in ({}, key_header("unknown"), key_header(KEY)):
            self.assertEqual(404, self.rig.ask("gateway-0", "/no/", "r", headers=headers).status)


class SecrecyTest(KeyCase):
    """No log line, response or metric contains a key."""

    def test_no_output_contains_a_key(self) -> None:
        lines: list[dict] = []
        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        responses = []
        for number, key in enumerate((KEY, OTHER_KEY, "k-unknown")):
            for path, tokens in (("/read/x", False), ("/stream/x", True), ("/no/x", False)):
                answer = self.rig.ask(
                    "gateway-0", path, f"r-{number}", tokens=tokens, headers=key_header(key)
                )
                responses += [answer.data, str(answer.headers).encode()]
            self.rig.submit("gateway-0", f"job-{number}", 1, headers=key_header(key))
        self.configure(tenant("office", SECOND_KEY), KIOSK)
        registry = self.rig.gateways["gateway-0"]._metrics.registry
        responses.append(generate_latest(registry))
        output = json.dumps(lines, default=str).encode() + b"".join(responses)
        self.assertIn(b"request:refused", output)
        for key in (KEY, SECOND_KEY, OTHER_KEY, "k-unknown"):
            self.assertNotIn(key.encode(), output)


class ChangeTest(KeyCase):
    """Keys that are revoked or reassigned to another tenant."""

    def test_a_revoked_key_is_refused(self) -> None:
        headers = key_header(KEY)
        self.assertEqual(200, self.rig.ask("gateway-0", "/read/x", "r-1", headers=headers).status)
        self.configure(tenant("office", SECOND_KEY), KIOSK)
        for gateway in self.rig.gateways:
            self.assertEqual(401, self.rig.ask(gateway, "/read/x", "r-2", headers=headers).status)
            kept = self.rig.ask(gateway, "/read/x", "r-3", headers=key_header(SECOND_KEY))
            self.assertEqual(200, kept.status)
        self.assertEqual([], self.runs("r-2"))

    def test_a_reassigned_key_identifies_its_new_tenant(self) -> None:
        self.configure(OFFICE, KIOSK)
        self.configure(tenant("office", SECOND_KEY), tenant("kiosk", OTHER_KEY, KEY))
        for gateway in self.rig.gateways:
            self.rig.ask(gateway, "/read/x", f"r-{gateway}", headers=key_header(KEY))
            self.assertEqual("kiosk", self.runs(f"r-{gateway}")[0].headers["tenant"])

    def test_a_running_stream_continues_after_its_key_is_revoked(self) -> None:
        self.configure(OFFICE, KIOSK)
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(events=30, event_s=0.1)
        answers: list = []
        asking = threading.Thread(
            target=lambda: answers.append(
                self.rig.ask(
                    "gateway-0", "/stream/x", "r-run", tokens=True, headers=key_header(KEY)
                )
            )
        )
        asking.start()
        wait_until(lambda: self.runs("r-run"), "the stream runs")
        self.configure(tenant("office", SECOND_KEY), KIOSK)
        asking.join()
        self.assertIn(b"r-run-30", answers[0].data)

    def test_a_request_does_not_start_if_its_key_changed_before(self) -> None:
        for change, tenants, status in (
            ("revoked", (tenant("office", SECOND_KEY), KIOSK), 401),
            ("reassigned", (tenant("office", SECOND_KEY), tenant("kiosk", OTHER_KEY, KEY)), 503),
        ):
            with self.subTest(change):
                self.configure(OFFICE, KIOSK)
                self.assertEqual(status, self._send_during_key_change(tenants))

    def _send_during_key_change(self, tenants: tuple[dict, ...]) -> int:
        """Send a request with a delayed body and change the keys before it; return the status."""
        port = self.rig.ports("gateway-0")[0]
        address = self.rig.settings["gateway-0"].address
        with socket.create_connection((address, port), 5.0) as sent:
            head = (
                f"POST /read/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-slow\r\n"
                f"Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\n"
            )
            sent.sendall(head.encode())
            front = self.rig.gateways["gateway-0"]._front
            wait_until(lambda: front.in_service, "the request is being read")
            self.configure(*tenants)
            sent.sendall(b"body")
            answer = sent.recv(ANSWER_LIMIT_BYTES)
        self.assertEqual([], self.runs("r-slow"))
        return int(answer.split()[1])


class StartTest(unittest.TestCase):
    """A gateway without a configuration cannot check keys, so it is not ready."""

    def test_it_answers_503_and_is_not_ready(self) -> None:
        rig = FleetRig(gateways=1, storage=1, engines=1)
        self.addCleanup(rig.stop)
        rig.store.start()
        rig.start_gateway("gateway-0", "zone-a")
        self.assertEqual(
            503, rig.get("gateway-0", "/v1/ready", port=rig.ports("gateway-0")[1]).status
        )
        self.assertEqual(503, rig.ask("gateway-0", "/read/x", "r", headers=key_header(KEY)).status)


class JobTest(KeyCase):
    """Batch jobs are visible to their tenant only."""

    def test_only_its_tenant_sees_a_job(self) -> None:
        # Shortly after its start a gateway answers 503, as it may not know all storage nodes.
        for gateway in self.rig.gateways.values():
            gateway.jobs._lookup._started_at -= 60.0
        self.rig.submit("gateway-0", "job-a", 2, headers=key_header(KEY))
        self.rig.wait_results("gateway-1", "job-a", 2, headers=key_header(SECOND_KEY))
        for gateway in self.rig.gateways:
            other = key_header(OTHER_KEY)
            for answer in (
                self.rig.read_results(gateway, "job-a", headers=other),
                self.rig.get(gateway, f"/v1/items/job-a?id={item_id('job-a', 0)}", headers=other),
                self.rig.call(gateway, "DELETE", "/v1/lots/job-a", headers=other),
            ):
                self.assertEqual(404, answer.status)
                self.assertNotIn(b"office", answer.data)
            for headers in ({}, key_header("unknown")):
                self.assertEqual(
                    401, self.rig.read_results(gateway, "job-a", headers=headers).status
                )
        ended = self.rig.call("gateway-1", "DELETE", "/v1/lots/job-a", headers=key_header(KEY))
        self.assertEqual(200, ended.status)

    def test_two_tenants_may_give_jobs_the_same_id(self) -> None:
        self.rig.submit("gateway-0", "job-b", 2, headers=key_header(KEY))
        self.rig.submit("gateway-1", "job-b", 3, headers=key_header(OTHER_KEY))
        for key, count in ((KEY, 2), (OTHER_KEY, 3)):
            self.rig.wait_results("gateway-0", "job-b", count, headers=key_header(key))
            answer = self.rig.read_results("gateway-1", "job-b", headers=key_header(key))
            self.assertEqual(count, json.loads(answer.data)["total"])

    def test_items_carry_their_tenant_but_no_key(self) -> None:
        document = json.loads(job_body("job-c", 2))
        for item in document["items"]:
            item["headers"] |= {"Authorization": f"Bearer {KEY}", "tenant": "root"}
        body = json.dumps(document).encode()
        headers = {"Request-Id": "job-c"} | key_header(KEY)
        self.assertEqual(202, self.rig.call("gateway-0", "POST", "/jobs/x", body, headers).status)
        self.rig.wait_results("gateway-1", "job-c", 2, headers=key_header(KEY))
        for index in range(2):
            for run in self.runs(item_id("job-c", index)):
                self.assertEqual("office", run.headers["tenant"])
                self.assertNotIn("authorization", run.headers)


class HandedOverJobTest(KeyCase):
    """A batch job whose key is revoked and whose coordinator stops."""

    def test_job_continues_for_its_tenant(self) -> None:
        for replica in self.rig.of_service("engine"):
            replica.behaviour = ReplicaBehaviour(events=20, event_s=0.1)
        self.rig.submit("gateway-0", "job-d", 6, headers=key_header(KEY))
        wait_until(lambda: self.runs(item_id("job-d", 0)), "an item runs")
        self.configure(tenant("office", SECOND_KEY), KIOSK)
        self.rig.gateways.pop("gateway-0").stop()
        results = self.rig.wait_results("gateway-1", "job-d", 6, headers=key_header(SECOND_KEY))
        self.assertEqual({"succeeded"}, {result["state"] for result in results})
        tenants = {run.headers.get("tenant") for run in self.runs()}
        self.assertEqual({"office"}, tenants)
