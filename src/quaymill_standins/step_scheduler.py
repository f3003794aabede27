"""Continuous batching: one thread that advances all running requests by a token a step."""

from __future__ import annotations

import bisect
import contextlib
import select
import threading
import time

from quaymill_standins.faults import FaultSwitches
from quaymill_standins.load_report import Load, LoadReporter
from quaymill_standins.prefix_cache import PrefixCache
from quaymill_standins.run import CANCELLED, FINISHED, PREEMPTED, JournalEntry, Run
from quaymill_standins.text import PROMPT_CHARACTERS_PER_TOKEN

PREFILL_TOKENS_PER_STEP = 512
MAX_STEPS_BEHIND = 10
MAX_SLEEP_S = 0.05
FROZEN_CHECK_INTERVAL_S = 0.02


class StepScheduler:
    """Waiting and running requests of one engine.

    States of a run: waiting -> running -> finished | preempted; waiting or running ->
    cancelled when its client closes the connection.
    """

    def __init__(
        self,
        slots: int,
        waiting_limit: int,
        step_s: float,
        cache: PrefixCache,
        reporter: LoadReporter,
        switches: FaultSwitches,
    ) -> None:
        self._slots = slots
        self._waiting_limit = waiting_limit
        self._step_s = step_s
        self._cache = cache
        self._reporter = reporter
        self._switches = switches
        self._changed = threading.Condition()
        self._waiting: list[Run] = []
        self._running: list[Run] = []
        self._runs_by_descriptor: dict[int, Run] = {}
        self._disconnects = select.epoll()
        self._journal: list[JournalEntry] = []
        self._draining = False
        self._stopping = False
        self._thread = threading.Thread(target=self._serve, name="steps", daemon=True)

    def start(self) -> None:
        """Start the step thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the step thread; runs that are not done are cancelled."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._thread.join()

    @property
    def draining(self) -> bool:
        """Whether new work is refused."""
        return self._draining

    def set_draining(self, draining: bool) -> None:
        """Refuse new work, or take it again; accepted work goes on."""
        with self._changed:
            self._draining = draining
            self._report()

    def submit(self, run: Run) -> str:
        """Accept a run; return why it is not accepted, or an empty string."""
        with self._changed:
            if self._stopping or self._draining:
                return "the engine is draining; use another replica"
            if len(self._waiting) >= self._waiting_limit:
                return "the queue is full; try again later or use another replica"
            bisect.insort_right(self._waiting, run, key=lambda waiting: waiting.priority)
            self._journal.append(run.journal)
            self._watch_connection(run)
            self._report()
            self._changed.notify_all()
        return ""

    def cancel(self, run: Run) -> None:
        """Cancel a run whose client is gone, and wait until it has ended."""
        with self._changed:
            run.cancel_requested = True
            if run in self._waiting:
                self._waiting.remove(run)
                self._remove([run])
            self._changed.notify_all()
        run.done.wait()

    def journal(self) -> list[JournalEntry]:
        """Return the entries of all runs since the start, in order of acceptance."""
        with self._changed:
            return list(self._journal)

    def _serve(self) -> None:
        """Step until the stop; whatever ends the thread releases all requests."""
        try:
            self._step_until_stop()
        finally:
            with self._changed:
                self._stopping = True
                self._cancel_all()

    def _step_until_stop(self) -> None:
        """Step while there is work, and wait otherwise."""
        next_step_s = time.monotonic()
        while True:
            with self._changed:
                if not self._running and not self._waiting:
                    self._changed.wait_for(lambda: self._waiting or self._stopping)
                    next_step_s = time.monotonic()
                if self._stopping:
                    return
                self._cancel_disconnected()
                faults = self._switches.current()
                if not faults.freeze:
                    self._fill_slots()
            if faults.freeze:
                time.sleep(FROZEN_CHECK_INTERVAL_S)
                continue
            next_step_s = self._wait_for_step_end(next_step_s)
            self._step()

    def _wait_for_step_end(self, started_s: float) -> float:
        """Wait until the end of a step and return that time.

        The wait is cut into slices so that a stop or another ``slow_factor`` is noticed
        during a long step. A step far behind does not hurry the next ones.
        """
        while True:
            step_s = self._step_s * self._switches.current().slow_factor
            remaining_s = started_s + step_s - time.monotonic()
            if remaining_s <= 0.0 or self._stopping:
                break
            time.sleep(min(remaining_s, MAX_SLEEP_S))
        if remaining_s < -MAX_STEPS_BEHIND * step_s:
            return time.monotonic()
        return started_s + step_s

    def _step(self) -> None:
        """Advance every running request by one token or one part of its prefill."""
        over = [run for run in self._running if run.advance()]
        if over:
            with self._changed:
                self._remove(over)

    def _remove(self, over: list[Run]) -> None:
        """End runs that are complete or whose client is gone; the lock is held."""
        self._running = [run for run in self._running if run not in over]
        for run in over:
            self._end(run, CANCELLED if run.cancel_requested else FINISHED)
        self._report()

    def _fill_slots(self) -> None:
        """Start waiting runs in free slots, or in those of runs that matter less."""
        changed = False
        while self._waiting:
            if len(self._running) >= self._slots and not self._preempt_for(self._waiting[0]):
                break
            run = self._waiting.pop(0)
            self._prefill(run)
            self._running.append(run)
            changed = True
        if changed:
            self._report()

    def _preempt_for(self, waiting: Run) -> bool:
        """End the least important and youngest run if ``waiting`` matters more."""
        victim = max(reversed(self._running), key=lambda run: run.priority)
        if victim.priority <= waiting.priority:
            return False
        self._running.remove(victim)
        self._end(victim, PREEMPTED)
        return True

    def _prefill(self, run: Run) -> None:
        """Set the cost of the prefill, which cached blocks and their size decide."""
        cached_characters = self._cache.cached_characters(run.blocks)
        run.cached_tokens = cached_characters // PROMPT_CHARACTERS_PER_TOKEN
        self._cache.store(run.blocks)
        tokens = run.prompt_tokens - run.cached_tokens + len(run.body.resume_token_ids)
        run.prefill_steps_left = tokens // PREFILL_TOKENS_PER_STEP

    def _watch_connection(self, run: Run) -> None:
        descriptor = run.descriptor
        # The former owner of a reused descriptor may still run; its connection is closed,
        # so that the kernel no longer watches it.
        self._runs_by_descriptor[descriptor] = run
        self._disconnects.register(descriptor, select.EPOLLRDHUP)

    def _cancel_disconnected(self) -> None:
        """Cancel the runs whose client closed the connection; the lock is held."""
        gone = [self._runs_by_descriptor[descriptor] for descriptor, _ in self._disconnects.poll(0)]
        if not gone:
            return
        for run in gone:
            run.cancel_requested = True
        self._waiting = [run for run in self._waiting if not run.cancel_requested]
        self._remove(gone)

    def _cancel_all(self) -> None:
        for run in (*self._waiting, *self._running):
            self._end(run, CANCELLED)
        self._waiting.clear()
        self._running.clear()
        self._disconnects.close()

    def _end(self, run: Run, outcome: str) -> None:
        """Stop watching the connection, then release the thread that owns it."""
        if self._runs_by_descriptor.get(run.descriptor) is run:
            del self._runs_by_descriptor[run.descriptor]
            # The thread of the request may have closed the connection, which unregisters it.
            with contextlib.suppress(OSError):
                self._disconnects.unregister(run.descriptor)
        run.end(outcome)

    def _report(self) -> None:
        running = list(self._running)
        self._reporter.update(
            Load(
                running=len(running),
                waiting=len(self._waiting),
                batch_running=sum(run.priority > 0 for run in running),
                draining=self._draining,
            )
        )
