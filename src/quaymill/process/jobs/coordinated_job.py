"""State of one job that this gateway coordinates: its items, their results and its listing."""

from __future__ import annotations

import enum
import math
import threading
from collections.abc import Iterable

import msgspec
import xxhash

from quaymill import boot_clock
from quaymill.connection.job_document import Job, JobItem, JobResult, ResultState
from quaymill.connection.job_storage_messages import (
    ItemProgress,
    KeyedResult,
    ListedItems,
    ResultKey,
    ResultsPage,
)
from quaymill.connection.replica_entry import ReplicaEntry
from quaymill.process.jobs.listing import ListedResult, Listing, ListingDocument
from quaymill.process.jobs.run_handle import RunHandle
from quaymill.request.stream_version import StreamVersion
from quaymill.version.request_routes import RequestRoute

LISTING_VALID_SHARE = 0.9
"""A listed position must be visible to all readers within a certain time. A confirmed listing
counts as the newest for this share of that time."""
DEFAULT_LISTING_VALID_S = LISTING_VALID_SHARE * 1.0
"""Used if a listed position must be visible to all readers within one second."""
MAX_PAGE_BYTES = 1024 * 1024
"""Maximum total text of a page of results; a single larger result still makes a page."""


class ItemState(enum.Enum):
    """States of an item at its coordinator.

    WAITING -> RUNNING -> FINISHED -> LISTED; RUNNING -> WAITING when a run had no result.
    A waiting item that is given up becomes FINISHED, and one that another coordinator has listed
    becomes LISTED.
    """

    WAITING = enum.auto()
    RUNNING = enum.auto()
    FINISHED = enum.auto()
    LISTED = enum.auto()


class CoordinatedItem:
    """An item and what its runs have produced; its events may be read from any thread.

    Attributes
    ----------
    last_event_id, texts
        Id of the last complete event, and the data of all events received so far.
    version
        Software version that produced these events; ``None`` before the first one.
    discarded
        How often the events were discarded to start again at another version.
    failures
        Number of runs that a replica answered with an error.
    cuts_in_a_row
        Number of runs in a row that the replica's side cut off; an event begins it anew.
    started_at, events_at_start, resumed_after
        Monotonic time when the current run began, the number of events received before it, and
        the id of the last of them.
    not_before
        Monotonic time before which the item is not run again.
    run
        Cancels the current run; of the last one if none is under way.
    """

    def __init__(self, index: int, item: JobItem) -> None:
        self.index = index
        self.item = item
        self.state = ItemState.WAITING
        self.last_event_id: str | None = None
        self.texts: list[str] = []
        self.version: StreamVersion | None = None
        self.discarded = 0
        self.failures = 0
        self.cuts_in_a_row = 0
        self.not_before = 0.0
        self.started_at = 0.0
        self.events_at_start = 0
        self.resumed_after: str | None = None
        self.replica_id = ""
        self.run = RunHandle.of_no_run()
        self._events_lock = threading.Lock()

    def may_run_at(self, entry: ReplicaEntry) -> bool:
        """Return whether a run at a replica may go on after the events received so far."""
        return self.version is None or self.version.may_resume_at(entry)

    def add_events(
        self, texts: list[str], last_event_id: str | None, version: StreamVersion
    ) -> None:
        """Append received events; their data, the last id and the version change together."""
        with self._events_lock:
            self.texts += texts
            self.last_event_id = last_event_id
            self.version = version

    def discard_events(self) -> None:
        """Discard the received events, so that the next run starts from the beginning."""
        with self._events_lock:
            self.texts = []
            self.last_event_id = None
            self.version = None
            self.discarded += 1

    def progress(self, first: int = 0) -> ItemProgress:
        """Return the progress from event ``first`` on, for another coordinator to resume from."""
        with self._events_lock:
            texts = tuple(self.texts[first:])
            progress = ItemProgress(self.index, self.last_event_id, texts, self.failures, first)
            if self.version is None:
                return progress
            return msgspec.structs.replace(
                progress, service=self.version.service, version=self.version.name
            )

    def resume_from(self, progress: ItemProgress) -> None:
        """Resume from the progress of another coordinator."""
        with self._events_lock:
            self.last_event_id = progress.last_event_id
            self.texts = list(progress.texts)
            self.failures = progress.failures
            has_events = progress.last_event_id is not None or progress.texts
            self.version = StreamVersion(progress.service, progress.version) if has_events else None


class CoordinatedJob:
    """State of one job; safe to use from any thread.

    Attributes
    ----------
    route
        The job's route as last found in the configuration; ``None`` if none has been found.
    routed_at
        Monotonic time when the configuration last had a route for the job.
    sent_at
        Monotonic time when the client first sent the job.
    coordinator
        Name of the coordinator that runs the job: this process until another takes it over.
    ended
        Whether a client ended the job.
    abandoned
        Whether this process stopped before the job was complete.
    yielded
        Whether another coordinator took the job over.
    awaits_renewal
        Whether no item is started yet, because the storage nodes may know that a client has ended
        the job.
    predecessor
        Name of the coordinator from which this one took the job over because storage nodes did not
        reach it any more; empty if there is none.

    Parameters
    ----------
    listing_valid_s
        For how long a confirmed listing counts as the newest (seconds). It is shorter than the
        time allowed for a listed position to reach all readers, so that results which another
        coordinator lists meanwhile need not be visible yet.
    """

    def __init__(
        self,
        job: Job,
        route: RequestRoute | None,
        coordinator: str,
        listing_valid_s: float = DEFAULT_LISTING_VALID_S,
    ) -> None:
        self.job = job
        self.route = route
        self.coordinator = coordinator
        self.routed_at = boot_clock.now()
        self.sent_at = boot_clock.now() - job.age_s
        self.items = [CoordinatedItem(index, item) for index, item in enumerate(job.document.items)]
        self.changed = threading.Condition()
        self.ended = False
        self.abandoned = False
        self.yielded = False
        self.awaits_renewal = False
        self.predecessor = ""
        self._paused_until = -math.inf
        # Even for a new job, another gateway that accepted it too may have listed results.
        self._listing_confirmed_at = -math.inf
        self._listing_valid_s = listing_valid_s
        self.listing = Listing(ListingDocument("", len(self.items)))
        self._finished: dict[int, KeyedResult] = {}
        self._contents: dict[ResultKey, JobResult] = {}

    @property
    def id(self) -> str:
        """The job's id."""
        return self.job.id

    @property
    def total(self) -> int:
        """Number of items."""
        return len(self.items)

    @property
    def complete(self) -> bool:
        """Whether every item is listed."""
        return len(self.listing.document.results) >= self.total

    @property
    def stopped(self) -> bool:
        """Whether no more items of the job are started."""
        return self.ended or self.abandoned or self.yielded or self.complete

    @property
    def over(self) -> bool:
        """Whether this gateway has neither items to run nor results to list for the job."""
        if self.ended or self.abandoned or self.complete:
            return True
        return self.yielded and not self._finished

    @property
    def handed_over(self) -> bool:
        """Whether this gateway has left the job to another one."""
        return self.abandoned or self.yielded

    def unfinished_tokens(self) -> int:
        """Return the tokens of items that wait or run; 0 once the job is ended or complete."""
        if self.ended or self.complete:
            return 0
        unfinished = (ItemState.WAITING, ItemState.RUNNING)
        return sum(item.item.tokens for item in self.items if item.state in unfinished)

    def has_work(self) -> bool:
        """Return whether any item waits or runs."""
        return any(item.state in (ItemState.WAITING, ItemState.RUNNING) for item in self.items)

    def due_at(self) -> float:
        """Return the monotonic time when all results are due."""
        return self.sent_at + (self.route.due_s if self.route else 0.0)

    def waiting(self) -> list[CoordinatedItem]:
        """Return the items that may be started now."""
        if self.stopped or self.awaits_renewal or self.pause_left_s() > 0:
            return []
        now = boot_clock.now()
        return [
            item
            for item in self.items
            if item.state is ItemState.WAITING and item.not_before <= now
        ]

    def unstarted(self) -> list[CoordinatedItem]:
        """Return all waiting items, including those that may not be started yet."""
        if self.stopped:
            return []
        return [item for item in self.items if item.state is ItemState.WAITING]

    def running(self) -> list[CoordinatedItem]:
        """Return the running items."""
        return [item for item in self.items if item.state is ItemState.RUNNING]

    def finish(self, item: CoordinatedItem, state: ResultState, text: str) -> None:
        """Record the result of an item; no effect if the item is already listed."""
        result = JobResult(item.item.id, state, text)
        key = ResultKey(item.index, _digest(result))
        with self.changed:
            if item.state is ItemState.LISTED:
                return
            item.state = ItemState.FINISHED
            item.texts = []
            self._finished[item.index] = KeyedResult(key, result)
            self.changed.notify_all()

    def put_back(self, item: CoordinatedItem, pause_s: float = 0.0) -> None:
        """Return an item to the waiting items after a run without a result.

        Parameters
        ----------
        pause_s
            Time in seconds before the item may be started again.
        """
        with self.changed:
            if item.state is ItemState.RUNNING:
                item.state = ItemState.WAITING
                item.not_before = boot_clock.now() + pause_s
            self.changed.notify_all()

    def add_finished(self, results: Iterable[KeyedResult]) -> None:
        """Add results that the previous coordinator had not listed yet."""
        with self.changed:
            for keyed_result in results:
                item = self.items[keyed_result.key.index]
                if item.state is not ItemState.LISTED:
                    item.state = ItemState.FINISHED
                    self._finished[keyed_result.key.index] = keyed_result
            self.changed.notify_all()

    def unlisted(self) -> tuple[KeyedResult, ...]:
        """Return the results that are not listed yet."""
        with self.changed:
            return tuple(self._finished.values())

    def update_listing(self, listing: Listing, as_of: float) -> None:
        """Replace the known listing by one from the store, unless that has fewer results.

        Parameters
        ----------
        as_of
            Monotonic time when the store call that returned the listing began. The listing
            contains everything that was listed by then.
        """
        with self.changed:
            if len(listing.document.results) < len(self.listing.document.results):
                return
            self.listing = listing
            self.confirm_listing(as_of)
            for listed in listing.document.results:
                item = self.items[listed.index]
                item.state = ItemState.LISTED
                item.texts = []
                finished = self._finished.pop(listed.index, None)
                if finished is not None and finished.key == listed.key:
                    self._contents[listed.key] = finished.result
                item.run.cancel()
            self.changed.notify_all()

    def confirm_listing(self, at: float) -> None:
        """Record that the known listing was the newest one at a monotonic time."""
        self._listing_confirmed_at = max(at, self._listing_confirmed_at)

    def listing_is_current(self) -> bool:
        """Return whether a position after the end of the known listing may be reported as empty."""
        return self.complete or self.listing_age_s() < self._listing_valid_s

    def known_listing(self) -> ListedItems:
        """Return which items are in the known listing."""
        listed = 0
        for result in self.listing.document.results:
            listed |= 1 << result.index
        return ListedItems(self.id, f"{listed:x}")

    def listing_age_s(self) -> float:
        """Return how long ago the known listing was last confirmed as the newest (seconds)."""
        return boot_clock.now() - self._listing_confirmed_at

    def add_contents(self, contents: dict[ResultKey, JobResult]) -> None:
        """Add contents of results that were fetched from storage nodes."""
        with self.changed:
            self._contents |= contents
            self.changed.notify_all()

    def missing_contents(self, since: int = 0) -> tuple[ResultKey, ...]:
        """Return the keys of results listed from position ``since`` on whose content is missing."""
        with self.changed:
            return tuple(
                listed.key
                for listed in self.listing.document.results[since:]
                if listed.key not in self._contents
            )

    def stop(self, *, ended: bool) -> None:
        """Start no more items and cancel the running ones.

        Parameters
        ----------
        ended
            Whether a client ended the job; otherwise this process abandons it.
        """
        with self.changed:
            self.ended = self.ended or ended
            self.abandoned = self.abandoned or not ended
            running = self.running()
            self.changed.notify_all()
        for item in running:
            item.run.cancel()

    def yield_to(self, coordinator: str) -> None:
        """Leave the job to another coordinator; results finished here are still listed."""
        self.coordinator = coordinator
        self.yielded = True
        for item in self.running():
            item.run.cancel()

    def pause(self, duration_s: float) -> None:
        """Start no items for a time, and cancel the running ones; they keep their progress."""
        self._paused_until = boot_clock.now() + duration_s
        for item in self.running():
            item.run.cancel()

    def pause_left_s(self) -> float:
        """Return for how long the job is still paused (seconds); 0 if it is not."""
        return max(0.0, self._paused_until - boot_clock.now())

    def page(self, since: int, wait_s: float) -> ResultsPage:
        """Return results from position ``since`` on; wait up to ``wait_s`` seconds for one."""
        deadline = boot_clock.now() + wait_s
        with self.changed:
            while not self._has_result_at(since) and not self._no_more_expected(since):
                remaining_s = deadline - boot_clock.now()
                if remaining_s <= 0:
                    break
                self.changed.wait(remaining_s)
            return make_page(self.listing.document, self._contents, since)

    def _has_result_at(self, position: int) -> bool:
        listed = self.listing.document.results
        return position < len(listed) and listed[position].key in self._contents

    def _no_more_expected(self, position: int) -> bool:
        return self.ended or self.abandoned or self.yielded or position >= self.total


def make_page(
    document: ListingDocument, contents: dict[ResultKey, JobResult], since: int
) -> ResultsPage:
    """Return the results from ``since`` on, up to the first unknown content or the page size."""
    results = []
    size = 0
    for listed in document.results[since:]:
        result = contents.get(listed.key)
        if result is None:
            break
        size += len(result.text)
        if results and size > MAX_PAGE_BYTES:
            break
        results.append(result)
    return ResultsPage(document.total, tuple(results), since + len(results))


def listed_result(result: KeyedResult) -> ListedResult:
    """Return the entry of a result in the listing."""
    return ListedResult(result.key.index, result.key.digest, result.result.state)


def _digest(result: JobResult) -> str:
    return xxhash.xxh3_64_hexdigest(f"{result.state}\n{result.text}".encode())
