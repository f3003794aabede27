"""Calls from a slot allocator to other processes: preemptions, free slots and slot grants.

A few threads make the calls, so that a process that is slow or unresponsive does not delay the
allocator's answers. While a call to a process is in progress, further messages to it are collected
and sent together.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable

import attrs
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.member import Member
from quaymill.connection.peer_link import PeerClient
from quaymill.connection.peer_server import PeerServer
from quaymill.connection.slot_messages import (
    GrantsAccepted,
    ItemsAt,
    ItemsPreempted,
    OnlineGrant,
    OnlineGrants,
    PreemptItems,
    SlotsFreed,
    SlotsFreedAcknowledged,
)
from quaymill.process.jobs.slot_grants import SlotGrant
from quaymill.process.replica_set.cold_start import MAX_UNSENT_S

CALL_TIMEOUT_S = 0.2
"""A coordinator that does not answer in time is asked again in the answer to its next claim,
because the engine's report still shows the excess."""
GRANT_TIMEOUT_S = 0.1
"""If a gateway answers later, the slot is granted to the next queued request. Short enough that the
next request can still meet its latency target."""
MAX_SENDERS = 8
"""Maximum number of sending threads, and so of unresponsive processes that are waited for at the
same time. When the calls were made in the allocator's own answers, an allocator of 165 gateways had
up to 127 threads and answered 193 placements too late within 18 s."""
SENDER_IDLE_S = 5.0
"""Time after which an idle sending thread ends: most gateways allocate no slots."""


@attrs.define
class _Pending:
    """Messages to be sent to one process."""

    to_preempt: Counter[str] = attrs.field(factory=Counter)
    slots_freed: bool = False
    grants: list[SlotGrant] = attrs.field(factory=list)


class AllocatorCalls:
    """Sends an allocator's calls, and handles those of other allocators.

    Safe to use from any thread.

    Parameters
    ----------
    process_name
        Name of this process, as used by its coordinator.
    preempt_items
        Preempts items of this process's coordinator.
    claim_slots
        Makes this process's coordinator claim slots immediately.
    member_of_process
        Returns the member that a process runs on; ``None`` if the process has ended.
    accept_grants
        Dispatches queued requests of this process; returns the tickets of those it dispatched.
    grant_answered
        Called once for each grant that was sent, with whether it was accepted; ``None`` if its
        gateway's process has ended.
    travel_s
        Returns the time to add to the timeout of a call to a member, in seconds.
    """

    def __init__(
        self,
        process_name: str,
        preempt_items: Callable[[tuple[ItemsAt, ...]], None],
        claim_slots: Callable[[], None],
        client: PeerClient,
        server: PeerServer,
        member_of_process: Callable[[str], Member | None],
        accept_grants: Callable[[tuple[OnlineGrant, ...]], tuple[str, ...]] = lambda grants: (),
        grant_answered: Callable[[SlotGrant, bool | None], None] = lambda grant, accepted: None,
        travel_s: Callable[[Member], float] = lambda member: 0.0,
    ) -> None:
        self._process_name = process_name
        self._preempt_items = preempt_items
        self._claim_slots = claim_slots
        self._client = client
        self._member_of_process = member_of_process
        self._accept_grants = accept_grants
        self._grant_answered = grant_answered
        self._travel_s = travel_s
        self._changed = threading.Condition()
        self._pending_by_process: dict[str, _Pending] = {}
        self._being_called: set[str] = set()
        self._senders = 0
        self._idle_senders = 0
        self._stopping = False
        server.register(PreemptItems, self._receive_preemption)
        server.register(SlotsFreed, self._receive_slots_freed)
        server.register(OnlineGrants, self._receive_grants)

    def stop(self) -> None:
        """Stop sending."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def send(self, coordinator: str, items: tuple[ItemsAt, ...]) -> None:
        """Ask a coordinator to preempt items; returns without waiting for the answer."""
        if coordinator == self._process_name:
            self._preempt_items(items)
            return
        with self._changed:
            to_preempt = self._pending_by_process.setdefault(coordinator, _Pending()).to_preempt
            to_preempt.update({one.replica_id: one.items for one in items})
            self._ensure_sender()

    def wake(self, coordinator: str) -> None:
        """Notify a coordinator of free slots; if the message is lost, its next claim finds them."""
        if coordinator == self._process_name:
            self._claim_slots()
            return
        with self._changed:
            self._pending_by_process.setdefault(coordinator, _Pending()).slots_freed = True
            self._ensure_sender()

    def send_grant(self, grant: SlotGrant) -> None:
        """Send a grant to its gateway; ``grant_answered`` is called with the result."""
        with self._changed:
            self._pending_by_process.setdefault(grant.process, _Pending()).grants.append(grant)
            self._ensure_sender()

    def _ensure_sender(self) -> None:
        """Wake an idle sending thread, and start another one if needed; the lock is held."""
        self._changed.notify()
        ready = sum(name not in self._being_called for name in self._pending_by_process)
        if ready > self._idle_senders and self._senders < MAX_SENDERS and not self._stopping:
            self._senders += 1
            threading.Thread(target=self._send_pending, name="allocator-calls", daemon=True).start()

    def _send_pending(self) -> None:
        while (work := self._take_next()) is not None:
            process_name, pending = work
            try:
                self._deliver(process_name, pending)
            except Exception as error:  # A bug must not stop the calls of this allocator.
                log_message("batch:order_error", coordinator=process_name, error=repr(error))
            finally:
                with self._changed:
                    self._being_called.discard(process_name)

    def _take_next(self) -> tuple[str, _Pending] | None:
        """Wait for messages to a process to which no call is in progress.

        Returns ``None`` if this thread is to end: on stop, or after ``SENDER_IDLE_S`` idle.
        """
        with self._changed:
            process_name = self._next_ready()
            if process_name is None and not self._stopping:
                self._idle_senders += 1
                self._changed.wait_for(
                    lambda: self._stopping or self._next_ready() is not None, SENDER_IDLE_S
                )
                self._idle_senders -= 1
                process_name = self._next_ready()
            if process_name is None or self._stopping:
                self._senders -= 1
                return None
            self._being_called.add(process_name)
            return process_name, self._pending_by_process.pop(process_name)

    def _next_ready(self) -> str | None:
        return next(
            (name for name in self._pending_by_process if name not in self._being_called), None
        )

    def _deliver(self, process_name: str, pending: _Pending) -> None:
        member = self._member_of_process(process_name)
        if pending.grants:
            self._deliver_grants(member, pending.grants)
        if member is None:
            return
        if pending.to_preempt:
            # A coordinator that preempts items claims again by itself, so no wake-up is needed.
            items = tuple(
                ItemsAt(replica_id, count) for replica_id, count in pending.to_preempt.items()
            )
            timeout_s = CALL_TIMEOUT_S + self._travel_s(member)
            reply = self._client.call(member.peer, PreemptItems(items), ItemsPreempted, timeout_s)
            if not isinstance(reply, ItemsPreempted):
                log_message("batch:order_unanswered", coordinator=process_name)
        elif pending.slots_freed:
            timeout_s = CALL_TIMEOUT_S + self._travel_s(member)
            self._client.call(member.peer, SlotsFreed(), SlotsFreedAcknowledged, timeout_s)

    def _deliver_grants(self, member: Member | None, grants: list[SlotGrant]) -> None:
        accepted: tuple[str, ...] | None = ()
        try:
            accepted = None if member is None else self._offer_grants(member, grants)
        except Exception as error:  # A grant without an answer would occupy its slot forever.
            log_message("line:turn_error", gateway=grants[0].gateway, error=repr(error))
        for grant in grants:
            self._grant_answered(grant, None if accepted is None else grant.ticket in accepted)

    def _offer_grants(self, member: Member, grants: list[SlotGrant]) -> tuple[str, ...]:
        """Send grants to a gateway; return the tickets of the requests that it dispatches.

        Grants for cold replicas that have waited here are not sent: the gateway would take them as
        fresh, so that requests of several windows could arrive in the same second.
        """
        messages = tuple(grant.message for grant in grants if not _is_late(grant))
        if not messages:
            return ()
        if grants[0].process == self._process_name:
            return self._accept_grants(messages)
        timeout_s = GRANT_TIMEOUT_S + self._travel_s(member)
        reply = self._client.call(
            member.peer, OnlineGrants.from_grants(messages), GrantsAccepted, timeout_s
        )
        if isinstance(reply, GrantsAccepted):
            return reply.tickets
        log_message("line:turn_unanswered", gateway=grants[0].gateway, turns=len(messages))
        return ()

    def _receive_grants(self, message: OnlineGrants) -> GrantsAccepted:
        return GrantsAccepted(self._accept_grants(message.all))

    def _receive_slots_freed(self, message: SlotsFreed) -> SlotsFreedAcknowledged:
        self._claim_slots()
        return SlotsFreedAcknowledged()

    def _receive_preemption(self, message: PreemptItems) -> ItemsPreempted:
        self._preempt_items(message.items)
        return ItemsPreempted()


def _is_late(grant: SlotGrant) -> bool:
    return grant.cold and boot_clock.now() - grant.granted_at > MAX_UNSENT_S
