"""What an open-loop load consists of: when each request starts, and what it asks."""

from __future__ import annotations

import msgspec
import numpy

from quaymill_bench.journals import Prompt


class Phase(msgspec.Struct, frozen=True):
    """A stretch of Poisson arrivals at one rate."""

    duration_s: float
    requests_per_s: float


class LoadPlan(msgspec.Struct, frozen=True):
    """An open-loop load; the same plan gives the same requests at the same times.

    Attributes
    ----------
    base_urls
        Where the requests go, in turn.
    phases
        Rates, one after the other.
    prefixes, prefix_characters
        Number and length of the shared beginnings of prompts; 0 for none.
    senders
        Threads; the most requests in flight. A request that finds none free starts late,
        which its latencies show, because they count from the intended start.
    label
        Beginning of each prompt, so that two loads never ask the same.
    """

    base_urls: tuple[str, ...]
    key: str
    model: str
    phases: tuple[Phase, ...]
    seed: int = 1
    max_tokens: int = 32
    prefixes: int = 0
    prefix_characters: int = 400
    senders: int = 128
    timeout_s: float = 60.0
    path: str = "/v1/completions"
    label: str = "load"


class PlannedRequest(msgspec.Struct, frozen=True):
    """One request and its intended start, in seconds after the start of the load."""

    start_s: float
    base_url: str
    prompt: Prompt


def planned_requests(plan: LoadPlan) -> list[PlannedRequest]:
    """Return all requests of a plan in the order of their start."""
    generator = numpy.random.default_rng(plan.seed)
    starts = _poisson_arrivals(plan.phases, generator)
    prefixes = [_prefix(plan, number) for number in range(plan.prefixes)]
    chosen = generator.integers(0, max(plan.prefixes, 1), size=len(starts))
    requests = []
    for number, start_s in enumerate(starts):
        prefix = prefixes[chosen[number]] if prefixes else ""
        text = f"{prefix}{plan.label}-{plan.seed}-{number}"
        prompt = Prompt(plan.model, text, plan.max_tokens)
        base_url = plan.base_urls[number % len(plan.base_urls)]
        requests.append(PlannedRequest(float(start_s), base_url, prompt))
    return requests


def split_plan(plan: LoadPlan, parts: int) -> list[LoadPlan]:
    """Split a plan into independent ones whose arrivals together have the same rates."""
    if parts == 1:
        return [plan]
    phases = tuple(Phase(phase.duration_s, phase.requests_per_s / parts) for phase in plan.phases)
    return [
        msgspec.structs.replace(
            plan, phases=phases, seed=plan.seed * 1000 + part, senders=plan.senders // parts + 1
        )
        for part in range(parts)
    ]


def _poisson_arrivals(phases: tuple[Phase, ...], generator: numpy.random.Generator) -> list[float]:
    arrivals: list[float] = []
    phase_start_s = 0.0
    for phase in phases:
        phase_end_s = phase_start_s + phase.duration_s
        arrival_s = phase_start_s
        while phase.requests_per_s > 0:
            arrival_s += generator.exponential(1.0 / phase.requests_per_s)
            if arrival_s >= phase_end_s:
                break
            arrivals.append(arrival_s)
        phase_start_s = phase_end_s
    return arrivals


def _prefix(plan: LoadPlan, number: int) -> str:
    words = f"shared beginning {number} of {plan.label} "
    return (words * (plan.prefix_characters // len(words) + 1))[: plan.prefix_characters]
