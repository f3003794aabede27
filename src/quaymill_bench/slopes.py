"""Straight lines through measured points, with the spread of each slope."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy


class Slope(msgspec.Struct, frozen=True):
    """How one quantity grows with the size of the fleet: ``base + by * size``.

    Attributes
    ----------
    base, per_node, per_replica
        Least squares over all points.
    per_node_spread, per_replica_spread
        Standard errors of the slopes; 0 if there are too few points to tell.
    """

    quantity: str
    base: float
    per_node: float
    per_node_spread: float
    per_replica: float
    per_replica_spread: float

    def at(self, nodes: int, replicas: int) -> float:
        """Return the value on the line."""
        return self.base + self.per_node * nodes + self.per_replica * replicas


def fit_slope(quantity: str, sizes: Sequence[tuple[int, int]], values: Sequence[float]) -> Slope:
    """Fit a plane over (nodes, replicas) by least squares.

    A size that does not vary over the points has slope 0.
    """
    columns = [numpy.ones(len(sizes))]
    varying = []
    for index in range(2):
        column = numpy.array([size[index] for size in sizes], dtype=float)
        if numpy.ptp(column) > 0:
            columns.append(column)
            varying.append(index)
    design = numpy.column_stack(columns)
    observed = numpy.array(values, dtype=float)
    coefficients, *_ = numpy.linalg.lstsq(design, observed, rcond=None)
    spreads = _standard_errors(design, observed, coefficients)
    slopes, errors = [0.0, 0.0], [0.0, 0.0]
    for position, index in enumerate(varying, 1):
        slopes[index] = float(coefficients[position])
        errors[index] = float(spreads[position])
    return Slope(quantity, float(coefficients[0]), slopes[0], errors[0], slopes[1], errors[1])


def _standard_errors(
    design: numpy.ndarray, observed: numpy.ndarray, coefficients: numpy.ndarray
) -> numpy.ndarray:
    freedom = len(observed) - design.shape[1]
    if freedom <= 0:
        return numpy.zeros(design.shape[1])
    residuals = observed - design @ coefficients
    variance = float(residuals @ residuals) / freedom
    return numpy.sqrt(variance * numpy.diag(numpy.linalg.pinv(design.T @ design)))
