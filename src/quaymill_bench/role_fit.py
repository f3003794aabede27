"""Least squares over measured points: what one unit of work costs, and how sure that is."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Mapping, Sequence

import msgspec
import numpy
import psutil

MIN_FREE_POINTS = 1
MICRO = 1e6


class Slope(msgspec.Struct, frozen=True):
    """Cost of one unit with its standard error, in ``unit``."""

    value: float
    error: float
    unit: str
    points: int


class Sample(msgspec.Struct, frozen=True):
    """What a window of work used: processor seconds by process, and wall seconds."""

    cpu_s: dict[str, float]
    wall_s: float


def fit_slopes(
    columns: Mapping[str, Sequence[float]],
    values: Sequence[float],
    unit: str,
    scale: float = 1.0,
) -> dict[str, Slope]:
    """Fit ``values`` as a sum of a cost for each unit of each column.

    Parameters
    ----------
    columns
        Units of work by name, one number for each point. There is no constant beside them; a
        column of ones adds it.
    scale
        Factor of the slopes, such as 1e6 from seconds to microseconds.

    Raises
    ------
    ValueError
        If there are too few points to tell an error.
    """
    matrix = numpy.array(list(columns.values()), dtype=float).T
    target = numpy.array(values, dtype=float)
    free_points = len(target) - len(columns)
    if free_points < MIN_FREE_POINTS:
        raise ValueError(f"{len(target)} points are too few for {len(columns)} slopes")
    found, _, _, _ = numpy.linalg.lstsq(matrix, target, rcond=None)
    residual = target - matrix @ found
    variance = float(residual @ residual) / free_points
    errors = numpy.sqrt(variance * numpy.diag(numpy.linalg.inv(matrix.T @ matrix)))
    return {
        name: Slope(
            round(float(value) * scale, 3), round(float(error) * scale, 3), unit, len(target)
        )
        for name, value, error in zip(columns, found, errors, strict=True)
    }


def measure_window(pids: Mapping[str, int], work: Callable[[], object]) -> Sample:
    """Run ``work`` and return what the processes used meanwhile."""
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    began_s = time.monotonic()
    work()
    wall_s = time.monotonic() - began_s
    after = {name: cpu_seconds(pid) for name, pid in pids.items()}
    return Sample({name: after[name] - before[name] for name in pids}, wall_s)


def cpu_seconds(pid: int | None = None) -> float:
    """Return user and system time of a process, of this one without ``pid``."""
    times = psutil.Process(pid or os.getpid()).cpu_times()
    return times.user + times.system


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return psutil.Process(pid).memory_info().rss
