"""One run of a batch item at a replica.

The output of an interrupted run is kept, and the next run resumes after its last event.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from quaymill import boot_clock
from quaymill.connection.bounded_reader import AnswerPart
from quaymill.connection.job_document import JobItem
from quaymill.connection.replica_answer import AnswerHead
from quaymill.connection.replica_connection import Exchange, ReplicaConnections
from quaymill.process.jobs.coordinated_job import CoordinatedItem
from quaymill.process.replica_set.replica import Replica
from quaymill.request.answer_relay import (
    EVENT_GAP_TIMEOUT_S,
    ends_before_first_event,
    release_connection,
)
from quaymill.request.deadline import Deadline
from quaymill.request.event_stream import LATE_EVENT, TOO_LONG_EVENT, EventFramer, data_of_events
from quaymill.request.forwarded_request import (
    ForwardedRequest,
    Headers,
    content_digest_of,
    shared_part_keys,
)
from quaymill.request.forwarding import (
    FIRST_EVENT_TIMEOUT_S,
    SILENCE_CHECK_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    ReplicaProtocol,
)
from quaymill.request.outcome import NotRun, OutcomeUnknown
from quaymill.request.poison import RequestIdentity
from quaymill.request.prompt import Prompt
from quaymill.request.stream_version import StreamVersion

RUN_TIMEOUT_S = 60.0
METHOD = "POST"
MAX_TEXT_LENGTH = 16 * 1024 * 1024
"""Maximum number of characters of an item's output, which is kept in memory."""
TOO_LONG_TEXT = f"has more than {MAX_TEXT_LENGTH} characters"
IMPOSSIBLE_STATUS = 422
"""Status with which a replica rejects an item that can never succeed."""


@attrs.frozen
class ItemDone:
    """The output is complete; it is in the item's texts."""


@attrs.frozen
class ItemImpossible:
    """The replica answered that the item can never succeed."""

    reason: str


@attrs.frozen
class ItemFailed:
    """The replica ran the item and answered with an error."""

    reason: str


@attrs.frozen
class ItemCut:
    """The run ended without a usable answer, and the item can be run again.

    Attributes
    ----------
    blames_replica
        Whether it counts as a failure of the replica.
    connection_closed
        Whether the replica's side closed the connection before the answer was complete.
    """

    reason: str
    blames_replica: bool = True
    connection_closed: bool = False


ItemOutcome = ItemDone | ItemImpossible | ItemFailed | ItemCut


@attrs.frozen
class ItemProtocol:
    """The protocol of replicas, and how to get the headers and the prompt of an item's request."""

    replica: ReplicaProtocol
    item_headers: Callable[[JobItem, str], Headers]
    read_prompt: Callable[[JobItem], Prompt]


def identity_of_item(item: JobItem, host: str, protocol: ItemProtocol) -> RequestIdentity:
    """Return by what an item's request is recognized when it, or a similar one, is run again."""
    content = content_digest_of(host, METHOD, item.path, item.body)
    return RequestIdentity(content, shared_part_keys(protocol.read_prompt(item)))


def run_item(
    item: CoordinatedItem,
    host: str,
    replica: Replica,
    connections: ReplicaConnections,
    protocol: ItemProtocol,
    tenant: str | None = None,
) -> ItemOutcome:
    """Run an item once, resuming after the last event that was received.

    The events received so far must be of the replica's software version.
    """
    run = item.run
    # Checked again here, as the slot grant may be older than what is known of the replica now.
    if replica.leaving:
        return _not_sent(replica)
    request = ForwardedRequest(
        id=item.item.id,
        method=METHOD,
        target=item.item.path,
        headers=protocol.item_headers(item.item, host),
        body=item.item.body,
        deadline=Deadline.after(RUN_TIMEOUT_S),
        last_event_id=item.last_event_id,
        tenant=tenant,
    )
    message = protocol.replica.build_request(request, replica.id, RUN_TIMEOUT_S, item.last_event_id)
    exchange = connections.send(
        replica.entry.address, message, may_send=lambda: not replica.leaving
    )
    if isinstance(exchange, NotRun) and replica.leaving:
        return _not_sent(replica)
    if isinstance(exchange, NotRun):
        replica.record_failure(2.0)
        return ItemCut(exchange.reason)
    if isinstance(exchange, OutcomeUnknown):
        return _cut_outcome(exchange)
    run.attach(exchange.cancel)
    if run.cancelled:
        exchange.abandon()
        return ItemCut("cancelled before the run began", blames_replica=False)
    outcome = _read_answer(item, request, replica, exchange, protocol.replica)
    if isinstance(outcome, ItemCut) and run.cancelled:
        # This process closed the connection, so the replica is not at fault.
        return attrs.evolve(outcome, blames_replica=False, connection_closed=False)
    return outcome


def _not_sent(replica: Replica) -> ItemCut:
    reason = "the replica's zone is evacuated" if replica.evacuated else "the replica is leaving"
    return ItemCut(reason, blames_replica=False)


def _read_answer(
    item: CoordinatedItem,
    request: ForwardedRequest,
    replica: Replica,
    exchange: Exchange,
    protocol: ReplicaProtocol,
) -> ItemOutcome:
    began = boot_clock.now()
    if not _begins_in_time(exchange, replica, began):
        exchange.abandon_unresponsive()
        return ItemCut(f"the replica sent nothing for {boot_clock.now() - began:.2f} s")
    failure = exchange.read_head(EVENT_GAP_TIMEOUT_S)
    if failure is not None:
        return _cut_outcome(failure)
    replica.record_received()
    head = protocol.read_answer_head(exchange)
    if not head.is_answer_to(request.id):
        exchange.abandon()
        return ItemCut(f"the answer has another request id: {head.request_id or 'none'}")
    if head.load is not None:
        replica.record_report(head.load)
    if head.not_executed:
        if head.misdirected:
            replica.misdirected = True
        else:
            replica.record_cold_left(head.cold_left_s)
        exchange.abandon()
        return ItemCut(f"the replica answered {head.status}, not run", blames_replica=False)
    replica.record_cold_left(head.cold_left_s)
    if head.status != 200:
        exchange.abandon()
        return _error_outcome(head.status)
    replica.record_success(boot_clock.now() - began)
    replica.begin_answer()
    try:
        return _read_events(item, request.deadline, replica, exchange, head)
    finally:
        replica.end_answer()


def _begins_in_time(exchange: Exchange, replica: Replica, began: float) -> bool:
    """Wait for the answer to begin; return ``False`` if the replica sends nothing for too long.

    The item can then be run at another replica before it is due.
    """
    while (waited_s := boot_clock.now() - began) < FIRST_EVENT_TIMEOUT_S:
        if exchange.wait_readable(SILENCE_CHECK_INTERVAL_S):
            return True
        if replica.unreachable or (replica.silent and waited_s > SILENCE_TIMEOUT_S):
            return False
    return False


def _cut_outcome(failure: OutcomeUnknown) -> ItemCut:
    return ItemCut(failure.reason, connection_closed=failure.connection_closed)


def _error_outcome(status: int) -> ItemOutcome:
    if status == IMPOSSIBLE_STATUS:
        return ItemImpossible(f"the replica answered {status}")
    if status == 500:
        return ItemFailed(f"the replica answered {status}")
    return ItemCut(f"the replica answered {status}")


def _event_adder(
    item: CoordinatedItem, framer: EventFramer, version: StreamVersion
) -> Callable[[bytes], bool]:
    """Return a function that appends events to an item's output.

    If the output gets too long, the function discards it and returns ``False``.
    """
    length = sum(map(len, item.texts))

    def add(events: bytes) -> bool:
        nonlocal length
        texts = data_of_events(events)
        length += sum(map(len, texts))
        if length > MAX_TEXT_LENGTH:
            item.discard_events()
            return False
        item.add_events(texts, framer.last_id, version)
        return True

    return add


def _read_events(
    item: CoordinatedItem,
    deadline: Deadline,
    replica: Replica,
    exchange: Exchange,
    head: AnswerHead,
) -> ItemOutcome:
    framer = EventFramer(item.last_event_id)
    add_events = _event_adder(item, framer, StreamVersion.of_replica(replica.entry))
    event_began = boot_clock.now()
    while True:
        gap_s = event_began + EVENT_GAP_TIMEOUT_S - boot_clock.now()
        exchange.set_read_timeout(min(gap_s, deadline.remaining_s()))
        block = exchange.read_block()
        if isinstance(block, OutcomeUnknown):
            return _cut_outcome(block)
        replica.record_received()
        if not block:
            break
        events = framer.feed(block)
        if framer.is_too_long:
            return _cut_outcome(exchange.abandon_endless(AnswerPart.EVENT, TOO_LONG_EVENT))
        if framer.has_completed:
            event_began = boot_clock.now()
        if events and not add_events(events):
            return _cut_outcome(exchange.abandon_endless(AnswerPart.BODY, TOO_LONG_TEXT))
        if boot_clock.now() > event_began + EVENT_GAP_TIMEOUT_S:
            return _cut_outcome(exchange.abandon_endless(AnswerPart.EVENT, LATE_EVENT))
    if framer.partial:
        exchange.abandon()
        return ItemCut("the stream ended in the middle of an event", connection_closed=True)
    if ends_before_first_event(head, item.last_event_id):
        exchange.abandon()
        return ItemCut("the stream ended before its first event", connection_closed=True)
    release_connection(exchange, replica, head)
    return ItemDone()
