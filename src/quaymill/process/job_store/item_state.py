"""Leases and ends of items.

An item has no row until it is first leased; then it is

* leased: a row in ``items`` with ``leased`` = 1 and the number of its latest attempt;
* available again, after a lapse, a return or a retryable failure: ``leased`` = 0;
* ended: no row in ``items`` and one in ``results``, which never changes.

So cost and memory follow the items in flight, not the size of the job.
"""

from __future__ import annotations

import sqlite3
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from quaymill.connection.job_messages import Accepted, ItemRef, LeaseItems
from quaymill.process.job_store.bulk import json_list
from quaymill.process.job_store.job_state import JobStateTable, JobWithWork
from quaymill.process.job_store.schema import item_index, item_key


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """One attempt at one item, handed to a worker."""

    job_id: str
    file_id: str
    tenant: str
    index: int
    attempt: int


_GRANTS_DECODER = msgspec.json.Decoder(tuple[LeaseGrant, ...])


class ItemState:
    """The tables ``items`` and ``lease_requests``."""

    def __init__(self, connection: sqlite3.Connection, jobs: JobStateTable) -> None:
        self._connection = connection
        self._jobs = jobs

    def lease(self, message: LeaseItems, at_unix_s: float) -> tuple[LeaseGrant, ...]:
        """Lease items to a worker, tenants by turns and jobs by deadline.

        A request repeated under its id gets the items that it got before.
        """
        if message.request_id:
            earlier = self._earlier_grants(message)
            if earlier is not None:
                lost = set(self.no_longer_leased(tuple(_ref(grant) for grant in earlier)))
                return tuple(grant for grant in earlier if _ref(grant) not in lost)
        grants = self._take_by_turns(message)
        if message.request_id:
            self._connection.execute(
                "INSERT OR REPLACE INTO lease_requests VALUES (?, ?, ?, ?, ?)",
                (
                    message.worker,
                    message.service,
                    message.request_id,
                    msgspec.json.encode(grants),
                    at_unix_s,
                ),
            )
        return grants

    def knows(self, message: LeaseItems) -> bool:
        """Return whether this same request was served before."""
        return bool(message.request_id) and self._earlier_grants(message) is not None

    def no_longer_leased(self, refs: tuple[ItemRef, ...]) -> tuple[ItemRef, ...]:
        """Return those attempts that do not hold their items."""
        numbers = self._job_numbers(refs)
        keys = [item_key(numbers[ref.job_id], ref.index) for ref in refs if ref.job_id in numbers]
        holders = dict(
            self._connection.execute(
                "SELECT item_key, attempt FROM items WHERE leased = 1 AND item_key IN "
                "(SELECT value FROM json_each(?))",
                (json_list(keys),),
            ).fetchall()
        )

        def holds(ref: ItemRef) -> bool:
            number = numbers.get(ref.job_id)
            return number is not None and holders.get(item_key(number, ref.index)) == ref.attempt

        return tuple(ref for ref in refs if not holds(ref))

    def release(self, refs: Iterable[ItemRef]) -> Accepted:
        """Make items available again whose lease lapsed or was returned."""
        refs = tuple(refs)
        numbers = self._job_numbers(refs)
        by_job: dict[str, list[ItemRef]] = defaultdict(list)
        for ref in refs:
            if ref.job_id in numbers:
                by_job[ref.job_id].append(ref)
        for job_id, of_job in by_job.items():
            changed = self._connection.executemany(
                "UPDATE items SET leased = 0 WHERE item_key = ? AND attempt = ? AND leased = 1",
                [(item_key(numbers[job_id], ref.index), ref.attempt) for ref in of_job],
            )
            self._jobs.add_available(job_id, changed.rowcount)
        return Accepted()

    def leased_refs(self) -> list[tuple[ItemRef, float]]:
        """Return all leases with their terms in seconds, for a leader that starts its clock."""
        return [
            (ItemRef(job_id, item_index(key), attempt), lease_s)
            for job_id, key, attempt, lease_s in self._connection.execute(
                "SELECT job_id, item_key, attempt, lease_s FROM items "
                "JOIN jobs ON job_number = item_key >> 32 WHERE leased = 1"
            )
        ]

    def _job_numbers(self, refs: Iterable[ItemRef]) -> dict[str, int]:
        """Return the numbers of the jobs that exist."""
        progress = {job_id: self._jobs.progress(job_id) for job_id in {x.job_id for x in refs}}
        return {job_id: job.job_number for job_id, job in progress.items() if job}

    def _earlier_grants(self, message: LeaseItems) -> tuple[LeaseGrant, ...] | None:
        row = self._connection.execute(
            "SELECT items FROM lease_requests WHERE worker = ? AND service = ? AND request_id = ?",
            (message.worker, message.service, message.request_id),
        ).fetchone()
        return _GRANTS_DECODER.decode(row[0]) if row else None

    def _take_by_turns(self, message: LeaseItems) -> tuple[LeaseGrant, ...]:
        grants: list[LeaseGrant] = []
        tenants = self._jobs.tenants_in_turn(message.service)
        last_served = ""
        while tenants and len(grants) < message.count:
            share = max(1, (message.count - len(grants)) // len(tenants))
            with_more_work = []
            for tenant in tenants:
                wanted = min(share, message.count - len(grants))
                if not wanted:
                    break
                taken = self._take_from_tenant(message, tenant, wanted)
                grants.extend(taken)
                if taken:
                    last_served = tenant
                if len(taken) == wanted:
                    with_more_work.append(tenant)
            tenants = with_more_work
        if last_served:
            self._jobs.end_turn(message.service, last_served)
        return tuple(grants)

    def _take_from_tenant(self, message: LeaseItems, tenant: str, wanted: int) -> list[LeaseGrant]:
        grants: list[LeaseGrant] = []
        while len(grants) < wanted:
            job = self._jobs.first_with_work(message.service, tenant)
            if job is None:
                break
            grants.extend(self._take_from_job(message, tenant, job, wanted - len(grants)))
        return grants

    def _take_from_job(
        self, message: LeaseItems, tenant: str, job: JobWithWork, wanted: int
    ) -> list[LeaseGrant]:
        """Take never-leased items first, so that one that failed is not tried at once again."""
        new_count = min(wanted, job.total - job.next_index)
        grants = [
            LeaseGrant(job.job_id, job.file_id, tenant, job.next_index + offset, 1)
            for offset in range(new_count)
        ]
        self._connection.execute(
            "INSERT INTO items SELECT value, 1, 1, ?, ?, 0, 0 FROM json_each(?)",
            (
                message.worker,
                message.lease_s,
                json_list(item_key(job.job_number, grant.index) for grant in grants),
            ),
        )
        returned = self._lease_returned(message, job, wanted - new_count)
        for key, attempt in returned:
            index = item_index(key)
            grants.append(LeaseGrant(job.job_id, job.file_id, tenant, index, attempt + 1))
        self._jobs.take_items(job.job_id, new_count, len(returned))
        return grants

    def _lease_returned(
        self, message: LeaseItems, job: JobWithWork, wanted: int
    ) -> list[tuple[int, int]]:
        """Lease items that were leased before; return their keys and last attempts."""
        if not wanted:
            return []
        returned = self._connection.execute(
            "SELECT item_key, attempt FROM items WHERE leased = 0 "
            "AND item_key BETWEEN ? AND ? ORDER BY item_key LIMIT ?",
            (item_key(job.job_number, 0), item_key(job.job_number + 1, 0) - 1, wanted),
        ).fetchall()
        self._connection.execute(
            "UPDATE items SET leased = 1, attempt = attempt + 1, worker = ?, lease_s = ? "
            "WHERE item_key IN (SELECT value FROM json_each(?))",
            (message.worker, message.lease_s, json_list(key for key, _ in returned)),
        )
        return returned


def _ref(grant: LeaseGrant) -> ItemRef:
    return ItemRef(grant.job_id, grant.index, grant.attempt)
