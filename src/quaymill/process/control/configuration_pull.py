"""Pulls newer configurations from peers, step by step and part by part.

A gateway that is behind requests the step after its own version from the nearest peer that is
ahead. A step is sent in parts; a part that does not arrive in time is requested again, also from
another peer, and what has arrived is kept. Of a region only a few gateways transfer a large step
from another region, and the others wait until one of these has it. Each gateway sends large steps
to a few others at a time, so that the number of gateways that can send them grows quickly.
"""

from __future__ import annotations

import enum
import math
import random
import threading

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.control_messages import (
    ANY_VERSION,
    ConfigurationPart,
    ControlState,
    PullConfiguration,
    PullControl,
)
from quaymill.connection.member import Member, MemberState
from quaymill.connection.peer_link import PeerClient, PeerFailure, PeerRefusal
from quaymill.connection.peer_server import PeerServer
from quaymill.process.control.active_configuration import ActiveConfiguration
from quaymill.process.control.configuration_steps import EncodedStep
from quaymill.process.membership.membership import Membership
from quaymill.process.membership.ranking import rank_nodes
from quaymill.process.regions import RegionMap

CHECK_INTERVAL_S = 0.5
SMALL_BYTES = 4 * 1024
"""Maximum size of a small step, which is sent in one part, to anybody and at any time."""
MIN_PART_BYTES = 1024
MAX_PART_BYTES = 16 * 1024
SMALL_TIMEOUT_S = 0.4
PART_TIMEOUT_S = 0.8
MAX_TIMEOUT_S = 1.6
"""Upper bound of the timeouts, which double with each failure in a row."""
MAX_DOUBLINGS = 4
RETRY_UNANSWERED_S = 3.0
"""Time for which a peer that did not answer is avoided while there are others."""
RETRY_BUSY_S = 0.1
TRANSFERS_AT_ONCE = 4
"""Gateways that receive a large step from one gateway at a time."""
TRANSFER_IDLE_S = 0.3
"""Time without a request after which a transfer no longer counts as in progress."""
RELAYS_PER_REGION = 2
"""Gateways of a region that transfer a large step from another region at a time."""
RELAY_WAIT_S = 0.4
"""Time after which the next gateways in rank also transfer it."""
MAX_RELAY_WAIT_S = 1.6


class _Next(enum.Enum):
    """What follows a request: another one at once, or after a wait."""

    AT_ONCE = enum.auto()
    WAIT = enum.auto()


@attrs.define
class _Transfer:
    """The step that is being received.

    Attributes
    ----------
    from_version
        Version in force here when the transfer began.
    peer
        Name of the peer that sent the last part.
    began
        Time by ``boot_clock`` at which the step became known.
    took_s
        Duration of all requests so far.
    """

    from_version: int
    digest: str = ""
    total_bytes: int = 0
    data: bytes = b""
    peer: str = ""
    began: float = 0.0
    took_s: float = 0.0

    @property
    def is_large(self) -> bool:
        """Whether the step is known to be a large one."""
        return self.total_bytes > SMALL_BYTES

    def begin(self, part: ConfigurationPart) -> None:
        """Begin to receive the step that a part belongs to."""
        self.digest, self.total_bytes, self.data = part.digest, part.total_bytes, b""
        self.began = boot_clock.now()


class _SendSlots:
    """Admits a few receivers of large steps at a time; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen_at_by_receiver: dict[str, float] = {}

    def admit(self, receiver: str, *, is_last: bool) -> bool:
        """Return whether a part may be sent; the last part frees the receiver's slot."""
        now = boot_clock.now()
        with self._lock:
            self._seen_at_by_receiver = {
                name: at
                for name, at in self._seen_at_by_receiver.items()
                if now - at < TRANSFER_IDLE_S
            }
            in_progress = self._seen_at_by_receiver
            if receiver not in in_progress and len(in_progress) >= TRANSFERS_AT_ONCE:
                return False
            if is_last:
                in_progress.pop(receiver, None)
            else:
                in_progress[receiver] = now
            return True


class ConfigurationPull:
    """One thread that pulls newer configurations, and the handler that answers other gateways."""

    def __init__(
        self,
        active: ActiveConfiguration,
        membership: Membership,
        client: PeerClient,
        server: PeerServer,
        regions: RegionMap,
    ) -> None:
        self._active = active
        self._membership = membership
        self._client = client
        self._regions = regions
        self._transfer = _Transfer(0)
        self._part_bytes = MAX_PART_BYTES
        self._avoid_until_by_peer: dict[str, float] = {}
        self._failures = 0
        self._slots = _SendSlots()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        server.register(PullConfiguration, self._answer)

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name="configuration-pull", daemon=True).start()

    def stop(self) -> None:
        """Stop pulling."""
        self._stopping.set()
        self._wake.set()

    def wake(self) -> None:
        """Check at once whether a peer is ahead."""
        self._wake.set()

    # Receiving.

    def _run(self) -> None:
        while not self._stopping.is_set():
            if self.pull_once() is _Next.WAIT:
                is_behind = bool(self._peers_ahead())
                self._wake.wait(RETRY_BUSY_S if is_behind else CHECK_INTERVAL_S)
                self._wake.clear()

    def pull_once(self) -> _Next:
        """Request the next part from a peer that is ahead, if there is one."""
        self._begin_transfer()
        peer = self._choose_peer()
        if peer is None or not self._may_transfer(peer):
            return _Next.WAIT
        transfer = self._transfer
        message = PullConfiguration(
            sender=self._membership.local().name,
            version=transfer.from_version,
            digest=transfer.digest,
            offset=len(transfer.data),
            max_bytes=self._part_bytes if transfer.is_large else SMALL_BYTES,
        )
        began = boot_clock.now()
        reply = self._client.call(peer.peer, message, ConfigurationPart, self._timeout_s(peer))
        took_s = boot_clock.now() - began
        if isinstance(reply, ConfigurationPart) and reply.version > transfer.from_version:
            transfer.took_s += took_s
            return self._receive(peer, reply)
        return self._handle_failure(peer, reply, took_s)

    def _timeout_s(self, peer: Member) -> float:
        first_s = PART_TIMEOUT_S if self._transfer.is_large else SMALL_TIMEOUT_S
        timeout_s = min(MAX_TIMEOUT_S, first_s * 2 ** min(self._failures, MAX_DOUBLINGS))
        return timeout_s + self._regions.travel_s(peer)

    def _begin_transfer(self) -> None:
        """Drop a transfer that another source has overtaken."""
        version = self._active.routes.version
        if self._transfer.from_version != version:
            self._transfer = _Transfer(version)

    def _receive(self, peer: Member, part: ConfigurationPart) -> _Next:
        """Add a part to the transfer, and apply the step when it is complete."""
        transfer = self._transfer
        self._failures = 0
        self._part_bytes = min(MAX_PART_BYTES, 2 * self._part_bytes)
        transfer.peer = peer.name
        if part.digest != transfer.digest:
            transfer.begin(part)
        if part.offset == len(transfer.data):
            transfer.data += part.data
        if len(transfer.data) >= part.total_bytes:
            self._apply(peer, part)
        return _Next.AT_ONCE

    def _apply(self, peer: Member, last_part: ConfigurationPart) -> None:
        """Put the version of a complete transfer in force; avoid the peer if that fails."""
        transfer, self._transfer = self._transfer, _Transfer(self._transfer.from_version)
        step = EncodedStep.of(last_part.base_version, last_part.version, transfer.data)
        if step.digest != last_part.digest:
            log_message("control:configuration_unread", source=peer.name, reason="wrong digest")
        else:
            self._active.offer_step(step, f"peer {peer.name}", transfer.took_s)
        if self._active.routes.version < step.version:
            self._avoid(peer, RETRY_UNANSWERED_S)

    def _handle_failure(
        self, peer: Member, reply: ConfigurationPart | PeerFailure, took_s: float
    ) -> _Next:
        """Avoid a peer that did not send a part, and request less if its answer did not arrive."""
        if isinstance(reply, PeerRefusal):
            if not reply.retry_after_s:
                self._pull_whole(peer)
            self._avoid(peer, reply.retry_after_s or RETRY_UNANSWERED_S)
            return _Next.AT_ONCE
        self._avoid(peer, RETRY_UNANSWERED_S)
        self._failures += 1
        if isinstance(reply, ConfigurationPart):
            reason = "it has nothing newer"
        else:
            reason = reply.reason
            self._part_bytes = max(MIN_PART_BYTES, self._part_bytes // 2)
        log_message(
            "control:pull_failed",
            peer=peer.name,
            version=peer.configuration_generation,
            reason=reason,
            took_s=round(took_s, 3),
        )
        return _Next.AT_ONCE

    def _pull_whole(self, peer: Member) -> None:
        """Request the whole document from a gateway of an older build, which sends no steps."""
        message = PullControl(self._active.routes.version, ANY_VERSION, ANY_VERSION)
        began = boot_clock.now()
        reply = self._client.call(peer.peer, message, ControlState, MAX_TIMEOUT_S)
        if isinstance(reply, ControlState) and reply.configuration is not None:
            source = f"peer {peer.name}"
            self._active.offer_document(reply.configuration, source, boot_clock.now() - began)

    def _avoid(self, peer: Member, for_s: float) -> None:
        self._avoid_until_by_peer[peer.name] = boot_clock.now() + for_s

    def _peers_ahead(self) -> list[Member]:
        local = self._membership.local()
        version = self._active.routes.version
        return [
            member
            for member in self._membership.members()
            if member.configuration_generation > version
            and member.state is not MemberState.DEAD
            and member.name != local.name
        ]

    def _choose_peer(self) -> Member | None:
        """Return the nearest peer that is ahead and not avoided; any one after a failure."""
        now = boot_clock.now()
        zone = self._membership.local().zone
        ahead = [
            member
            for member in self._peers_ahead()
            if self._avoid_until_by_peer.get(member.name, -math.inf) <= now
        ]
        if not ahead:
            return None
        random.shuffle(ahead)
        return min(
            ahead,
            key=lambda member: (
                member.state is MemberState.SUSPECT,
                0 if self._failures else self._regions.distance(zone, member.zone),
                member.name != self._transfer.peer,
            ),
        )

    def _may_transfer(self, peer: Member) -> bool:
        """Return whether a transfer may go on with this peer, which may be in another region."""
        transfer = self._transfer
        local = self._membership.local()
        if not transfer.is_large or not self._regions.is_remote(peer.zone):
            return True
        region = self._regions.region_of(local.zone)
        candidates = [
            member
            for member in self._membership.live()
            if not member.has_disk and self._regions.region_of(member.zone) == region
        ]
        names = [member.name for member in rank_nodes(transfer.digest, candidates)]
        rank = names.index(local.name) if local.name in names else 0
        wait_s = min(MAX_RELAY_WAIT_S, RELAY_WAIT_S * (rank // RELAYS_PER_REGION))
        return boot_clock.now() >= transfer.began + wait_s

    # Sending.

    def _answer(self, message: PullConfiguration) -> ConfigurationPart | PeerRefusal:
        """Answer with a part of the step after the sender's version."""
        step = self._active.steps.next_after(message.version)
        if step is None:
            return ConfigurationPart()
        offset = message.offset if message.digest == step.digest else 0
        data = step.data[offset : offset + max(MIN_PART_BYTES, message.max_bytes)]
        if len(step.data) > SMALL_BYTES:
            if message.digest != step.digest:
                # Tells the size only: the sender decides when and where to transfer a large step.
                data = b""
            elif not self._slots.admit(
                message.sender, is_last=offset + len(data) >= len(step.data)
            ):
                return PeerRefusal("too many transfers are in progress", RETRY_BUSY_S)
        return ConfigurationPart(
            step.base_version, step.version, step.digest, len(step.data), offset, data
        )
