"""Plots of load runs."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
matplotlib.rcParams["svg.fonttype"] = "none"
matplotlib.rcParams["svg.hashsalt"] = "bilberryplank"

from matplotlib import pyplot  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402

from bilberryplank_testing._load_spread import Cell, Spread  # noqa: E402

COLOURS = {"tiered": "#1b6ca8", "baseline": "#d1793d"}
MEASURES = ("wasted work", "worst organisation", "cost")
BAR_WIDTH = 0.38
INCHES_PER_ROW = 2.6


def plot_cells(cells: list[Cell], path: Path) -> None:
    """Writes a figure: one row per rate and fault, attainment by class and three measures."""
    rows = sorted({(cell.workload, cell.fault, cell.rate_factor) for cell in cells})
    size = (11.0, INCHES_PER_ROW * len(rows))
    figure, axes = pyplot.subplots(
        len(rows),
        1 + len(MEASURES),
        figsize=size,
        squeeze=False,
        layout="constrained",
        gridspec_kw={"width_ratios": [3] + [1] * len(MEASURES)},
    )
    for number, row in enumerate(rows):
        found = [c for c in cells if (c.workload, c.fault, c.rate_factor) == row]
        _plot_row(list(axes[number]), found, f"{row[0]}, {row[2]:g}x, fault {row[1]}")
    handles = [pyplot.Rectangle((0, 0), 1, 1, color=colour) for colour in COLOURS.values()]
    figure.legend(handles, COLOURS, loc="outside upper right", ncols=2, fontsize=8)
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    pyplot.close(figure)


def _plot_row(axes: list[Axes], cells: list[Cell], title: str) -> None:
    for place, cell in enumerate(cells):
        offset = (place - (len(cells) - 1) / 2) * BAR_WIDTH
        _plot_bars(axes[0], list(cell.classes.values()), offset, cell.policy)
        for axis, name in zip(axes[1:], MEASURES, strict=True):
            _plot_bars(axis, [cell.measures[name]], offset, cell.policy)
    axes[0].set_xticks(range(len(cells[0].classes)), list(cells[0].classes), fontsize=7)
    axes[0].set_ylim(0, 105)
    axes[0].set_title(f"{title}: in target, %", fontsize=8)
    for axis, name in zip(axes[1:], MEASURES, strict=True):
        axis.set_xticks([])
        axis.set_title(name, fontsize=8)


def _plot_bars(axis: Axes, spreads: list[Spread | None], offset: float, policy: str) -> None:
    known = [(place, item) for place, item in enumerate(spreads) if item is not None]
    axis.bar(
        [place + offset for place, _ in known],
        [item.middle for _, item in known],
        BAR_WIDTH,
        yerr=[
            [item.middle - item.least for _, item in known],
            [item.greatest - item.middle for _, item in known],
        ],
        color=COLOURS[policy],
        error_kw={"linewidth": 0.8},
    )
    axis.tick_params(labelsize=7)
