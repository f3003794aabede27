"""How a replica comes to its group: the first formation, or admission by the leader.

The first membership of a group is made once, by an atomic create of an object of the
platform; whoever comes second reads what the first made. From then on it is known from the
disk or from peers, so that a start does not need the platform. A replica that is not in the
formation was empty when it came, and asks the leader to join.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable
from typing import Any, Protocol

import msgspec
import xxhash
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.job_messages import NotLeader, StoreUnavailable
from quaymill.connection.log_messages import (
    GetFormation,
    GroupKnowledge,
    GroupMembership,
    JoinAnswer,
    JoinGroup,
    JoinState,
    ReplicaAddress,
)
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.process.job_store.membership_change import GROUP_SIZE
from quaymill.process.job_store.replica import Replica, Role

STORE_GROUPS = "storegroups"
FIRST_RETRY_S = 0.05
LONGEST_RETRY_S = 1.0
IDLE_INTERVAL_S = 1.0
NOT_NEEDED_INTERVAL_S = 5.0
PEER_TIMEOUT_S = 1.0
JOIN_TIMEOUT_S = 6.0
WAIT_FOR_THREE_ZONES_S = 5.0
SILENT_LEADER_ELECTION_TIMEOUTS = 5.0
THREAD_STOP_TIMEOUT_S = 5.0


class MembershipView(Protocol):
    """What the job store needs of the nodes' membership."""

    def live(self) -> Iterable[Member]:
        """Return the nodes that are believed to be up, this one included."""


class Platform(Protocol):
    """What the job store needs of the platform's client."""

    def get(self, plural: str, name: str) -> Any:
        """Read an object; the result has ``spec`` if it exists."""

    def create(self, plural: str, name: str, spec: Any) -> Any:
        """Create an object unless one of that name exists."""


class GroupEntry:
    """Brings one replica into its group, and back into it when it was removed.

    Parameters
    ----------
    local
        This replica's own address.
    """

    def __init__(
        self,
        replica: Replica,
        local: ReplicaAddress,
        client: PeerClient,
        platform: Platform,
        membership: MembershipView,
    ) -> None:
        self._replica = replica
        self._local = local
        self._client = client
        self._platform = platform
        self._membership = membership
        self._formation = replica.storage.membership(0)
        self._first_try_s = boot_clock.now()
        self._leader_hint: Endpoint | None = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"group-{replica.group}-entry", daemon=True
        )

    def start(self) -> None:
        """Begin to look for the group."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        self._thread.join(THREAD_STOP_TIMEOUT_S)

    def handle_get(self, message: GetFormation) -> GroupKnowledge:
        """Tell a peer what this replica knows of its group."""
        leader = self._replica.leader_endpoint() or self._leader_hint
        return GroupKnowledge(replica=self._local, formation=self._formation, leader=leader)

    def leader_hint(self) -> Endpoint | None:
        """Return where the leader was last, for a replica that is not in the group."""
        return self._replica.leader_endpoint() or self._leader_hint

    def _run(self) -> None:
        wait_s = 0.0
        retry_s = FIRST_RETRY_S
        while not self._stopping.wait(wait_s):
            if self._is_settled():
                wait_s = IDLE_INTERVAL_S
                retry_s = FIRST_RETRY_S
                continue
            wait_s = retry_s
            retry_s = min(2 * retry_s, LONGEST_RETRY_S)
            if self._try_to_enter() is JoinState.NOT_NEEDED:
                wait_s = NOT_NEEDED_INTERVAL_S

    def _try_to_enter(self) -> JoinState | None:
        if self._formation is None:
            self._formation = self._find_or_make_formation()
        if self._formation is None:
            return None
        founder = self._formation.is_voter(self._local.identity)
        if founder and self._replica.membership is None:
            self._take_place(self._formation)
            return JoinState.VOTER
        return self._join()

    def _is_settled(self) -> bool:
        """Return whether this replica is in its group as far as it can tell."""
        replica = self._replica
        with replica.lock:
            if replica.role is Role.STOPPED:
                return True
            if replica.membership is None:
                return False
            silent_s = boot_clock.now() - replica.leader_contact_s
            limit_s = SILENT_LEADER_ELECTION_TIMEOUTS * replica.settings.election_timeout_s
            return replica.role is Role.LEADER or silent_s < limit_s

    def _take_place(self, formation: GroupMembership) -> None:
        replica = self._replica
        with replica.storage.lock:
            replica.storage.save_membership(0, formation)
            replica.storage.commit()
            replica.set_membership(formation)

    def _find_or_make_formation(self) -> GroupMembership | None:
        knowledge = self._ask_peers()
        for known in knowledge:
            self._leader_hint = known.leader or self._leader_hint
            if known.formation:
                return known.formation
        found = self._read_formation()
        if found:
            return found
        founders = self._choose_founders([known.replica for known in knowledge])
        if founders is None:
            return None
        name = self._object_name()
        self._platform.create(STORE_GROUPS, name, GroupMembership(founders))
        log_message("store:group_formed", group=self._replica.group)
        # Whether this create, an earlier one or another node's took effect, what counts is
        # the object that is there now.
        return self._read_formation()

    def _read_formation(self) -> GroupMembership | None:
        found = self._platform.get(STORE_GROUPS, self._object_name())
        spec = getattr(found, "spec", None)
        if spec is None:
            return None
        return msgspec.json.decode(spec, type=GroupMembership)

    def _object_name(self) -> str:
        return f"group-{self._replica.group}"

    def _disk_members(self) -> list[Member]:
        return [
            member
            for member in self._membership.live()
            if member.has_disk and member.name != self._local.node
        ]

    def _ask_peers(self) -> list[GroupKnowledge]:
        question = GetFormation(group=self._replica.group)
        answers = [GroupKnowledge(replica=self._local)]
        for member in self._disk_members():
            answer = self._client.call(member.peer, question, GroupKnowledge, PEER_TIMEOUT_S)
            if isinstance(answer, GroupKnowledge):
                answers.append(answer)
        return answers

    def _choose_founders(
        self, candidates: list[ReplicaAddress]
    ) -> tuple[ReplicaAddress, ...] | None:
        """Choose three replicas in three zones; in fewer only after a wait."""
        group = self._replica.group
        ranked = sorted(
            candidates, key=lambda x: xxhash.xxh64_intdigest(f"{group}/{x.node}".encode())
        )
        chosen: list[ReplicaAddress] = []
        for candidate in ranked:
            if all(candidate.zone != other.zone for other in chosen):
                chosen.append(candidate)
        waited_s = boot_clock.now() - self._first_try_s
        if len(chosen) < GROUP_SIZE and waited_s >= WAIT_FOR_THREE_ZONES_S:
            chosen += [candidate for candidate in ranked if candidate not in chosen]
        return tuple(chosen[:GROUP_SIZE]) if len(chosen) >= GROUP_SIZE else None

    def _join(self) -> JoinState | None:
        """Ask the leader, wherever it is, to admit this replica."""
        message = JoinGroup(group=self._replica.group, replica=self._local)
        endpoints = [member.peer for member in self._disk_members()]
        if self._leader_hint:
            endpoints.insert(0, self._leader_hint)
        for endpoint in endpoints:
            answer = self._client.call(
                endpoint, message, JoinAnswer | NotLeader | StoreUnavailable, JOIN_TIMEOUT_S
            )
            if isinstance(answer, JoinAnswer):
                self._leader_hint = endpoint
                return answer.state
            if isinstance(answer, NotLeader):
                self._leader_hint = answer.leader
        return None
