"""The load of the soak: requests, jobs, and readers of every job at every gateway.

Callers keep the connections that they have, also to a process that is about to stop. Jobs are
read all the time from any position, bodies are asked for, and what was accepted or ended is sent
again, as the users' own clients do.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import random
import threading
import time

import urllib3

from quaymill_bench.fleet_processes import REQUEST_TIMEOUT_S, FleetProcess, LocalFleet
from quaymill_bench.fleet_world import HOST, item_id, key_header, request_headers
from quaymill_bench.soak_checks import History, JobCall, JobHistory, Sending
from quaymill_bench.soak_tenants import (
    FLOOD_KEY,
    OFFICE_KEYS,
    ROAMING_KEY,
    UNKNOWN_KEY,
)
from quaymill_bench.soak_timeline import Timeline

CALLERS = 4
SHORT_CALLERS = 6
"""Callers that open a connection for each request, and close it right after the answer."""
JOBS = 4
JOB_ITEMS = 10
READ_PAUSE_S = 0.15
RESEND_WITHIN_S = 4.0
"""An accepted job is sent again only while its acceptance is this young."""
CANCEL_S = 3.0
DEADLINE_MS = 6000
NAMED_SHARE = 0.7
"""Share of the callers that name the stream that they take up."""
MAX_TRIES = 3
"""Tries of a caller for one stream."""
REQUEST_KINDS = ("read", "write", "stream", "resumable")
SHORT_KINDS = ("read", "read", "read", "write")
KEYS = (*OFFICE_KEYS * 4, ROAMING_KEY, ROAMING_KEY, FLOOD_KEY, UNKNOWN_KEY, "")
"""Drawn for each request: mostly a key that is held, now and then one that is not, or none."""


class SoakLoad:
    """Callers, senders and readers of one round."""

    def __init__(
        self, fleet: LocalFleet, name: str, history: History, timeline: Timeline, load_s: float
    ) -> None:
        self._fleet = fleet
        self._name = name
        self._history = history
        self._timeline = timeline
        self._load_s = load_s
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Begin to send."""
        for index in range(CALLERS):
            self._start(self._call, index)
        for index in range(SHORT_CALLERS):
            self._start(self._call_and_close, index)
        for index in range(JOBS):
            self._start(self._follow_job, index)

    def stop(self, timeout_s: float) -> None:
        """Send no more requests, and wait until the jobs have ended."""
        self._stopping.set()
        deadline = time.monotonic() + timeout_s
        for thread in list(self._threads):
            thread.join(max(0.0, deadline - time.monotonic()))

    def _start(self, target, *arguments) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    # Requests.

    def _call(self, index: int) -> None:
        chance = random.Random(f"{self._name}/{index}")
        number = 0
        while not self._stopping.is_set():
            number += 1
            kind = chance.choice(REQUEST_KINDS)
            gateway = chance.choice(self._fleet.gateways)
            key = chance.choice(KEYS)
            request_id = f"{kind}-{self._name}-{index}-{number}"
            if kind == "resumable":
                self._send_resumable(gateway, request_id, key)
            else:
                self._send(kind, gateway, request_id, key)
            time.sleep(chance.uniform(0.0, 0.05))

    def _send(self, kind: str, gateway: FleetProcess, request_id: str, key: str) -> None:
        headers = request_headers(kind, request_id, DEADLINE_MS)
        if key:
            headers |= key_header(key)
        answer = self._try_call(gateway, "POST", f"/{kind}/x", b"", headers)
        status, body = (0, b"") if answer is None else (answer.status, answer.data)
        whole = answer is not None
        self._history.add(Sending(request_id, kind, gateway.name, status, body, whole, key))

    def _call_and_close(self, index: int) -> None:
        """Send requests on connections of their own, one after the other."""
        chance = random.Random(f"{self._name}/short/{index}")
        number = 0
        while not self._stopping.is_set():
            number += 1
            kind = chance.choice(SHORT_KINDS)
            gateway = chance.choice(self._fleet.gateways)
            request_id = f"{kind}-{self._name}-short-{index}-{number}"
            headers = {"Host": HOST} | request_headers(kind, request_id, DEADLINE_MS)
            headers |= key_header(OFFICE_KEYS[0])
            status, body = _ask_once(gateway, f"/{kind}/x", headers)
            sending = Sending(request_id, kind, gateway.name, status, body, status != 0)
            self._history.add(sending)
            time.sleep(chance.uniform(0.0, 0.05))

    def _send_resumable(self, gateway: FleetProcess, request_id: str, key: str) -> None:
        """Send a stream, and take it up at other gateways if it breaks off.

        Some callers do not say which stream they take up.
        """
        chance = random.Random(request_id)
        names_stream = random.Random(f"{request_id}/named").random() < NAMED_SHARE
        events: list[bytes] = []
        first_id = ""
        status = 0
        for attempt in range(MAX_TRIES):
            attempt_id = f"{request_id}-try-{attempt}" if attempt else request_id
            headers = request_headers("resumable", attempt_id, DEADLINE_MS)
            if key:
                headers |= key_header(key)
            if events:
                headers |= {"Last-Event-Id": str(len(events))}
                if names_stream:
                    headers |= {"Resumes": first_id}
            status, received, whole = self._receive_events(gateway, headers)
            # The stand-ins write the id of the request into their events.
            events += [
                event.replace(attempt_id.encode(), request_id.encode()) for event in received
            ]
            first_id = first_id or (attempt_id if events else "")
            if whole or not events:
                break
            gateway = chance.choice(self._fleet.gateways)
        whole = whole and status == 200
        body = b"".join(events)
        self._history.add(Sending(request_id, "resumable", gateway.name, status, body, whole, key))

    def _receive_events(
        self, gateway: FleetProcess, headers: dict[str, str]
    ) -> tuple[int, list[bytes], bool]:
        """Return the status of a stream, its complete events, and whether it came whole."""
        received = b""
        status = 0
        whole = False
        try:
            answer = self._fleet.call(gateway, "POST", "/resumable/x", b"", headers, preload=False)
            status = answer.status
            while block := answer.read1():
                received += block
            whole = True
            answer.release_conn()
        except urllib3.exceptions.HTTPError:
            pass
        if status != 200:
            return status, [], whole
        return status, [event + b"\n\n" for event in received.split(b"\n\n")[:-1]], whole

    def _try_call(
        self, gateway: FleetProcess, method: str, path: str, body: bytes = b"", headers=None
    ) -> urllib3.BaseHTTPResponse | None:
        """Send one request; ``None`` if no whole answer came."""
        try:
            return self._fleet.call(gateway, method, path, body, headers)
        except urllib3.exceptions.HTTPError:
            return None

    # Jobs.

    def _follow_job(self, index: int) -> None:
        """Send a job until it is accepted, then have it read until all is listed."""
        chance = random.Random(f"{self._name}/job/{index}")
        job = self._history.job(f"job-{self._name}-{index}", JOB_ITEMS)
        time.sleep(chance.uniform(0.0, self._load_s / 2))
        deadline = time.monotonic() + self._load_s + 40.0
        while not job.accepted and time.monotonic() < deadline:
            self._submit(job, chance)
        if not job.accepted:
            return
        over = threading.Event()
        readers = [
            threading.Thread(target=self._read, args=(job, number, over), daemon=True)
            for number in range(len(self._fleet.gateways))
        ]
        for reader in readers:
            reader.start()
        will_end = chance.random() < 0.25
        while time.monotonic() < deadline and not self._is_over(job):
            if will_end and job.positions and job.ended_at is None:
                self._end(job, chance.choice(self._fleet.gateways), chance)
            time.sleep(0.05)
        # What was read must be there at the end, too.
        time.sleep(1.0)
        over.set()
        for reader in readers:
            reader.join()

    def _is_over(self, job: JobHistory) -> bool:
        if job.ended_at is not None:
            return time.monotonic() > job.ended_at + CANCEL_S + 1.0
        return len(job.positions) >= job.items

    def _submit(self, job: JobHistory, chance: random.Random) -> None:
        gateway = chance.choice(self._fleet.gateways)
        try:
            headers = _job_key(chance)
            status = self._fleet.submit(gateway, job.id, job.items, headers).status
        except urllib3.exceptions.HTTPError:
            status = 0
        job.statuses.append(status)
        self._timeline.note(f"client: sent to {gateway.name}, answered {status}", job.id)
        if status == 202:
            job.accepted_at = time.monotonic()
        else:
            time.sleep(0.2)

    def _read(self, job: JobHistory, number: int, over: threading.Event) -> None:
        """Read a job at one gateway until it is over, and do now and then what else clients do."""
        chance = random.Random(f"{self._name}/{job.id}/{number}")
        gateway = self._fleet.gateways[number]
        rare = (self._read_body, self._send_again, self._end_again, self._read_as_another)
        actions = (self._read_page,) * 8 + rare
        while not over.is_set():
            chance.choice(actions)(job, gateway, chance)
            over.wait(chance.uniform(0.0, 2 * READ_PAUSE_S))

    def _read_as_another(
        self, job: JobHistory, gateway: FleetProcess, chance: random.Random
    ) -> None:
        call = JobCall(gateway.name, time.monotonic())
        headers = key_header(chance.choice((ROAMING_KEY, FLOOD_KEY, UNKNOWN_KEY)))
        answer = self._try_call(gateway, "GET", f"/v1/lots/{job.id}?since_rev=0", headers=headers)
        if answer is not None:
            self._history.read_by_another(job, call, answer.status)

    def _read_page(self, job: JobHistory, gateway: FleetProcess, chance: random.Random) -> None:
        since = chance.randint(0, len(job.positions))
        headers = {"Wait-Ms": str(chance.choice((0, 0, 300, 1000)))} | _job_key(chance)
        call = JobCall(gateway.name, time.monotonic())
        path = f"/v1/lots/{job.id}?since_rev={since}"
        answer = self._try_call(gateway, "GET", path, headers=headers)
        if answer is None:
            return
        if answer.status != 200:
            self._history.read_refused(job, call, answer.status)
            return
        results = json.loads(answer.data)["results"]
        self._timeline.note(
            f"client: {len(results)} results from {since} on at {gateway.name}", job.id
        )
        self._history.read_page(job, since, results, call)

    def _read_body(self, job: JobHistory, gateway: FleetProcess, chance: random.Random) -> None:
        index = chance.randrange(job.items)
        item = item_id(job.id, index)
        call = JobCall(gateway.name, time.monotonic())
        path = f"/v1/items/{job.id}?id={item}"
        answer = self._try_call(gateway, "GET", path, headers=_job_key(chance))
        if answer is not None:
            expected = f"body {index}".encode()
            self._history.read_body(job, call, item, answer.status, answer.data, expected)

    def _send_again(self, job: JobHistory, gateway: FleetProcess, chance: random.Random) -> None:
        if time.monotonic() > job.accepted_at + RESEND_WITHIN_S:
            return
        call = JobCall(gateway.name, time.monotonic())
        try:
            answer = self._fleet.submit(gateway, job.id, job.items, _job_key(chance))
        except urllib3.exceptions.HTTPError:
            return
        self._timeline.note(f"client: sent again to {gateway.name}: {answer.status}", job.id)
        self._history.sent_again(job, call, answer.status)

    def _end(self, job: JobHistory, gateway: FleetProcess, chance: random.Random) -> None:
        path = f"/v1/lots/{job.id}"
        answer = self._try_call(gateway, "DELETE", path, headers=_job_key(chance))
        if answer is not None and answer.status == 200:
            job.ended_at = time.monotonic()
            self._timeline.note(f"client: ended at {gateway.name}", job.id)

    def _end_again(self, job: JobHistory, gateway: FleetProcess, chance: random.Random) -> None:
        if job.ended_at is None:
            return
        call = JobCall(gateway.name, time.monotonic())
        path = f"/v1/lots/{job.id}"
        answer = self._try_call(gateway, "DELETE", path, headers=_job_key(chance))
        if answer is not None:
            self._history.ended_again(job, call, answer.status)


def _job_key(chance: random.Random) -> dict[str, str]:
    """Return the header with any of the keys of the jobs' tenant."""
    return key_header(chance.choice(OFFICE_KEYS))


def _ask_once(gateway: FleetProcess, path: str, headers: dict[str, str]) -> tuple[int, bytes]:
    """Send a request on a new connection; return status and body, status 0 if none came whole."""
    address = (gateway.address, gateway.callers_port)
    caller = http.client.HTTPConnection(*address, timeout=REQUEST_TIMEOUT_S)
    with contextlib.closing(caller):
        try:
            caller.request("POST", path, headers=headers)
            answer = caller.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
