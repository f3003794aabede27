"""Disk nodes as processes that are frozen (SIGSTOP), thawed and killed."""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from job_store_cluster import Caller, wait_until
from quaymill.connection import job_messages as m
from quaymill.connection.endpoint import Endpoint, LinkFilter
from quaymill.connection.peer_link import PeerClient, PeerRefusal
from quaymill.process.job_store.client import JobStoreClient
from quaymill_bench.ports import free_ports
from quaymill_bench.store_node import StaticMembership, node_settings


class FrozenProcessTest(unittest.TestCase):
    """Three processes; the leader of the moment is the one to freeze."""

    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(prefix="job-store-"))
        self.addCleanup(shutil.rmtree, self.folder)
        self.ports = dict(zip("abc", free_ports(3), strict=True))
        self.processes = {}
        self.addCleanup(self.end_processes)
        for name in self.ports:
            self.start_process(name)
        self.membership = StaticMembership(self.ports)
        self.peer_client = PeerClient(LinkFilter())
        settings = node_settings("a", self.ports["a"], self.folder)
        client = JobStoreClient(settings, self.membership, self.peer_client)
        self.caller = Caller(client)

    def start_process(self, name):
        nodes = [f"{node}:{port}" for node, port in self.ports.items()]
        command = [
            sys.executable,
            "-m",
            "quaymill_bench.store_node",
            name,
            str(self.folder),
            *nodes,
        ]
        self.processes[name] = subprocess.Popen(command)

    def end_processes(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()

    def ask_directly(self, name, message, reply_type, timeout_s=5.0):
        endpoint = Endpoint("127.0.0.1", self.ports[name])
        answers = reply_type | m.NotLeader | m.StoreUnavailable
        return self.peer_client.call(endpoint, message, answers, timeout_s)

    def leader(self, besides=""):
        """Return the node that answers a read; a read is answered by the leader alone."""

        def answering():
            for name in self.ports:
                if name != besides:
                    answer = self.ask_directly(name, m.ListJobs(0, "t"), m.JobList)
                    if isinstance(answer, m.JobList):
                        return name
            return None

        return wait_until(answering, "a leader")

    def test_thawed_old_leader_answers_no_stale_read_and_takes_no_write(self):
        job_id = self.caller.job(10)
        leased = self.caller.lease(10)
        old = self.leader()
        self.processes[old].send_signal(signal.SIGSTOP)
        self.leader(besides=old)
        self.caller.complete(leased)
        with ThreadPoolExecutor(2) as pool:
            read = pool.submit(self.ask_directly, old, m.GetJob(0, job_id), m.JobRecord)
            cancel = pool.submit(self.ask_directly, old, m.CancelJob(0, job_id), m.JobRecord)
            self.wait_for_queued_requests(old, 2)
            self.processes[old].send_signal(signal.SIGCONT)
            answers = [read.result(), cancel.result()]
        for answer in answers:
            refused = isinstance(answer, m.NotLeader | m.StoreUnavailable | PeerRefusal)
            fresh = isinstance(answer, m.JobRecord) and answer.state is m.JobState.COMPLETED
            self.assertTrue(refused or fresh, answer)
        self.assertIs(m.JobState.COMPLETED, self.caller.record(job_id).state)

    def wait_for_queued_requests(self, name, count):
        """Wait until the frozen process has unread bytes on that many connections."""
        port = f":{self.ports[name]:04X}"

        def queued():
            lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
            unread = [x for x in lines if x[1].endswith(port) and x[4].split(":")[1] != "00000000"]
            return len([x for x in unread if x[3] == "01"]) >= count

        wait_until(queued, "the requests lie in the frozen process's sockets")

    def test_node_killed_at_any_moment_loses_nothing(self):
        """Kill the leader again and again under load; each item ends once."""
        job_id = self.caller.job(300)
        with ThreadPoolExecutor(2) as pool:
            workers = [pool.submit(self.work, f"w{n}") for n in range(2)]
            for _ in range(3):
                victim = self.leader()
                self.processes[victim].kill()
                self.processes[victim].wait()
                self.leader(besides=victim)
                self.start_process(victim)
            done = [worker.result() for worker in workers]
        self.assertEqual(300, sum(done))
        record = self.caller.record(job_id)
        self.assertEqual((m.JobState.COMPLETED, 300), (record.state, record.completed))

    def work(self, worker):
        recorded = 0
        while True:
            leased = self.caller.lease(5, worker=worker, lease_s=2.0)
            if not leased:
                jobs = self.caller.ask(m.ListJobs(0, "t"), m.JobList).jobs
                if all(job.state is m.JobState.COMPLETED for job in jobs):
                    return recorded
                continue
            recorded += self.caller.complete(leased).count(m.CompletionVerdict.RECORDED)
