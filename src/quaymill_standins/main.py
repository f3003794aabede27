"""Command line of the stand-ins: ``quaymill-standin platform | engine | application``.

``quaymill-standin check-engine`` measures a running engine.
"""

from __future__ import annotations

import signal
import sys
import threading
from typing import Protocol

import defopt
import msgspec

from quaymill_standins.application import Application, ApplicationSettings
from quaymill_standins.engine import Engine, EngineSettings
from quaymill_standins.faults import Faults
from quaymill_standins.platform import Platform, PlatformSettings
from quaymill_standins.self_check import measure_engine

MIN_SPEED_SHARE = 0.9


class Standin(Protocol):
    """What the three stand-ins have in common."""

    @property
    def port(self) -> int:
        """The port in use."""

    def start(self) -> None:
        """Start to serve."""

    def stop(self) -> None:
        """Stop to serve."""


def platform(
    *,
    address: str = "127.0.0.1",
    port: int = 0,
    machine_lag_s: float = 1.0,
    history_limit: int = 1000,
    bookmark_interval_s: float = 5.0,
    faults: str = "{}",
) -> None:
    """Serve the platform's object API and machine list.

    Parameters
    ----------
    address
        IP address to listen on.
    port
        Port to listen on; 0 lets the system choose.
    machine_lag_s
        Seconds by which reads of machines are late.
    history_limit
        Changes that a watch can go back.
    bookmark_interval_s
        Seconds between bookmarks of a watch.
    faults
        Fault switches as a JSON object.
    """
    settings = PlatformSettings(
        address=address,
        port=port,
        machine_lag_s=machine_lag_s,
        history_limit=history_limit,
        bookmark_interval_s=bookmark_interval_s,
        faults=_read_faults(faults),
    )
    _serve(Platform(settings), address)


def engine(
    *,
    address: str = "127.0.0.1",
    port: int = 0,
    name: str = "engine",
    zone: str = "",
    model: str = "model",
    slots: int = 32,
    waiting_limit: int = 128,
    step_ms: float = 5.0,
    cache_blocks: int = 4096,
    load_lag_s: float = 0.2,
    cache_event_lag_s: float = 0.5,
    cache_event_gap_probability: float = 0.05,
    faults: str = "{}",
) -> None:
    """Serve a model by OpenAI's protocol, with continuous batching.

    Parameters
    ----------
    address
        IP address to listen on.
    port
        Port to listen on; 0 lets the system choose.
    name
        Name of the replica in load reports.
    zone
        Zone of the replica.
    model
        Model served.
    slots
        Most requests in the running batch.
    waiting_limit
        Most requests in the queue.
    step_ms
        Duration of a step in milliseconds.
    cache_blocks
        Blocks of prompt prefixes that the cache holds.
    load_lag_s
        Age of load reports in seconds.
    cache_event_lag_s
        Age of cache events in seconds.
    cache_event_gap_probability
        Share of cache events that are lost.
    faults
        Fault switches as a JSON object.
    """
    settings = EngineSettings(
        address=address,
        port=port,
        name=name,
        zone=zone,
        model=model,
        slots=slots,
        waiting_limit=waiting_limit,
        step_ms=step_ms,
        cache_blocks=cache_blocks,
        load_lag_s=load_lag_s,
        cache_event_lag_s=cache_event_lag_s,
        cache_event_gap_probability=cache_event_gap_probability,
        faults=_read_faults(faults),
    )
    _serve(Engine(settings), address)


def application(
    *,
    address: str = "127.0.0.1",
    port: int = 0,
    name: str = "application",
    zone: str = "",
    service: str = "application",
    slots: int = 64,
    run_ms: float = 2.0,
    load_lag_s: float = 0.2,
    faults: str = "{}",
) -> None:
    """Answer plain HTTP calls and keep a journal of them.

    Parameters
    ----------
    address
        IP address to listen on.
    port
        Port to listen on; 0 lets the system choose.
    name
        Name of the replica in load reports.
    zone
        Zone of the replica.
    service
        Name of the service.
    slots
        Most calls that run at once.
    run_ms
        Time that a call takes in milliseconds.
    load_lag_s
        Age of load reports in seconds.
    faults
        Fault switches as a JSON object.
    """
    settings = ApplicationSettings(
        address=address,
        port=port,
        name=name,
        zone=zone,
        service=service,
        slots=slots,
        run_ms=run_ms,
        load_lag_s=load_lag_s,
        faults=_read_faults(faults),
    )
    _serve(Application(settings), address)


def check_engine(
    *,
    port: int,
    address: str = "127.0.0.1",
    model: str = "model",
    streams: int = 32,
    tokens: int = 400,
    step_ms: float = 5.0,
) -> None:
    """Measure whether a running engine is as fast as it is set to; prints one JSON line.

    Parameters
    ----------
    port
        Port of the engine.
    address
        IP address of the engine.
    model
        Model it serves.
    streams
        Streams read at once; the engine needs as many slots.
    tokens
        Tokens of each stream.
    step_ms
        Duration of a step that the engine is set to, in milliseconds.
    """
    measurement = measure_engine(address, port, model, streams, tokens, step_ms)
    print(msgspec.json.encode(measurement).decode())
    is_fast = measurement.tokens_per_s >= MIN_SPEED_SHARE * measurement.expected_tokens_per_s
    sys.exit(0 if is_fast and measurement.whole_streams == streams else 1)


def main() -> None:
    """Run the command line."""
    defopt.run([platform, engine, application, check_engine], short={})


def _read_faults(content: str) -> Faults:
    """Read ``--faults``; ends the process if it is not a JSON object of switches."""
    try:
        return msgspec.json.decode(content, type=Faults)
    except msgspec.DecodeError as error:
        sys.exit(f"--faults: {error}; see the fault switches in docs/INTERFACES.md")


def _serve(standin: Standin, address: str) -> None:
    """Serve until SIGTERM or SIGINT; one line on standard output says where."""
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    try:
        standin.start()
    except OSError as error:
        sys.exit(f"cannot listen on {address}: {error}; use another --port or --address")
    print(f"ready {address}:{standin.port}", flush=True)
    stop_requested.wait()
    standin.stop()


if __name__ == "__main__":
    main()
