"""``quaymill-bench``: load, experiments and random faults."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

import defopt
import msgspec

from quaymill_bench.load import run_load
from quaymill_bench.load_plan import LoadPlan, Phase
from quaymill_bench.processes import exit_on_sigterm

EXPERIMENTS = ("interference", "overhead", "routing", "store", "propagation", "batch")


def load(
    *,
    url: list[str],
    key: str,
    model: str,
    rate: float = 10.0,
    duration_s: float = 10.0,
    max_tokens: int = 32,
    seed: int = 1,
    processes: int = 1,
    report: Path | None = None,
) -> int:
    """Send an open-loop load of streamed completions and print a JSON report.

    Parameters
    ----------
    url
        Base addresses such as http://127.0.0.1:8080, taken in turn.
    key
        The tenant's bearer key.
    model
        Model to ask.
    rate
        Requests a second, with Poisson arrivals.
    duration_s
        Seconds of arrivals.
    max_tokens
        Tokens of each answer.
    seed
        Seed of arrivals and prompts.
    processes
        Processes that share the load.
    report
        File for the report; standard output if not given.
    """
    plan = LoadPlan(
        base_urls=tuple(url),
        key=key,
        model=model,
        phases=(Phase(duration_s, rate),),
        seed=seed,
        max_tokens=max_tokens,
    )
    result = run_load(plan, processes).report
    document = msgspec.json.format(msgspec.json.encode(result), indent=2).decode()
    if report is None:
        print(document)
    else:
        report.write_text(document + "\n")
    return 0 if result.counts.whole == result.counts.sent else 1


def experiment(name: str, *, out: Path | None = None, seed: int = 1) -> int:
    """Run one experiment: one JSON line on standard output, and a plot.

    Parameters
    ----------
    name
        One of interference, overhead, routing, store, propagation, batch.
    out
        File for the plot (PNG).
    seed
        Seed of all that is random.
    """
    if name not in EXPERIMENTS:
        print(f"no experiment {name!r}; use one of {', '.join(EXPERIMENTS)}", file=sys.stderr)
        return 2
    module = importlib.import_module(f"quaymill_bench.{name}_experiment")
    result = module.run(out=out, seed=seed)
    print(msgspec.json.encode(result).decode(), flush=True)
    return 0


def faults(
    *, seed: int = 1, rounds: int = 10, only: int | None = None, keep: Path | None = None
) -> int:
    """Run random faults against real processes and check what was promised.

    Parameters
    ----------
    seed
        Seed of all schedules.
    rounds
        Number of rounds.
    only
        Replay just this round of the seed, counted from 0.
    keep
        Folder for the history of each round; a temporary one if not given.
    """
    from quaymill_bench.faults import run_rounds

    result = run_rounds(seed=seed, rounds=rounds, only=only, keep=keep)
    print(msgspec.json.encode(result).decode(), flush=True)
    return 1 if result.failed_rounds else 0


def soak(
    *,
    seed: int = 1,
    rounds: int = 10,
    only: int | None = None,
    gateways: int = 3,
    storage: int = 3,
    engines: int = 3,
    zones_lost: int = 0,
    placement: bool = False,
    keep: Path = Path("run/soak"),
) -> int:
    """Run gateways and storage nodes as processes under random faults, and check the promises.

    Parameters
    ----------
    seed
        Seed of all schedules.
    rounds
        Number of rounds.
    only
        Play just this round of the seed, counted from 0.
    gateways, storage, engines
        How many there are; up to 12 processes each pair has proxies of its own.
    zones_lost
        Zones that may be lost at once, by the settings; above 0 zones are cut off, too.
    placement
        Evacuate zones and have replicas return cold, too: the settings get the bounds and the
        services declare a cold rate. The seed's other faults stay as they are without it, and the
        checks of evacuations and cold rates are made. Beyond 12 processes senders are not known
        one by one: a request counts if all gateways were in working order.
    keep
        Folder for the processes' files and for the logs of failed rounds.
    """
    from quaymill_bench.soak import SoakPlan, run_soak

    plan = SoakPlan(
        keep.resolve(), seed, rounds, only, gateways, storage, engines, zones_lost, placement
    )
    result = run_soak(plan, lambda text: print(text, flush=True))
    print(f"{result.rounds} rounds, {result.requests} requests, {result.jobs} jobs")
    for number, found in result.findings.items():
        for text in found:
            print(f"round {number}: {text}")
    return 1 if result.findings else 0


def main() -> None:
    """Run the command named on the command line."""
    exit_on_sigterm()
    sys.exit(defopt.run([load, experiment, faults, soak]))


if __name__ == "__main__":
    main()
