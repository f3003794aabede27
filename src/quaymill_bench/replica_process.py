"""Runs a replica as a process of its own, so that it can be killed by its id.

The process prints the replica's entry for the platform's store as one line of JSON, and serves
until it is killed.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys

import attrs
import urllib3

from quaymill_standins.fleet_replica import REPORT_PATH, FleetReplica, ReplicaBehaviour


@attrs.frozen
class ReplicaProcess:
    """A running replica.

    Attributes
    ----------
    entry
        What stands of it in the platform's store.
    """

    id: str
    entry: dict[str, object]
    process: subprocess.Popen

    @classmethod
    def start(cls, replica_id: str, service: str, zone: str, event_s: float) -> ReplicaProcess:
        """Start a replica whose events take ``event_s`` seconds each."""
        arguments = [replica_id, service, zone, str(event_s)]
        process = subprocess.Popen(
            [sys.executable, "-m", "quaymill_bench.replica_process", *arguments],
            stdout=subprocess.PIPE,
        )
        return cls(replica_id, json.loads(process.stdout.readline()), process)

    def running(self) -> int:
        """Return how many requests it runs."""
        url = f"http://{self.entry['address']}{REPORT_PATH}"
        return urllib3.request("GET", url, timeout=1.0, retries=False).json()["running"]

    def kill(self) -> None:
        """End it at once."""
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def main() -> None:
    """Serve as the arguments tell: id, service, zone, seconds for each event."""
    replica_id, service, zone, event_s = sys.argv[1:]
    replica = FleetReplica(replica_id, service, zone)
    replica.behaviour = ReplicaBehaviour(event_s=float(event_s))
    replica.start()
    print(json.dumps(replica.entry()), flush=True)
    signal.pause()


if __name__ == "__main__":
    main()
