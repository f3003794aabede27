"""The leases this node holds: fetched by demand, renewed, completed in bulk, given back.

Two threads for each log group talk to that group: one leases, one reports results, returns
and renewals, so that a wait for new work never delays a result. Schedulers state their
demand and take items without waiting for the store. A group that cannot be reached delays
only its own items: their results are kept and reported again until the store has answered.
"""

from __future__ import annotations

import itertools
import secrets
import threading
from collections import deque

import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.identifiers import group_number
from quaymill.connection.job_messages import (
    Accepted,
    CompletedItems,
    CompleteItems,
    ItemCompletion,
    ItemRef,
    LeasedItem,
    LeasedItems,
    LeaseItems,
    RenewedLeases,
    RenewLeases,
    ReturnItems,
)
from quaymill.connection.peer_link import PeerMessage
from quaymill.process.batch.job_store import JobStore
from quaymill.process.batch.work_item import WorkItem
from quaymill.process.settings import BatchSettings

STORE_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.5
RENEWALS_PER_LEASE = 4
IDLE_HOLD_S = 3.0
MAX_POLL_BACKOFF = 8
MAX_ITEMS_PER_CALL = 256
MAX_REPORT_BYTES = 8 * 1024 * 1024
LATENCY_SMOOTHING = 0.2


class _Poll(msgspec.Struct):
    """When a group may be asked again for items of a service; it backs off while empty."""

    interval_s: float = 0.0
    next_s: float = 0.0


class _Group:
    """What the two threads of one group have to do."""

    def __init__(self, lock: threading.Lock) -> None:
        self.work_wanted = threading.Condition(lock)
        self.polls: dict[str, _Poll] = {}
        self.lease_retry_s = 0.0
        self.lease_failure = ""
        self.report_wanted = threading.Condition(lock)
        self.completions: deque[ItemCompletion] = deque()
        self.returns: deque[ItemRef] = deque()
        self.next_renewal_s = 0.0
        self.report_retry_s = 0.0


class LeaseBook:
    """Leases of this node, shared by its schedulers.

    Parameters
    ----------
    group_count
        Number of log groups.

    Attributes
    ----------
    lease_latency_s
        How long the store takes to lease items, smoothed.
    """

    def __init__(
        self, node_name: str, settings: BatchSettings, job_store: JobStore, group_count: int
    ) -> None:
        # A restarted node is another worker: it knows nothing of its earlier leases.
        self.worker = f"{node_name}/{secrets.token_hex(4)}"
        self._settings = settings
        self._job_store = job_store
        self.lease_latency_s = 0.0
        self._lock = threading.Lock()
        self._stopping = False
        self._held: dict[ItemRef, WorkItem] = {}
        self._idle: dict[str, deque[WorkItem]] = {}
        self._demand: dict[str, dict[str, int]] = {}
        self._asked: dict[str, int] = {}
        self._groups = [_Group(self._lock) for _ in range(group_count)]
        self._threads: list[threading.Thread] = []
        # Empty polls of all groups together stay at one for each interval.
        self._max_poll_interval_s = settings.poll_interval_s * min(group_count, MAX_POLL_BACKOFF)

    def start(self) -> None:
        """Start the threads of each group."""
        for number in range(len(self._groups)):
            for name, serve in (("lease", self._keep_leasing), ("report", self._keep_reporting)):
                thread = threading.Thread(
                    target=serve, args=(number,), name=f"{name}-{number}", daemon=True
                )
                thread.start()
                self._threads.append(thread)

    def stop(self, timeout_s: float) -> None:
        """Report what is finished, give back what is not, and end the threads."""
        with self._lock:
            self._stopping = True
            for work in list(self._held.values()):
                self._forget(work, give_back=True)
            for group in self._groups:
                group.work_wanted.notify()
                group.report_wanted.notify()
        deadline = boot_clock.now() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, deadline - boot_clock.now()))

    def set_demand(self, replica: str, service: str, count: int) -> None:
        """Say how many items of ``service`` the replica can start now or very soon."""
        with self._lock:
            demand = self._demand.setdefault(service, {})
            raised = count > demand.get(replica, 0)
            demand[replica] = count
            if raised:
                self._wake_groups()

    def take(self, service: str) -> WorkItem | None:
        """Return an item to run, those that gave way first; never waits."""
        with self._lock:
            idle = self._idle.get(service)
            if not idle:
                return None
            work = idle.popleft()
            self._wake_groups()
            return work

    def put_back(self, work: WorkItem) -> None:
        """Keep an item that gave way or did not start, to run it again from this node."""
        with self._lock:
            if self._stopping or work.unwanted:
                self._forget(work, give_back=not work.unwanted)
                return
            work.idle_since_s = boot_clock.now()
            self._idle.setdefault(work.service, deque()).appendleft(work)

    def complete(
        self, work: WorkItem, status: int, response: msgspec.Raw, retryable: bool = False
    ) -> None:
        """Report the end of the attempt, also when the lease has lapsed: the store decides."""
        with self._lock:
            self._held.pop(work.ref, None)
            group = self._group_of(work.ref)
            group.completions.append(ItemCompletion(work.ref, status, response, retryable))
            group.report_wanted.notify()

    def shortage_reason(self, service: str) -> str:
        """Return why no item of a service is here, for a person."""
        with self._lock:
            for number, group in enumerate(self._groups):
                if group.lease_failure:
                    return f"log group {number} gives no leases: {group.lease_failure}"
        return f"no item of {service} waits in the job store"

    def held(self) -> int:
        """Return how many leases this node holds."""
        return len(self._held)

    def _keep_leasing(self, number: int) -> None:
        group = self._groups[number]
        while True:
            with self._lock:
                message = self._next_lease(number, group)
                while message is None:
                    if self._stopping:
                        return
                    group.work_wanted.wait(self._settings.poll_interval_s)
                    message = self._next_lease(number, group)
            asked_s = boot_clock.now()
            reply = self._job_store.call(message, LeasedItems, STORE_TIMEOUT_S)
            with self._lock:
                self._asked[message.service] -= message.count
                if isinstance(reply, LeasedItems):
                    self._note_latency(boot_clock.now() - asked_s)
                    self._hold(group, message, reply.items)
                    group.lease_failure = ""
                else:
                    group.lease_retry_s = boot_clock.now() + RETRY_INTERVAL_S
                    group.lease_failure = reply.reason
                    _log_failure(message, reply)

    def _next_lease(self, number: int, group: _Group) -> LeaseItems | None:
        """Return the next request for items; ``None`` if there is no need or not yet."""
        now_s = boot_clock.now()
        if self._stopping or now_s < group.lease_retry_s:
            return None
        for service in self._demand:
            count = min(self._shortage(service), MAX_ITEMS_PER_CALL)
            poll = group.polls.setdefault(service, _Poll())
            if count > 0 and now_s >= poll.next_s:
                self._asked[service] = self._asked.get(service, 0) + count
                return LeaseItems(number, self.worker, service, count, self._settings.lease_s)
        return None

    def _keep_reporting(self, number: int) -> None:
        group = self._groups[number]
        while True:
            with self._lock:
                message, reply_type = self._next_report(number, group)
                while message is None:
                    if self._stopping:
                        return
                    group.report_wanted.wait(self._settings.poll_interval_s)
                    message, reply_type = self._next_report(number, group)
            reply = self._job_store.call(message, reply_type, STORE_TIMEOUT_S)
            with self._lock:
                self._take_reply(group, message, reply)
                if self._stopping and group.report_retry_s > boot_clock.now():
                    return  # The store is out of reach; the leases lapse by themselves.

    def _next_report(
        self, number: int, group: _Group
    ) -> tuple[PeerMessage, type] | tuple[None, None]:
        """Return what to tell the group now, results first."""
        now_s = boot_clock.now()
        if now_s < group.report_retry_s and not self._stopping:
            return None, None
        self._return_idle_items(number)
        if group.completions:
            return CompleteItems(number, self.worker, _first(group.completions)), CompletedItems
        if group.returns:
            refs = tuple(itertools.islice(group.returns, MAX_ITEMS_PER_CALL))
            return ReturnItems(number, self.worker, refs), Accepted
        if self._stopping or now_s < group.next_renewal_s:
            return None, None
        lease_s = self._settings.lease_s
        group.next_renewal_s = now_s + lease_s / RENEWALS_PER_LEASE
        refs = tuple(ref for ref in self._held if group_number(ref.job_id) == number)
        if not refs:
            return None, None
        return RenewLeases(number, self.worker, lease_s, refs), RenewedLeases

    def _shortage(self, service: str) -> int:
        """Return how many items are wanted beyond those here and those asked for."""
        wanted = sum(self._demand[service].values())
        return wanted - len(self._idle.get(service, ())) - self._asked.get(service, 0)

    def _take_reply(self, group: _Group, message: PeerMessage, reply: object) -> None:
        match reply:
            case RenewedLeases(stop=stop):
                for ref in stop:
                    self._stop_item(ref)
            case CompletedItems():
                for _ in message.completions:
                    group.completions.popleft()
            case Accepted():
                for _ in message.items:
                    group.returns.popleft()
            case failure:
                # The same message goes again later; the store takes each attempt once.
                group.report_retry_s = boot_clock.now() + RETRY_INTERVAL_S
                _log_failure(message, failure)

    def _note_latency(self, latency_s: float) -> None:
        self.lease_latency_s += LATENCY_SMOOTHING * (latency_s - self.lease_latency_s)

    def _hold(self, group: _Group, message: LeaseItems, items: tuple[LeasedItem, ...]) -> None:
        now_s = boot_clock.now()
        poll = group.polls[message.service]
        if items:
            poll.interval_s = 0.0
        else:
            interval_s = max(2 * poll.interval_s, self._settings.poll_interval_s)
            poll.interval_s = min(interval_s, self._max_poll_interval_s)
        poll.next_s = now_s + poll.interval_s
        idle = self._idle.setdefault(message.service, deque())
        for leased in items:
            work = WorkItem(message.service, leased, now_s)
            self._held[work.ref] = work
            if self._stopping:
                self._forget(work, give_back=True)
            else:
                idle.append(work)

    def _stop_item(self, ref: ItemRef) -> None:
        work = self._held.get(ref)
        if work is None:
            return
        self._forget(work, give_back=False)
        work.stop()

    def _return_idle_items(self, number: int) -> None:
        """Give back items that wait here for too long: another replica may have room."""
        oldest_s = boot_clock.now() - IDLE_HOLD_S
        for idle in self._idle.values():
            for work in [work for work in idle if work.idle_since_s < oldest_s]:
                if group_number(work.leased.job_id) == number:
                    self._forget(work, give_back=True)

    def _forget(self, work: WorkItem, give_back: bool) -> None:
        if self._held.pop(work.ref, None) is not None and give_back:
            self._group_of(work.ref).returns.append(work.ref)
        idle = self._idle.get(work.service)
        if idle is not None and work in idle:
            idle.remove(work)

    def _group_of(self, ref: ItemRef) -> _Group:
        return self._groups[group_number(ref.job_id)]

    def _wake_groups(self) -> None:
        now_s = boot_clock.now()
        for group in self._groups:
            if any(now_s >= poll.next_s for poll in group.polls.values()) or not group.polls:
                group.work_wanted.notify()


def _first(completions: deque[ItemCompletion]) -> tuple[ItemCompletion, ...]:
    """Return as many as fit into one message, at least one."""
    taken: list[ItemCompletion] = []
    size_bytes = 0
    for completion in itertools.islice(completions, MAX_ITEMS_PER_CALL):
        size_bytes += len(bytes(completion.response))
        if taken and size_bytes > MAX_REPORT_BYTES:
            break
        taken.append(completion)
    return tuple(taken)


def _log_failure(message: PeerMessage, failure: object) -> None:
    log_message("batch:store_failure", sent=type(message).__name__, failure=repr(failure))
