"""Plots of experiments, drawn without a screen."""

from __future__ import annotations

from pathlib import Path

import matplotlib

from quaymill_bench.latency import LatencyHistogram

matplotlib.use("Agg")
from matplotlib import pyplot

PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9)
FIGURE_SIZE_INCHES = (9.0, 5.0)
DOTS_PER_INCH = 120


def plot_percentiles(
    out: Path | None, title: str, histograms: dict[str, LatencyHistogram], label: str
) -> None:
    """Draw latency against percentile, one line for each histogram; nothing without ``out``."""
    if out is None:
        return
    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_INCHES)
    positions = range(len(PERCENTILES))
    for name, histogram in histograms.items():
        values = [histogram.percentile_ms(percentile) for percentile in PERCENTILES]
        axes.plot(positions, values, marker="o", label=name)
    axes.set_xticks(list(positions), [f"p{percentile}" for percentile in PERCENTILES])
    axes.set_ylim(bottom=0)
    axes.set_ylabel(label)
    _finish(figure, axes, title, out)


def plot_bars(
    out: Path | None, title: str, groups: dict[str, dict[str, float]], label: str
) -> None:
    """Draw named bars in groups: group name -> bar name -> value; nothing without ``out``."""
    if out is None:
        return
    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_INCHES)
    names = list(next(iter(groups.values())))
    width = 0.8 / len(groups)
    for number, (group, values) in enumerate(groups.items()):
        positions = [index + number * width for index in range(len(names))]
        axes.bar(positions, [values[name] for name in names], width, label=group)
    centre = 0.4 - width / 2
    axes.set_xticks([index + centre for index in range(len(names))], names)
    axes.set_ylabel(label)
    _finish(figure, axes, title, out)


def _finish(figure: pyplot.Figure, axes: pyplot.Axes, title: str, out: Path) -> None:
    axes.set_title(title)
    axes.grid(visible=True, alpha=0.3)
    axes.legend()
    figure.tight_layout()
    out.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(out, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
