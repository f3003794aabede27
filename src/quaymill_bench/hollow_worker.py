"""A process that carries many hollow nodes, told what to do by JSON lines on standard input.

Each command is answered by one line on standard output. Times are those of the system's
monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

import sys
import time

import msgspec
import psutil

from quaymill.connection.member import MemberState
from quaymill.process.configuration.service import ConfigurationTiming
from quaymill.process.settings import NodeSettings
from quaymill.process.status.service import StatusTiming
from quaymill_bench.hollow import CallTraffic, HollowNode, HollowOptions

UDP_HEADER_BYTES = 28
DEATH_POLL_INTERVAL_S = 0.05


class Command(msgspec.Struct, tag_field="command", tag=True, frozen=True):
    """Base of what a worker is told."""


class StartNodes(Command, frozen=True):
    """Build and start nodes; answered by ``Report``."""

    settings: tuple[NodeSettings, ...]
    load_view: bool = False


class GetReport(Command, frozen=True):
    """Ask what the nodes have used and know."""


class KillNode(Command, frozen=True):
    """Stop the last node without a word; answered by ``Killed``."""


class AwaitDeath(Command, frozen=True):
    """Wait until every node of this worker knows a node as dead; answered by ``DeathKnown``."""

    name: str
    timeout_s: float


class GetGenerationTimes(Command, frozen=True):
    """Ask when a generation came in force on each node; answered by ``GenerationTimes``."""

    generation: int


AnyCommand = StartNodes | GetReport | KillNode | AwaitDeath | GetGenerationTimes


class Report(msgspec.Struct, frozen=True):
    """What the nodes of one worker have used since they started.

    Attributes
    ----------
    udp_bytes
        Sent and received, with the headers of UDP and IP.
    call_bytes
        Sent and received by callers of peers, by type of reply; they pass at the peer, too.
    fewest_live
        The smallest number of live members that a node sees.
    lowest_generation, fewest_machines
        What the node that is furthest behind holds.
    """

    at: float
    cpu_s: float
    resident_bytes: int
    udp_datagrams: int
    udp_bytes: int
    calls: dict[str, int]
    call_bytes: dict[str, int]
    fewest_live: int
    lowest_generation: int
    fewest_machines: int


class Killed(msgspec.Struct, frozen=True):
    """Which node was stopped, and when."""

    name: str
    at: float


class DeathKnown(msgspec.Struct, frozen=True):
    """When the first and the last node of a worker knew; ``None`` if not in time."""

    first: float | None
    last: float | None


class GenerationTimes(msgspec.Struct, frozen=True):
    """When a generation came in force on the nodes that have it."""

    times: tuple[float, ...]


Answer = Report | Killed | DeathKnown | GenerationTimes


class HollowWorker:
    """The nodes of one process."""

    def __init__(self) -> None:
        self._nodes: list[HollowNode] = []
        self._reached: dict[str, dict[int, float]] = {}
        self._process = psutil.Process()

    def carry_out(self, command: Command) -> Answer:
        """Do what one command says."""
        match command:
            case StartNodes():
                self._start(command)
                return self._report()
            case KillNode():
                return self._kill()
            case AwaitDeath():
                return self._await_death(command)
            case GetGenerationTimes():
                return self._generation_times(command.generation)
        return self._report()

    def _start(self, command: StartNodes) -> None:
        timing = ConfigurationTiming()
        options = HollowOptions(timing, StatusTiming(), command.load_view)
        self._nodes = [HollowNode(settings, options) for settings in command.settings]
        for node in self._nodes:
            reached = self._reached.setdefault(node.settings.name, {})
            node.holder.subscribe(
                lambda configuration, reached=reached: reached.setdefault(
                    configuration.generation, time.monotonic()
                )
            )
            node.start()

    def _report(self) -> Report:
        times = self._process.cpu_times()
        traffics = [node.membership.traffic for node in self._nodes]
        datagrams = sum(each.sent_datagrams + each.received_datagrams for each in traffics)
        payload = sum(each.sent_bytes + each.received_bytes for each in traffics)
        calls: dict[str, CallTraffic] = {}
        for node in self._nodes:
            for kind, made in list(node.peer_client.traffic.items()):
                total = calls.setdefault(kind, CallTraffic())
                total.calls += made.calls
                total.sent_bytes += made.sent_bytes + made.received_bytes
        return Report(
            at=time.monotonic(),
            cpu_s=times.user + times.system,
            resident_bytes=self._process.memory_info().rss,
            udp_datagrams=datagrams,
            udp_bytes=payload + datagrams * UDP_HEADER_BYTES,
            calls={kind: total.calls for kind, total in calls.items()},
            call_bytes={kind: total.sent_bytes for kind, total in calls.items()},
            fewest_live=min((len(node.membership.live()) for node in self._nodes), default=0),
            lowest_generation=min((node.generation for node in self._nodes), default=0),
            fewest_machines=min(
                (len(node.machines.current().machines) for node in self._nodes), default=0
            ),
        )

    def _kill(self) -> Killed:
        node = self._nodes.pop()
        node.stop()
        return Killed(node.settings.name, time.monotonic())

    def _await_death(self, command: AwaitDeath) -> DeathKnown:
        deadline = time.monotonic() + command.timeout_s
        first = None
        waiting = list(self._nodes)
        while waiting and time.monotonic() < deadline:
            still = [node for node in waiting if not _knows_dead(node, command.name)]
            if len(still) < len(self._nodes) and first is None:
                first = time.monotonic()
            waiting = still
            time.sleep(DEATH_POLL_INTERVAL_S)
        return DeathKnown(first, None if waiting else time.monotonic())

    def _generation_times(self, generation: int) -> GenerationTimes:
        times = []
        for node in self._nodes:
            reached = self._reached[node.settings.name]
            at = [when for held, when in list(reached.items()) if held >= generation]
            if at:
                times.append(min(at))
        return GenerationTimes(tuple(times))


def _knows_dead(node: HollowNode, name: str) -> bool:
    return any(
        member.name == name and member.state is MemberState.DEAD
        for member in node.membership.members()
    )


def main() -> None:
    """Serve commands until standard input ends; the nodes end with the process."""
    worker = HollowWorker()
    decoder = msgspec.json.Decoder(AnyCommand)
    for line in sys.stdin.buffer:
        answer = worker.carry_out(decoder.decode(line))
        sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
