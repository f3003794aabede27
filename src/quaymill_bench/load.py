"""Open-loop load: requests start when planned, however slow the answers are.

Latencies count from the intended start, so that a stalled system cannot hide the requests
that it kept from being sent (coordinated omission). Each answer is compared with the text
that the stand-in must give for its prompt.
"""

from __future__ import annotations

import multiprocessing
import queue
import threading
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import msgspec

from quaymill_bench.caller import Answer, Caller
from quaymill_bench.latency import LatencyHistogram, LatencySummary
from quaymill_bench.load_plan import LoadPlan, PlannedRequest, planned_requests, split_plan

START_DELAY_S = 0.2
PROCESS_START_DELAY_S = 1.5
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"


class LoadCounts(msgspec.Struct):
    """Requests by what became of them; each is counted once, after ``sent``.

    Attributes
    ----------
    whole
        Answered with the whole text expected.
    not_run, unknown, failed
        Ended with an explicit outcome of that kind.
    cut
        Ended with an explicit error event, or without its terminator.
    truncated
        Ended as if whole, with a part of the expected text.
    crossed
        Carried text that the prompt does not give.
    no_answer
        The connection failed before an answer, or no answer came in time.
    """

    sent: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    cut: int = 0
    truncated: int = 0
    crossed: int = 0
    no_answer: int = 0

    def add(self, other: LoadCounts) -> None:
        """Add the counts of another load."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


class LoadReport(msgspec.Struct, frozen=True):
    """Result of one load; first token and whole answer count from the intended start."""

    counts: LoadCounts
    duration_s: float
    requests_per_s: float
    tokens_per_s: float
    first_token: LatencySummary
    token_gap: LatencySummary
    whole_answer: LatencySummary
    start_lateness: LatencySummary


class _PartialResult(msgspec.Struct):
    """What one process measured, in a form that passes between processes."""

    counts: LoadCounts
    tokens: int
    duration_s: float
    histograms: dict[str, bytes]


class LoadResult(msgspec.Struct, frozen=True):
    """A report, with the histograms that its percentiles come from."""

    report: LoadReport
    histograms: dict[str, LatencyHistogram]


class LoadRecorder:
    """Collects answers of many threads."""

    NAMES = ("first_token", "token_gap", "whole_answer", "start_lateness")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.counts = LoadCounts()
        self.tokens = 0
        self.histograms = {name: LatencyHistogram() for name in self.NAMES}

    def record(
        self, request: PlannedRequest, intended_at: float, started_at: float, answer: Answer
    ) -> None:
        """Count one answer; only whole answers enter the latencies."""
        verdict = judge_answer(request, answer)
        with self._lock:
            self.counts.sent += 1
            setattr(self.counts, verdict, getattr(self.counts, verdict) + 1)
            self.histograms["start_lateness"].record(started_at - intended_at)
            if verdict == "whole":
                self._record_times(intended_at, answer)

    def _record_times(self, intended_at: float, answer: Answer) -> None:
        times = answer.token_times
        self.tokens += len(times)
        self.histograms["first_token"].record(times[0] - intended_at)
        self.histograms["whole_answer"].record(answer.ended_at - intended_at)
        for earlier, later in zip(times, times[1:], strict=False):
            self.histograms["token_gap"].record(later - earlier)


def judge_answer(request: PlannedRequest, answer: Answer) -> str:
    """Return the name of the count in ``LoadCounts`` that an answer belongs to."""
    expected = request.prompt.expected
    if answer.text and not expected.startswith(answer.text):
        return "crossed"
    if answer.status == 0:
        return "no_answer"
    if answer.status != 200:
        kinds = {OUTCOME_NOT_RUN: "not_run", OUTCOME_UNKNOWN: "unknown"}
        return kinds.get(answer.outcome, "failed")
    if answer.error or not answer.whole:
        return "cut"
    return "whole" if answer.text == expected else "truncated"


def run_load(plan: LoadPlan, processes: int = 1) -> LoadResult:
    """Run a load and wait for its last answer.

    Parameters
    ----------
    processes
        Processes that share the load, when one cannot keep up with the rate.
    """
    if processes == 1:
        return _merge([_run_part(plan, time.time() + START_DELAY_S)])
    begin_unix_s = time.time() + PROCESS_START_DELAY_S
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(processes, mp_context=context) as pool:
        parts = split_plan(plan, processes)
        return _merge(list(pool.map(_run_part, parts, [begin_unix_s] * processes)))


def send_open_loop(
    requests: list[PlannedRequest],
    begin_at: float,
    senders: int,
    send: Callable[[PlannedRequest, float], None],
) -> None:
    """Call ``send(request, intended_at)`` for each request at its time, on many threads."""
    waiting: queue.SimpleQueue[PlannedRequest | None] = queue.SimpleQueue()

    def work() -> None:
        while (request := waiting.get()) is not None:
            send(request, begin_at + request.start_s)

    threads = [threading.Thread(target=work, name="sender", daemon=True) for _ in range(senders)]
    for thread in threads:
        thread.start()
    for request in requests:
        delay_s = begin_at + request.start_s - time.monotonic()
        if delay_s > 0:
            time.sleep(delay_s)
        waiting.put(request)
    for _ in threads:
        waiting.put(None)
    for thread in threads:
        thread.join()


def _run_part(plan: LoadPlan, begin_unix_s: float) -> _PartialResult:
    recorder = LoadRecorder()
    callers = {url: Caller(url, plan.key) for url in plan.base_urls}
    requests = planned_requests(plan)
    begin_at = time.monotonic() + begin_unix_s - time.time()

    def send(request: PlannedRequest, intended_at: float) -> None:
        started_at = time.monotonic()
        body = request.prompt.completion_body()
        answer = callers[request.base_url].stream(plan.path, body, timeout_s=plan.timeout_s)
        recorder.record(request, intended_at, started_at, answer)

    send_open_loop(requests, begin_at, plan.senders, send)
    duration_s = time.monotonic() - begin_at
    for caller in callers.values():
        caller.close()
    encoded = {name: histogram.encode() for name, histogram in recorder.histograms.items()}
    return _PartialResult(recorder.counts, recorder.tokens, duration_s, encoded)


def _merge(parts: list[_PartialResult]) -> LoadResult:
    counts = LoadCounts()
    histograms = {name: LatencyHistogram() for name in LoadRecorder.NAMES}
    for part in parts:
        counts.add(part.counts)
        for name, encoded in part.histograms.items():
            histograms[name].add(LatencyHistogram.decode(encoded))
    duration_s = max(part.duration_s for part in parts)
    summaries = {name: histogram.summary() for name, histogram in histograms.items()}
    report = LoadReport(
        counts=counts,
        duration_s=round(duration_s, 3),
        requests_per_s=round(counts.whole / duration_s, 2),
        tokens_per_s=round(sum(part.tokens for part in parts) / duration_s, 1),
        **summaries,
    )
    return LoadResult(report, histograms)
