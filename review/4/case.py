"""Gateways restart in turn, then storage machines are emptied one after the other and taken away."""

import base64
import json
import secrets
import signal
import socket
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))
import rig  # noqa: E402

JOBS = 90
ITEMS = 1
READ_AT_ONCE = 15
TRIES = 9
PATIENCE_S = 1.5
"""Clients that don't ask to be held wait for 1.5 s."""
SETTLE_S = 6.0


class SilentMachine:
    """An address that says nothing: connections to it hang, and datagrams are lost."""

    def __init__(self, address, port):
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind((address, port))
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((address, port))
        self.listener.listen(0)
        self.waiting = []
        while True:
            filler = socket.socket()
            filler.settimeout(0.3)
            self.waiting.append(filler)
            try:
                filler.connect((address, port))
            except TimeoutError:
                return


def submit(record, gateway, job_id):
    headers = {"Model": "m", "Token-Count": "100,40", "Prompt-Prefix": f"{job_id}:100"}
    item = {"id": f"{job_id}-0", "path": "/lots/x/1", "headers": headers, "tokens": 140}
    item["body"] = base64.b64encode(b"prompt").decode()
    body = json.dumps({"items": [item]}).encode()
    headers = {"Request-Id": job_id, "Content-Type": "application/json"}
    status, _ = gateway.call("POST", "/lots/x", body, headers)
    record(f"job {job_id} sent to {gateway.name}: {status}")
    return status == 202


def can_read(record, gateways, job_id):
    """Return whether a job can be read whole, again after every failure."""
    for number in range(TRIES):
        gateway = gateways[number % len(gateways)]
        began = time.monotonic()
        status, body = gateway.call("GET", f"/v1/lots/{job_id}?since_rev=0", timeout_s=PATIENCE_S)
        took_s = time.monotonic() - began
        record(f"job {job_id} read at {gateway.name}: {status} after {took_s:.2f} s")
        if status == 200 and len(json.loads(body)["results"]) == ITEMS:
            return True
        time.sleep(0.2)
    return False


def read_all(record, gateways, jobs):
    """Return the jobs that can't be read."""
    with ThreadPoolExecutor(READ_AT_ONCE) as pool:
        found = pool.map(lambda job_id: can_read(record, gateways, job_id), jobs)
        return [job_id for job_id, readable in zip(jobs, found, strict=True) if not readable]


def play(fleet, record, trouble):
    lots = rig.route(
        "lots", "/lots/", "batch", "engine",
        slo_ms=400, due_ms=20000, max_wait_s=60, max_attempts=3, timeout_ms=30000,
    )  # fmt: skip
    engine = {"slots": 19, "kv_capacity_tokens": 171000}
    service = {"name": "engine", "health_path": "/health", "max_conns": 300, "engine": engine}
    fleet.store.put("config", "main", rig.configuration([lots], [service]))
    for number, zone in enumerate(rig.ZONES):
        rig.Replica(fleet.store, record, f"engine-{number}", "engine", zone, slots=19)
        fleet.add("gateway", f"edge-{number}", zone)
        fleet.add("job-storage", f"storage-old-{number}", zone)
    fleet.start()
    old = fleet.storage_nodes
    for number, zone in enumerate(rig.ZONES):
        fleet.add("job-storage", f"storage-new-{number}", zone).start()
    time.sleep(SETTLE_S)
    jobs = [secrets.token_hex(8) for _ in range(JOBS)]
    gateways = fleet.gateways
    for number, job_id in enumerate(jobs):
        if not submit(record, gateways[number % len(gateways)], job_id):
            raise rig.CannotRun(f"job {job_id} was not accepted")
    time.sleep(5.0)
    if read_all(record, gateways, jobs):
        raise rig.CannotRun("not all jobs are done")
    for gateway in gateways:
        gateway.signal(signal.SIGTERM)
        gateway.process.wait()
        gateway.start()
        fleet.wait_ready(gateway)
    time.sleep(SETTLE_S)
    silent = []
    for process in old if trouble else []:
        record(f"the operator asks that {process.name} is emptied")
        fleet.store.put("retirements", process.name, {"duration_s": 10})
        until = time.monotonic() + 10.0
        while (fleet.store.status_of("retirements", process.name) or {}).get("state") != "succeeded":
            if time.monotonic() > until:
                raise rig.CannotRun(f"{process.name} is not emptied")
            time.sleep(0.05)
        record(f"{process.name} says succeeded and is taken away")
        process.kill()
        silent.append(SilentMachine(process.address, fleet.peer_port))
        time.sleep(1.0)
    time.sleep(SETTLE_S)
    return [
        f"LOST: job {job_id} can't be read: none of {TRIES} reads was answered within {PATIENCE_S} s"
        for job_id in read_all(record, gateways, jobs)
    ]


rig.main(Path(__file__).parent, play)
