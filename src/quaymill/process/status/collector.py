"""Composes the status document from this node's state and the reports of reader nodes."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from quaymill.connection.configuration_messages import (
    ConfigurationReport,
    GetConfigurationReport,
)
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import PeerClient
from quaymill.process.membership.membership import Membership
from quaymill.process.membership.ranking import reader_nodes
from quaymill.version.status import (
    NodeStatus,
    ServingStatus,
    StatusProblem,
    StatusRows,
    ZoneStatus,
)

REPORT_TIMEOUT_S = 1.0
MAX_LISTED_NODES = 64
MAX_LISTED_PROBLEMS = 50

RowProvider = Callable[[], StatusRows]


class StatusCollector:
    """Collects reports from one reader node of each zone, and composes the status from them.

    Parameters
    ----------
    local_report
        Returns the report of this node.
    """

    def __init__(
        self,
        membership: Membership,
        peer_client: PeerClient,
        local_report: Callable[[], ConfigurationReport],
    ) -> None:
        self._membership = membership
        self._peer_client = peer_client
        self._local_report = local_report
        self._reports: dict[str, ConfigurationReport] = {}
        self._providers: list[RowProvider] = []

    def add_provider(self, provider: RowProvider) -> None:
        """Add a function that provides rows of the status."""
        self._providers.append(provider)

    def collect(self) -> None:
        """Fetch the report of one reader of each zone; an unresponsive zone keeps its last one."""
        live = self._membership.live()
        zones = {member.zone for member in live}
        self._reports = {zone: kept for zone, kept in self._reports.items() if zone in zones}
        for zone in zones:
            for reader in reader_nodes(live, zone):
                report = self._report_of(reader)
                if report is not None:
                    self._reports[zone] = report
                    break

    def compose(self) -> ServingStatus:
        """Return the status document without token and writer."""
        local_report = self._local_report()
        reports = {
            local_report.node: local_report,
            **{report.node: report for report in self._reports.values()},
        }
        generations = Counter[str]()
        for report in reports.values():
            for held in (*report.held_in_zone,):
                generations[held.node] = max(generations[held.node], held.generation)
        members = self._membership.members()
        nodes = tuple(
            NodeStatus(
                member.name,
                member.zone,
                MemberState.DRAINING
                if member.draining and member.state is not MemberState.DEAD
                else member.state,
                max(generations[member.name], member.configuration_generation),
            )
            for member in members
        )
        highest = max((node.generation for node in nodes), default=0)
        rows = [provider() for provider in self._providers]
        return ServingStatus(
            written_unix_s=time.time(),
            generation=highest,
            zones=_zones(nodes, highest),
            nodes=_listed(nodes, highest),
            replicas=tuple(replica for part in rows for replica in part.replicas),
            problems=(*_problems(reports.values()), *(p for part in rows for p in part.problems))[
                :MAX_LISTED_PROBLEMS
            ],
            notes=tuple(note for part in rows for note in part.notes),
        )

    def _report_of(self, reader: Member) -> ConfigurationReport | None:
        if reader.name == self._membership.local().name:
            return self._local_report()
        reply = self._peer_client.call(
            reader.peer, GetConfigurationReport(), ConfigurationReport, REPORT_TIMEOUT_S
        )
        return reply if isinstance(reply, ConfigurationReport) else None


def without_load(status: ServingStatus) -> ServingStatus:
    """Return the document without fields that change constantly, to detect real changes."""
    return msgspec.structs.replace(
        status,
        written_unix_s=0.0,
        replicas=tuple(
            msgspec.structs.replace(replica, running=0, waiting=0) for replica in status.replicas
        ),
        notes=(),
    )


def _problems(reports: Iterable[ConfigurationReport]) -> tuple[StatusProblem, ...]:
    """Return each distinct problem once, with the first node that reports it."""
    found: dict[tuple[str, str], StatusProblem] = {}
    for report in reports:
        for problem in report.problems:
            found.setdefault(
                (problem.subject, problem.reason),
                StatusProblem(
                    report.node,
                    problem.subject,
                    problem.reason,
                    problem.remedy,
                    problem.since_unix_s,
                ),
            )
    return tuple(found.values())


def _zones(nodes: tuple[NodeStatus, ...], highest: int) -> tuple[ZoneStatus, ...]:
    zones = sorted({node.zone for node in nodes})
    return tuple(
        ZoneStatus(
            zone,
            live=sum(node.zone == zone and _is_live(node) for node in nodes),
            draining=sum(
                node.zone == zone and node.state is MemberState.DRAINING for node in nodes
            ),
            dead=sum(node.zone == zone and node.state is MemberState.DEAD for node in nodes),
            current=sum(
                node.zone == zone and _is_live(node) and node.generation == highest
                for node in nodes
            ),
        )
        for zone in zones
    )


def _listed(nodes: tuple[NodeStatus, ...], highest: int) -> tuple[NodeStatus, ...]:
    """Return the nodes to list, abnormal ones first; in a large fleet only abnormal ones."""
    ordered = sorted(nodes, key=lambda node: (_is_normal(node, highest), node.name))
    if len(ordered) > MAX_LISTED_NODES:
        ordered = [node for node in ordered if not _is_normal(node, highest)]
    return tuple(ordered[:MAX_LISTED_NODES])


def _is_live(node: NodeStatus) -> bool:
    return node.state in (MemberState.ALIVE, MemberState.SUSPECT)


def _is_normal(node: NodeStatus, highest: int) -> bool:
    return node.state is MemberState.ALIVE and node.generation == highest
