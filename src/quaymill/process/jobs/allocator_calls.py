"""Tells others, for the gateway that keeps room, to cut items, that there is room, or of turns.

Other processes are told by a few threads beside the keeper's answers, so that a coordinator that
is slow or silent holds up no placement. What is meant for the same coordinator while a call to it
is under way goes out together with the next one.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable

import attrs
from eliot import log_message

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

ORDER_TIMEOUT_S = 0.2
"""A coordinator that takes longer hears of it with its next claim: the engine still shows it."""
TURN_TIMEOUT_S = 0.1
"""A gateway that takes longer has its requests decide by themselves, and the slot goes to the next:
a third of callers' shortest objective (0.3 s), so that the next is still in time."""
SENDERS = 8
"""Threads that send, so as many silent coordinators may be waited for at once. With the calls in
the keeper's own answers a keeper of 165 gateways had up to 127 threads, each at a call, and 193
placements were not answered in time in 18 s of a day with trouble."""
SENDER_IDLE_S = 5.0
"""Time after which a thread ends that has nothing to send: most gateways keep no room."""


@attrs.define
class _Pending:
    """What is to be told to one process."""

    owed: Counter[str] = attrs.field(factory=Counter)
    room_is_free: bool = False
    turns: list[SlotGrant] = attrs.field(factory=list)


class AllocatorCalls:
    """Sends and takes orders; safe to use from any thread.

    Parameters
    ----------
    process_name
        Of this process's coordinator.
    give_back
        Cuts items of this process's coordinator.
    claim_slots
        Makes this process's coordinator claim room at once.
    process
        Returns where a process runs; ``None`` if it is gone.
    accept_grants
        Lets requests of this process go; returns the tickets of those that do.
    grant_answered
        Hears for each turn that was sent whether it was taken; ``None`` if its gateway's process
        is gone.
    """

    def __init__(
        self,
        process_name: str,
        give_back: Callable[[tuple[ItemsAt, ...]], None],
        claim_slots: Callable[[], None],
        client: PeerClient,
        server: PeerServer,
        process: Callable[[str], Member | None],
        accept_grants: Callable[[tuple[OnlineGrant, ...]], tuple[str, ...]] = lambda turns: (),
        grant_answered: Callable[[SlotGrant, bool | None], None] = lambda turn, taken: None,
    ) -> None:
        self._process_name = process_name
        self._give_back = give_back
        self._claim_room = claim_slots
        self._client = client
        self._process = process
        self._take_turns = accept_grants
        self._turn_answered = grant_answered
        self._changed = threading.Condition()
        self._waiting: dict[str, _Pending] = {}
        self._being_told: set[str] = set()
        self._senders = 0
        self._idle_senders = 0
        self._stopping = False
        server.register(PreemptItems, self._answer)
        server.register(SlotsFreed, self._answer_room_freed)
        server.register(OnlineGrants, self._answer_turns)

    def stop(self) -> None:
        """Send nothing more."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def send(self, coordinator: str, items: tuple[ItemsAt, ...]) -> None:
        """Have a coordinator asked to cut items at once; returns without waiting for that."""
        if coordinator == self._process_name:
            self._give_back(items)
            return
        with self._changed:
            owed = self._waiting.setdefault(coordinator, _Pending()).owed
            owed.update({one.replica_id: one.items for one in items})
            self._call_sender()

    def wake(self, coordinator: str) -> None:
        """Have a coordinator told that there is room; unheard, it claims soon anyway."""
        if coordinator == self._process_name:
            self._claim_room()
            return
        with self._changed:
            self._waiting.setdefault(coordinator, _Pending()).room_is_free = True
            self._call_sender()

    def send_grant(self, turn: SlotGrant) -> None:
        """Have a gateway told whose turn it is; ``grant_answered`` hears what came of it."""
        with self._changed:
            self._waiting.setdefault(turn.process, _Pending()).turns.append(turn)
            self._call_sender()

    def _call_sender(self) -> None:
        """Have a thread look at what waits; the lock is held."""
        self._changed.notify()
        to_tell = sum(name not in self._being_told for name in self._waiting)
        if to_tell > self._idle_senders and self._senders < SENDERS and not self._stopping:
            self._senders += 1
            threading.Thread(target=self._send_pending, name="room-orders", daemon=True).start()

    def _send_pending(self) -> None:
        while (taken := self._take_next()) is not None:
            coordinator, pending = taken
            try:
                self._tell(coordinator, pending)
            except Exception as error:  # A bug here must not end the orders of this keeper.
                log_message("batch:order_error", coordinator=coordinator, error=repr(error))
            finally:
                with self._changed:
                    self._being_told.discard(coordinator)

    def _take_next(self) -> tuple[str, _Pending] | None:
        """Wait until there is something to tell a coordinator to which no call is under way.

        Returns ``None`` if this thread is to end: at the stop, or since nothing came for long.
        """
        with self._changed:
            coordinator = self._next_to_tell()
            if coordinator is None and not self._stopping:
                self._idle_senders += 1
                self._changed.wait_for(
                    lambda: self._stopping or self._next_to_tell() is not None, SENDER_IDLE_S
                )
                self._idle_senders -= 1
                coordinator = self._next_to_tell()
            if coordinator is None or self._stopping:
                self._senders -= 1
                return None
            self._being_told.add(coordinator)
            return coordinator, self._waiting.pop(coordinator)

    def _next_to_tell(self) -> str | None:
        return next((name for name in self._waiting if name not in self._being_told), None)

    def _tell(self, coordinator: str, pending: _Pending) -> None:
        member = self._process(coordinator)
        if pending.turns:
            self._tell_turns(member, pending.turns)
        if member is None:
            return
        if pending.owed:
            # A coordinator that cuts items claims again by itself: it need not be woken.
            items = tuple(ItemsAt(replica_id, count) for replica_id, count in pending.owed.items())
            reply = self._client.call(
                member.peer, PreemptItems(items), ItemsPreempted, ORDER_TIMEOUT_S
            )
            if not isinstance(reply, ItemsPreempted):
                log_message("batch:order_unanswered", coordinator=coordinator)
        elif pending.room_is_free:
            self._client.call(member.peer, SlotsFreed(), SlotsFreedAcknowledged, ORDER_TIMEOUT_S)

    def _tell_turns(self, member: Member | None, turns: list[SlotGrant]) -> None:
        taken: tuple[str, ...] | None = ()
        try:
            taken = None if member is None else self._call_for_turns(member, turns)
        except Exception as error:  # A turn that nobody answers for would keep its slot.
            log_message("line:turn_error", gateway=turns[0].gateway, error=repr(error))
        for turn in turns:
            self._turn_answered(turn, None if taken is None else turn.ticket in taken)

    def _call_for_turns(self, member: Member, turns: list[SlotGrant]) -> tuple[str, ...]:
        """Tell a gateway of turns; return the tickets of the requests that go."""
        messages = tuple(turn.message for turn in turns)
        if turns[0].process == self._process_name:
            return self._take_turns(messages)
        reply = self._client.call(
            member.peer, OnlineGrants(messages), GrantsAccepted, TURN_TIMEOUT_S
        )
        if isinstance(reply, GrantsAccepted):
            return reply.tickets
        log_message("line:turn_unanswered", gateway=turns[0].gateway, turns=len(turns))
        return ()

    def _answer_turns(self, message: OnlineGrants) -> GrantsAccepted:
        return GrantsAccepted(self._take_turns(message.grants))

    def _answer_room_freed(self, message: SlotsFreed) -> SlotsFreedAcknowledged:
        self._claim_room()
        return SlotsFreedAcknowledged()

    def _answer(self, message: PreemptItems) -> ItemsPreempted:
        self._give_back(message.items)
        return ItemsPreempted()
